package bfupstream

import (
	"io"
	"net/http"
	"sync"

	"briarferry"
	"briarferry/internal/protocol/bfapi"
)

// minStreamedBytes is the length of the smallest body that is streamed. A shorter one gains
// nothing from it.
const minStreamedBytes = smallBodyBytes

// streamedBody is a body that is sent to the caller while it is received. All of it stays in
// memory, so that a slow caller does not delay the server.
type streamedBody struct {
	mu      sync.Mutex
	changed *sync.Cond
	data    []byte
	ended   bool
	err     error
}

func newStreamedBody() *streamedBody {
	b := &streamedBody{}
	b.changed = sync.NewCond(&b.mu)
	return b
}

// publish makes the received part of the body available. The caller may append to data
// afterwards but must not change it.
func (b *streamedBody) publish(data []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.data = data
	b.changed.Broadcast()
}

// end marks the body as complete or, with an error, as incomplete.
func (b *streamedBody) end(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended, b.err = true, err
	b.changed.Broadcast()
}

// WriteTo writes the body as it arrives. It fails if the body does not become complete.
func (b *streamedBody) WriteTo(w io.Writer) (int64, error) {
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
func (b *streamedBody) next(written int) (data []byte, ended bool, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.data) <= written && !b.ended {
		b.changed.Wait()
	}
	return b.data, b.ended, b.err
}

// stream starts to stream the answer and returns its body. It returns nil if the answer must
// be received as a whole: the request does not allow it, or the answer is not a success that
// the server signed for this request and whose length lets the caller recognize an incomplete
// body.
func (ar *answerReader) stream(p *pendingRequest, resp *http.Response) *streamedBody {
	h, d := resp.Header, ar.dialect
	switch {
	case p.streamer == nil,
		resp.StatusCode < http.StatusOK || resp.StatusCode >= http.StatusMultipleChoices,
		resp.ContentLength < minStreamedBytes || resp.ContentLength > maxBodyBytes,
		p.id == "" || h.Get(d.RequestIDHeader) != p.id,
		d.IsNotRun(resp.StatusCode, h),
		d.ServerSignatureHeader == "" || h.Get(d.ServerSignatureHeader) == "",
		h.Get("Content-Encoding") != "":
		return nil
	}
	return p.streamer.start(&briarferry.Answer{Status: resp.StatusCode, Header: bfapi.ForwardHeader(h), Length: resp.ContentLength})
}

// streamer streams at most one answer of a try. The body ends with the error of the try, so
// that the caller gets a complete body only if the try is recorded as answered.
type streamer struct {
	onHead func(*briarferry.Answer)

	mu       sync.Mutex
	body     *streamedBody
	tryEnded bool
}

// newStreamer returns nil if onHead is nil.
func newStreamer(onHead func(*briarferry.Answer)) *streamer {
	if onHead == nil {
		return nil
	}
	return &streamer{onHead: onHead}
}

// start passes the answer to onHead and returns its body. It returns nil if the try has ended
// or an answer is being streamed already.
func (s *streamer) start(a *briarferry.Answer) *streamedBody {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tryEnded || s.body != nil {
		return nil
	}
	s.body = newStreamedBody()
	a.Stream = s.body
	s.onHead(a)
	return s.body
}

// end ends the body with the error of the try.
func (s *streamer) end(err error) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tryEnded = true
	if s.body != nil {
		s.body.end(err)
	}
}
