package bfupstream

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"

	"briarferry"
	"briarferry/internal/protocol/bfapi"
)

const (
	// maxAnswersRead limits the answers read for one request, including the skipped answers to
	// other requests.
	maxAnswersRead = 4
	// maxHeadBytes limits the heads of all answers read for one request, including the
	// informational and the skipped ones, and maxBodyBytes their bodies.
	maxHeadBytes = 64 << 10
	maxBodyBytes = 16 << 20
	// smallBodyBytes is the largest body for which no memory is reserved. It is also the
	// capacity with which the reading of a longer body, or one of unknown length, begins.
	smallBodyBytes = 8 << 10
)

var errReset = errors.New("connection may have been reset before the end of an answer without a length")

type (
	// answerReader reads answers from a connection within limits for each request.
	answerReader struct {
		limited *io.LimitedReader
		br      *bufio.Reader
		dialect *bfapi.Dialect
		memory  *answerMemory
		// drop closes the connection.
		drop func()
		// endedInOrder reports whether the end of the connection is that of an answer without
		// a length.
		endedInOrder func() bool
		// headBytes and bodyBytes are how many more bytes of heads and bodies may be read
		// for the current request.
		headBytes, bodyBytes int64
	}

	// result is a whole answer or the error of receiving it.
	result struct {
		response *http.Response
		body     []byte
		// memory is the reservation for the body.
		memory *reservation
		err    error
	}
)

func newAnswerReader(c *conn) *answerReader {
	limited := &io.LimitedReader{R: c.raw}
	client := c.pool.client
	return &answerReader{
		limited: limited, br: bufio.NewReader(limited), dialect: client.dialect(), memory: client.answers(),
		drop: c.close, endedInOrder: c.endedInOrder,
	}
}

// wait waits for the first byte of an answer, or of bytes that belong to none.
func (ar *answerReader) wait() error {
	ar.headBytes, ar.bodyBytes = maxHeadBytes, maxBodyBytes
	ar.limited.N = maxHeadBytes
	_, err := ar.br.Peek(1)
	return err
}

// read reads the whole answer to the request. With DiscardMismatched, it skips answers to
// other requests.
func (ar *answerReader) read(p *pendingRequest) result {
	for range maxAnswersRead {
		got := ar.readNext(p)
		if got.err != nil || !ar.shouldSkip(got, p.id) {
			return got
		}
		got.memory.release()
		if got.response.Close {
			return result{err: fmt.Errorf("%w: only an answer to another request", ErrTruncated)}
		}
	}
	return result{err: ErrAnswerMismatch}
}

// shouldSkip reports whether the answer belongs to another request and is to be skipped.
func (ar *answerReader) shouldSkip(got result, id string) bool {
	if !ar.dialect.DiscardMismatched {
		return false
	}
	other := got.response.Header.Get(ar.dialect.RequestIDHeader)
	return other != "" && other != id
}

// readNext reads one answer and skips informational ones. Unless AllowCloseDelimited is set,
// an answer whose end is only marked by the end of the connection counts as truncated, and so
// it does if the connection may have been reset.
func (ar *answerReader) readNext(p *pendingRequest) result {
	r := p.request
	var resp *http.Response
	for resp == nil || isInformational(resp.StatusCode) {
		err := ar.within(&ar.headBytes, func() (err error) {
			resp, err = http.ReadResponse(ar.br, r)
			return err
		})
		if err != nil {
			return result{err: err}
		}
	}
	// The body isn't read: nothing that follows such a head can be trusted.
	if !briarferry.IsFinalStatus(resp.StatusCode) {
		return result{err: fmt.Errorf("%w: %03d", ErrInvalidStatus, resp.StatusCode)}
	}
	closeDelimited := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && r.Method != http.MethodHead
	if closeDelimited && !ar.dialect.AllowCloseDelimited {
		return result{err: fmt.Errorf("%w: neither length nor chunks", ErrTruncated)}
	}
	got := result{response: resp, memory: ar.memory.reserve(ar.drop)}
	streamed := ar.stream(p, resp)
	got.err = ar.within(&ar.bodyBytes, func() (err error) {
		got.body, err = readBody(resp, got.memory, streamed)
		return err
	})
	if got.err == nil && closeDelimited && !ar.endedInOrder() {
		got.err = fmt.Errorf("%w: %w", ErrTruncated, errReset)
	}
	if !got.memory.finishReading() {
		got.err = fmt.Errorf("%w: %w", ErrTooLarge, errAnswerMemory)
	}
	if got.err != nil {
		got.memory.release()
		got.body = nil
	}
	return got
}

// isInformational reports whether a further answer follows one with this status. None follows
// 101, as the server goes on in a protocol that entries never ask for.
func isInformational(status int) bool {
	return status >= 100 && status < 200 && status != http.StatusSwitchingProtocols
}

// within calls read, which may consume at most *left bytes of the connection, and subtracts
// those that it consumed.
func (ar *answerReader) within(left *int64, read func() error) error {
	buffered := int64(ar.br.Buffered())
	ar.limited.N = max(0, *left-buffered)
	allowed := ar.limited.N
	err := read()
	exhausted := ar.limited.N <= 0
	*left -= buffered + allowed - ar.limited.N - int64(ar.br.Buffered())
	switch {
	case errors.Is(err, errAnswerMemory):
		return fmt.Errorf("%w: %w", ErrTooLarge, err)
	case exhausted:
		// This must be an error even if read returned none: the exhausted reader returns EOF
		// like a closed connection, which completes a body without a length.
		return fmt.Errorf("%w: more than %d bytes", ErrTooLarge, allowed+buffered)
	case err != nil:
		return fmt.Errorf("%w: %w", ErrTruncated, err)
	}
	return nil
}

// readBody reads the body of an answer into memory that grows with the bytes received,
// whatever length the answer announces. It publishes each part if the body is streamed.
func readBody(resp *http.Response, memory *reservation, streamed *streamedBody) ([]byte, error) {
	size := int64(smallBodyBytes)
	if resp.ContentLength >= 0 {
		// One byte more lets the end of the body be read without growing.
		size = min(size, resp.ContentLength+1)
	}
	body := make([]byte, 0, size)
	for {
		if len(body) == cap(body) {
			if err := memory.grow(2 * int64(cap(body))); err != nil {
				return nil, err
			}
			body = slices.Grow(body, cap(body))
		}
		n, err := resp.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if streamed != nil {
			streamed.publish(body)
		}
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
