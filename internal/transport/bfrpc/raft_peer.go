package bfrpc

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"briarferry/internal/coordination/bfraft"
)

const (
	minReconnect  = 20 * time.Millisecond
	maxReconnect  = 500 * time.Millisecond
	maxBatchBytes = 2 << 20
	messageBytes  = 128
)

var errSilent = eris.New("bfrpc: connection went silent")

type (
	// raftPeer sends the messages of one queue over one stream at a time.
	raftPeer struct {
		client *RaftClient
		base   string
		queue  chan bfraft.Message
		bytes  atomic.Int64
	}

	// unacked tracks when the oldest batch without an acknowledgement was sent.
	unacked struct {
		mu    sync.Mutex
		sent  uint64
		acked uint64
		since time.Time
	}
)

func sizeOf(m bfraft.Message) int64 {
	size := int64(messageBytes)
	for _, e := range m.Entries {
		size += int64(len(e.Data)) + messageBytes/4
	}
	if m.Chunk != nil {
		size += int64(len(m.Chunk.Data))
	}
	return size
}

func (p *raftPeer) push(m bfraft.Message) bool {
	size := sizeOf(m)
	if p.bytes.Add(size) > p.client.QueueBytes {
		p.bytes.Add(-size)
		return false
	}
	select {
	case p.queue <- m:
		return true
	default:
		p.bytes.Add(-size)
		return false
	}
}

func (p *raftPeer) run(ctx context.Context) {
	pause := minReconnect
	for ctx.Err() == nil {
		started := time.Now()
		if err := p.stream(ctx); err == nil {
			return
		}
		if time.Since(started) > maxReconnect {
			pause = minReconnect
		}
		// What waited while the peer was away is out of date; the agreement sends anew.
		p.discard()
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, maxReconnect)
	}
}

func (p *raftPeer) discard() {
	for {
		select {
		case m := <-p.queue:
			p.bytes.Add(-sizeOf(m))
		default:
			return
		}
	}
}

// stream waits for a message and then sends batches over a new connection until it
// fails or goes silent. It returns nil only where the context ends.
func (p *raftPeer) stream(parent context.Context) error {
	var first bfraft.Message
	select {
	case <-parent.Done():
		return nil
	case first = <-p.queue:
	}
	ctx, cancel := context.WithCancelCause(parent)
	conns, client := newStreamClient(p.client.Security)
	s := connect.NewClient[RaftBatch, RaftAck](client, p.base+raftStream, clientOptions()...).CallBidiStream(ctx)
	var track unacked
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel(nil)
	group.Go(func() { p.watch(ctx, cancel, &track, conns) })
	group.Go(func() { cancel(receiveAcks(s, &track)) })
	for m := first; ; {
		if err := s.Send(p.batch(m, track.next())); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			if parent.Err() != nil {
				return nil
			}
			return context.Cause(ctx)
		case m = <-p.queue:
		}
	}
}

func receiveAcks(s *connect.BidiStreamForClient[RaftBatch, RaftAck], track *unacked) error {
	for {
		ack, err := s.Receive()
		if err != nil {
			return err
		}
		track.ack(ack.Sequence)
	}
}

func (p *raftPeer) batch(m bfraft.Message, sequence uint64) *RaftBatch {
	b := &RaftBatch{Sequence: sequence}
	for size := int64(0); ; {
		b.Messages = append(b.Messages, m)
		p.bytes.Add(-sizeOf(m))
		if size += sizeOf(m); size > maxBatchBytes || len(b.Messages) == maxBatchMessages {
			return b
		}
		select {
		case m = <-p.queue:
		default:
			return b
		}
	}
}

// watch ends a stream whose batches are not acknowledged in time. It closes the
// connection, as a cancelled stream alone would leave it for the next one.
func (p *raftPeer) watch(ctx context.Context, cancel context.CancelCauseFunc, track *unacked, conns *connTracker) {
	ticker := time.NewTicker(p.client.AckTimeout / 4)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			conns.close()
			return
		case <-ticker.C:
			if track.silentFor() > p.client.AckTimeout {
				cancel(errSilent)
			}
		}
	}
}

func (u *unacked) next() uint64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.sent == u.acked {
		u.since = time.Now()
	}
	u.sent++
	return u.sent
}

func (u *unacked) ack(sequence uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if sequence > u.acked && sequence <= u.sent {
		u.acked, u.since = sequence, time.Now()
	}
}

func (u *unacked) silentFor() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.sent == u.acked {
		return 0
	}
	return time.Since(u.since)
}

// connTracker closes the connections of one stream.
type connTracker struct {
	mu     sync.Mutex
	conns  []net.Conn
	closed bool
}

func newStreamClient(s *Security) (*connTracker, *http.Client) {
	t := &connTracker{}
	dialer := net.Dialer{Timeout: raftCallTimeout}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return t, s.NewClient(&http.Transport{
		Protocols: protocols,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return c, t.add(c)
		},
	}, 0)
}

func (t *connTracker) add(c net.Conn) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		_ = c.Close()
		return net.ErrClosed
	}
	t.conns = append(t.conns, c)
	return nil
}

func (t *connTracker) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	for _, c := range t.conns {
		_ = c.Close()
	}
	t.conns = nil
}
