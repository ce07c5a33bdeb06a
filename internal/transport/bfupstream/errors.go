package bfupstream

import "errors"

var (
	// ErrAnswerMismatch is returned for an answer without the id of its request.
	ErrAnswerMismatch = errors.New("answer does not carry the request's id")
	// ErrTruncated is returned if an answer began to arrive but no complete one could be read:
	// it ended early, was not valid HTTP, announced neither a length nor chunks although the
	// dialect requires one of them, or the connection ended after an answer to another request.
	ErrTruncated = errors.New("answer is not complete")
	// ErrInvalidStatus is returned for an answer whose status is outside 100 to 599, or 101. It
	// proves nothing about the request, whatever its headers say.
	ErrInvalidStatus = errors.New("answer has an invalid status")
	// ErrTooLarge is returned for an answer whose head or body exceeds its limit, or that was
	// the largest one when the memory for answers was used up.
	ErrTooLarge = errors.New("answer is too large")
	// ErrShed is returned if the server rejected the request because of its own load.
	ErrShed = errors.New("server shed the request")
	// ErrMisdirected is returned if the request reached another instance than the intended
	// one. That instance did not run it.
	ErrMisdirected = errors.New("another instance has the server's address")
	// ErrNoSignature is returned for an answer without the server's signature or with a
	// Content-Encoding header.
	ErrNoSignature = errors.New("answer does not carry the server's receipt")
	// ErrWithdrawn is returned if the server must not get the request any more. The server may
	// have got a part of its body.
	ErrWithdrawn = errors.New("server was withdrawn before the whole request was sent")
	// ErrCallerLeft is returned if the caller no longer waits for the answer. Nothing was
	// sent.
	ErrCallerLeft = errors.New("caller left before the request was sent")
	// ErrConnectionLimit is returned if a try needs a new connection but the server's
	// limit is reached.
	ErrConnectionLimit = errors.New("connection limit of the server is reached")
)
