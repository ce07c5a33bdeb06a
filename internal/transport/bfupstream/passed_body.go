package bfupstream

import (
	"io"
	"net/http"
	"sync"

	"briarferry"
	"briarferry/internal/protocol/bfapi"
)

// minPassedBytes is the smallest body that is passed on while it is received. A smaller one
// arrives at once.
const minPassedBytes = smallBodyBytes

// passedBody is a body that is passed on while it is received.
type passedBody struct {
	mu      sync.Mutex
	changed *sync.Cond
	data    []byte
	ended   bool
	err     error
}

func newPassedBody() *passedBody {
	b := &passedBody{}
	b.changed = sync.NewCond(&b.mu)
	return b
}

// publish makes the received part of the body available. The caller may append to data
// afterwards but must not change it.
func (b *passedBody) publish(data []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.data = data
	b.changed.Broadcast()
}

// end marks the body as complete or, with an error, as incomplete.
func (b *passedBody) end(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended, b.err = true, err
	b.changed.Broadcast()
}

// WriteTo writes the body as it arrives. It fails if the body does not become complete.
func (b *passedBody) WriteTo(w io.Writer) (int64, error) {
	written := 0
	for {
		data, ended, err := b.next(written)
		if len(data) > written {
			n, err := w.Write(data[written:])
			written += n
			if err != nil {
				return int64(written), err
			}
			continue
		}
		if ended {
			return int64(written), err
		}
	}
}

// next waits until the body has more than the given number of bytes or has ended.
func (b *passedBody) next(written int) (data []byte, ended bool, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.data) <= written && !b.ended {
		b.changed.Wait()
	}
	return b.data, b.ended, b.err
}

// passOn calls the request's OnHead if the answer may be passed on while it is received: a
// success of the server that ran the request, with a length that lets the caller recognize
// an incomplete body. It returns nil if the answer must be received as a whole.
func (ar *answerReader) passOn(p *pendingRequest, resp *http.Response) *passedBody {
	h, d := resp.Header, ar.dialect
	switch {
	case p.head == nil,
		resp.StatusCode < http.StatusOK || resp.StatusCode >= http.StatusMultipleChoices,
		resp.ContentLength < minPassedBytes || resp.ContentLength > maxBodyBytes,
		h.Get(d.RequestIDHeader) != p.id || p.id == "",
		d.IsNotRun(resp.StatusCode, h),
		d.ServerSignatureHeader == "" || h.Get(d.ServerSignatureHeader) == "" || h.Get("Content-Encoding") != "":
		return nil
	}
	return p.head.arrived(&briarferry.Answer{Status: resp.StatusCode, Header: bfapi.ForwardHeader(h), Length: resp.ContentLength})
}

// headRelay calls a request's OnHead at most once and ends the body of its answer together
// with the try, so that the try is recorded as what the caller got.
type headRelay struct {
	onHead func(*briarferry.Answer)

	mu       sync.Mutex
	body     *passedBody
	tryEnded bool
}

func newHeadRelay(onHead func(*briarferry.Answer)) *headRelay {
	if onHead == nil {
		return nil
	}
	return &headRelay{onHead: onHead}
}

// arrived passes the answer on and returns its body, or nil if the try has ended.
func (h *headRelay) arrived(a *briarferry.Answer) *passedBody {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.tryEnded || h.body != nil {
		return nil
	}
	h.body = newPassedBody()
	a.Rest = h.body
	h.onHead(a)
	return h.body
}

// end ends the body with the error of the try.
func (h *headRelay) end(err error) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tryEnded = true
	if h.body != nil {
		h.body.end(err)
	}
}
