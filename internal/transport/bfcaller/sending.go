package bfcaller

import (
	"context"
	"io"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// endPollInterval is the interval at which the socket of a caller that sends its body is asked
// for the end of the connection. The entry reads no further while a server takes the body
// slowly, so the end may be behind bytes that nobody reads.
const endPollInterval = 100 * time.Millisecond

// The states of a TCP connection (tcp(7)) whose other end has sent the end of its bytes or a
// reset.
const (
	tcpClose     = 7
	tcpCloseWait = 8
	tcpLastAck   = 9
	tcpClosing   = 11
)

// FollowSending is Follow for a request whose body is still being read. Until the whole body
// has been read, which received announces, it leaves the bytes of the connection alone.
func FollowSending(ctx context.Context, received <-chan struct{}) (following context.Context, hasLeft func() bool, stop func()) {
	following, cancel := context.WithCancelCause(ctx)
	hasLeft = func() bool {
		if !HasLeft(following) && !isEnding(ctx) {
			return false
		}
		if c := FromContext(ctx); c != nil && following.Err() == nil {
			c.noteEnd(io.EOF)
		}
		cancel(ErrLeft)
		return true
	}
	stopping, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		if !awaitBody(received, stopping, hasLeft) {
			return
		}
		stopWatching := watch(ctx, func() { cancel(ErrLeft) })
		<-stopping
		stopWatching()
	}()
	return following, hasLeft, func() {
		close(stopping)
		<-ended
		cancel(nil)
	}
}

// awaitBody polls for the end of the connection until the body has been received. It returns
// false if the caller has left or following ends before.
func awaitBody(received, stopping <-chan struct{}, hasLeft func() bool) bool {
	ticker := time.NewTicker(endPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-received:
			return true
		case <-stopping:
			return false
		case <-ticker.C:
			if hasLeft() {
				return false
			}
		}
	}
}

// isEnding reports whether the other end of the request's connection has closed it, even if
// bytes before the end are still unread.
func isEnding(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(net.Conn)
	if !ok {
		return false
	}
	ending := false
	hidden, err := ControlSocket(c, func(fd int) { ending = isEndingState(fd) })
	return !hidden && (ending || err != nil)
}

// isEndingState reports whether the socket's connection is in a state in which its other end
// sends nothing more.
func isEndingState(fd int) bool {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return false
	}
	switch info.State {
	case tcpClose, tcpCloseWait, tcpLastAck, tcpClosing:
		return true
	}
	return false
}
