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
	minReconnectDelay    = 20 * time.Millisecond
	maxReconnectDelay    = 500 * time.Millisecond
	maxBatchBytes        = 2 << 20
	messageOverheadBytes = 128
)

var errAckTimeout = eris.New("bfrpc: peer did not acknowledge messages in time")

type (
	// raftPeer sends the messages for one peer, over one stream at a time.
	raftPeer struct {
		client  *RaftClient
		baseURL string
		queue   chan bfraft.Message
		bytes   atomic.Int64
	}

	// ackTracker tracks the acknowledgements of the batches of one stream.
	ackTracker struct {
		mu        sync.Mutex
		lastSent  uint64
		lastAcked uint64
		// progressAt is the time of the last acknowledgement, or of the first batch that
		// was sent after all earlier ones were acknowledged.
		progressAt time.Time
	}
)

func messageSize(m bfraft.Message) int64 {
	size := int64(messageOverheadBytes)
	for _, e := range m.Entries {
		size += int64(len(e.Data)) + messageOverheadBytes/4
	}
	if m.Chunk != nil {
		size += int64(len(m.Chunk.Data))
	}
	return size
}

func (p *raftPeer) enqueue(m bfraft.Message) bool {
	size := messageSize(m)
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
	delay := minReconnectDelay
	for ctx.Err() == nil {
		started := time.Now()
		if err := p.stream(ctx); err == nil {
			return
		}
		if time.Since(started) > maxReconnectDelay {
			delay = minReconnectDelay
		}
		// Messages that waited during an outage are out of date; the replica sends
		// newer ones.
		p.discardQueue()
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
		delay = min(2*delay, maxReconnectDelay)
	}
}

func (p *raftPeer) discardQueue() {
	for {
		select {
		case m := <-p.queue:
			p.bytes.Add(-messageSize(m))
		default:
			return
		}
	}
}

// stream waits for a message and then sends batches over a new connection until the
// connection fails or acknowledgements are overdue. It returns nil only if the context
// has ended.
func (p *raftPeer) stream(parent context.Context) error {
	var first bfraft.Message
	select {
	case <-parent.Done():
		return nil
	case first = <-p.queue:
	}
	ctx, cancel := context.WithCancelCause(parent)
	conns, client := newStreamClient(p.client.Security)
	s := connect.NewClient[RaftBatch, RaftAck](client, p.baseURL+procedureRaftStream, clientOptions()...).CallBidiStream(ctx)
	var acks ackTracker
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel(nil)
	group.Go(func() { p.watchAcks(ctx, cancel, &acks, conns) })
	group.Go(func() { cancel(receiveAcks(s, &acks)) })
	for m := first; ; {
		if err := s.Send(p.nextBatch(m, acks.nextSequence())); err != nil {
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

func receiveAcks(s *connect.BidiStreamForClient[RaftBatch, RaftAck], acks *ackTracker) error {
	for {
		ack, err := s.Receive()
		if err != nil {
			return err
		}
		acks.ack(ack.Sequence)
	}
}

func (p *raftPeer) nextBatch(m bfraft.Message, sequence uint64) *RaftBatch {
	b := &RaftBatch{Sequence: sequence}
	for size := int64(0); ; {
		b.Messages = append(b.Messages, m)
		p.bytes.Add(-messageSize(m))
		if size += messageSize(m); size > maxBatchBytes || len(b.Messages) == maxBatchMessages {
			return b
		}
		select {
		case m = <-p.queue:
		default:
			return b
		}
	}
}

// watchAcks cancels a stream whose batches are not acknowledged in time. When ctx
// ends, it closes the stream's connections, which cancelling alone would leave open.
func (p *raftPeer) watchAcks(ctx context.Context, cancel context.CancelCauseFunc, acks *ackTracker, conns *connTracker) {
	ticker := time.NewTicker(p.client.AckTimeout / 4)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			conns.close()
			return
		case <-ticker.C:
			if acks.sinceProgress() > p.client.AckTimeout {
				cancel(errAckTimeout)
			}
		}
	}
}

// nextSequence returns the sequence number of the batch that is sent next.
func (t *ackTracker) nextSequence() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lastSent == t.lastAcked {
		t.progressAt = time.Now()
	}
	t.lastSent++
	return t.lastSent
}

func (t *ackTracker) ack(sequence uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if sequence > t.lastAcked && sequence <= t.lastSent {
		t.lastAcked, t.progressAt = sequence, time.Now()
	}
}

// sinceProgress returns how long the oldest unacknowledged batch has waited since it was
// sent or since the last acknowledgement, whichever is later; it is 0 if there is none.
func (t *ackTracker) sinceProgress() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lastSent == t.lastAcked {
		return 0
	}
	return time.Since(t.progressAt)
}

// connTracker records the connections of one stream in order to close them.
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
