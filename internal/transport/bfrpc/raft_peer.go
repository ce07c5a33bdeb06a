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

	// minAckTimeout is above two round trips between the most distant regions. Together with
	// pingInterval and a reconnection it is below the shortest election timeout.
	minAckTimeout = 300 * time.Millisecond
	// ackTimeoutFactor and ackWaitDecay determine the timeout from the recent waits for
	// acknowledgements: without this, connections over a slow link would be replaced again and again.
	ackTimeoutFactor = 3
	ackWaitDecay     = 0.95
	// smallBatchBytes is the size up to which the transmission takes little time on each link.
	smallBatchBytes = 32 << 10
	// maxResentBytes limits what is sent again after the end of a connection.
	maxResentBytes = 1 << 20
	// pingInterval is the time without a message after which an empty batch is sent. Without
	// such batches, a follower notices a silent connection later than the leader does.
	pingInterval = 100 * time.Millisecond
	// pingFor is how long after the last message empty batches are sent.
	pingFor = 2 * time.Second
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
		// lastLarge is the last batch above smallBatchBytes.
		lastLarge uint64
		// longestWait is the longest recent time between progressAt and an acknowledgement.
		longestWait time.Duration
		// unacked are the batches that were not acknowledged, and unackedBytes their size.
		unacked      []unackedBatch
		unackedBytes int64
	}

	unackedBatch struct {
		batch    *RaftBatch
		sequence uint64
		size     int64
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

func (b *RaftBatch) size() int64 {
	size := int64(0)
	for _, m := range b.Messages {
		size += messageSize(m)
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
	var unacked []*RaftBatch
	for ctx.Err() == nil {
		started := time.Now()
		acks, err := p.stream(ctx, unacked)
		if err == nil {
			return
		}
		// A connection that worked is replaced at once, however short it was: several in a row
		// may be reset, and a follower must hear the leader within an election timeout. What
		// was not acknowledged on it is sent again, as a lost append or reply would delay
		// changes by several heartbeats. Replicas expect repeated messages.
		if unacked = acks.unacknowledged(); acks.worked() || time.Since(started) > maxReconnectDelay {
			delay = minReconnectDelay
		}
		if !acks.worked() {
			// Messages that waited during an outage are out of date; the replica sends
			// newer ones.
			p.discardQueue()
		}
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

// stream sends the batches again that were not acknowledged, or waits for a message, and then
// sends batches over a new connection until the connection fails or acknowledgements are
// overdue. It returns a nil error only if the context has ended.
func (p *raftPeer) stream(parent context.Context, unacked []*RaftBatch) (*ackTracker, error) {
	acks := &ackTracker{}
	if len(unacked) == 0 {
		select {
		case <-parent.Done():
			return acks, nil
		case first := <-p.queue:
			unacked = []*RaftBatch{p.nextBatch(first)}
		}
	}
	ctx, cancel := context.WithCancelCause(parent)
	conns, client := newStreamClient(p.client.Security)
	s := connect.NewClient[RaftBatch, RaftAck](client, p.baseURL+procedureRaftStream, clientOptions()...).CallBidiStream(ctx)
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel(nil)
	group.Go(func() { p.watchAcks(ctx, cancel, acks, conns) })
	group.Go(func() { cancel(receiveAcks(s, acks)) })
	send := func(b *RaftBatch) error {
		return s.Send(&RaftBatch{Sequence: acks.nextSequence(b), Messages: b.Messages})
	}
	for _, b := range unacked {
		if err := send(b); err != nil {
			return acks, err
		}
	}
	ping := time.NewTicker(pingInterval)
	defer ping.Stop()
	lastMessage := time.Now()
	for {
		var batch *RaftBatch
		select {
		case <-ctx.Done():
			if parent.Err() != nil {
				return acks, nil
			}
			return acks, context.Cause(ctx)
		case m := <-p.queue:
			batch, lastMessage = p.nextBatch(m), time.Now()
			ping.Reset(pingInterval)
		case <-ping.C:
			if time.Since(lastMessage) >= pingFor {
				continue
			}
			batch = &RaftBatch{}
		}
		if err := send(batch); err != nil {
			return acks, err
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

func (p *raftPeer) nextBatch(m bfraft.Message) *RaftBatch {
	b := &RaftBatch{}
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
	ticker := time.NewTicker(min(minAckTimeout, p.client.AckTimeout) / 4)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			conns.close()
			return
		case <-ticker.C:
			if acks.sinceProgress() > acks.timeout(p.client.AckTimeout) {
				cancel(errAckTimeout)
			}
		}
	}
}

// nextSequence returns the sequence number of the batch, which is sent next.
func (t *ackTracker) nextSequence(b *RaftBatch) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lastSent == t.lastAcked {
		t.progressAt = time.Now()
	}
	t.lastSent++
	size := b.size()
	if size > smallBatchBytes {
		t.lastLarge = t.lastSent
	}
	t.unacked = append(t.unacked, unackedBatch{b, t.lastSent, size})
	t.unackedBytes += size
	return t.lastSent
}

func (t *ackTracker) ack(sequence uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if sequence > t.lastAcked && sequence <= t.lastSent {
		wait := time.Since(t.progressAt)
		t.longestWait = max(wait, time.Duration(ackWaitDecay*float64(t.longestWait)))
		t.lastAcked, t.progressAt = sequence, time.Now()
		for len(t.unacked) > 0 && t.unacked[0].sequence <= sequence {
			t.unackedBytes -= t.unacked[0].size
			t.unacked = t.unacked[1:]
		}
	}
}

// unacknowledged returns the batches to send again over another connection: none if no batch
// was acknowledged on this one, or if they are more than maxResentBytes.
func (t *ackTracker) unacknowledged() []*RaftBatch {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lastAcked == 0 || t.unackedBytes > maxResentBytes {
		return nil
	}
	var out []*RaftBatch
	for _, b := range t.unacked {
		if len(b.batch.Messages) > 0 {
			out = append(out, b.batch)
		}
	}
	return out
}

// worked reports whether a batch was acknowledged.
func (t *ackTracker) worked() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastAcked > 0
}

// timeout returns the time without progress after which the stream counts as silent. It is the
// longest one until the first acknowledgement, which includes the time to connect, and while a
// large batch is unacknowledged.
func (t *ackTracker) timeout(longest time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lastAcked == 0 || t.lastAcked < t.lastLarge {
		return longest
	}
	return min(longest, max(minAckTimeout, ackTimeoutFactor*t.longestWait))
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
