package bfreplica

import (
	"context"
	"sync"
	"time"

	"briarferry"
	"briarferry/internal/coordination/bfraft"
)

// readRetryInterval covers the request of a follower and the heartbeat round of the leader, each
// with a round trip between the most distant regions.
const readRetryInterval = 250 * time.Millisecond

type (
	// proposal is a command to append; term is the term in which it was appended. A proposal
	// whose context has ended by then is not appended: a replica that was frozen would append
	// what its callers gave up long ago.
	proposal struct {
		ctx  context.Context
		cmd  []byte
		term uint64
		done chan outcome
	}

	outcome struct {
		result []byte
		err    error
	}

	// pendingTable holds the appended commands that wait for their result, by index.
	pendingTable struct {
		mu      sync.Mutex
		byIndex map[uint64]*proposal
		limit   int
		// A value is sent on notFull when the table is no longer full. The loop accepts
		// no proposals while the table is full.
		notFull chan struct{}
	}

	// read is a request for a read index; done receives the index, or 0 on failure. The
	// request was sent last at the time sent.
	read struct {
		ctx     context.Context
		started time.Time
		sent    time.Time
		done    chan uint64
	}
)

// Propose appends a command if this replica is the leader and returns its result once it
// is applied here. The command must not be changed afterwards.
func (n *Node) Propose(ctx context.Context, cmd []byte) ([]byte, error) {
	n.setup()
	if len(cmd) > MaxCommandBytes {
		return nil, ErrTooLarge
	}
	p := &proposal{ctx: ctx, cmd: cmd, done: make(chan outcome, 1)}
	select {
	case n.proposals <- p:
	case <-n.stopped:
		return nil, briarferry.ErrNotLeader
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case o := <-p.done:
		return o.result, o.err
	case <-n.stopped:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case o := <-p.done:
		return o.result, o.err
	default:
		return nil, ErrOutcomeUnknown
	}
}

// propose appends the command and all queued ones, so that one disk sync covers them.
func (n *Node) propose(first *proposal) {
	batch := n.collectProposals(first)
	if len(batch) == 0 {
		return
	}
	cmds := make([][]byte, len(batch))
	for i, p := range batch {
		cmds[i] = p.cmd
	}
	index, err := n.raft.Propose(cmds...)
	if err != nil {
		if isNotLeader(err) {
			err = briarferry.ErrNotLeader
		}
		for _, p := range batch {
			p.done <- outcome{err: err}
		}
		return
	}
	n.pendingCommands.add(index, n.raft.Term(), batch)
}

// collectProposals returns the proposal and the queued ones that fit, without those whose
// context has ended.
func (n *Node) collectProposals(first *proposal) []*proposal {
	var batch []*proposal
	size := 0
	add := func(p *proposal) {
		if err := p.ctx.Err(); err != nil {
			p.done <- outcome{err: err}
			return
		}
		batch = append(batch, p)
		size += len(p.cmd)
	}
	add(first)
	for free := n.MaxPending - n.pendingCommands.size(); len(batch) < free && size < maxMessageBytes; {
		select {
		case p := <-n.proposals:
			add(p)
			continue
		default:
		}
		break
	}
	return batch
}

func (t *pendingTable) add(index, term uint64, batch []*proposal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, p := range batch {
		p.term = term
		t.byIndex[index+uint64(i)] = p
	}
}

func (t *pendingTable) size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byIndex)
}

// finish completes the command at the index with the result of the entry applied there. If
// the entry has another term, it is not that command, whose outcome is then unknown.
func (t *pendingTable) finish(index, term uint64, result []byte) {
	t.mu.Lock()
	p := t.byIndex[index]
	wasFull := len(t.byIndex) >= t.limit
	delete(t.byIndex, index)
	t.mu.Unlock()
	if wasFull {
		select {
		case t.notFull <- struct{}{}:
		default:
		}
	}
	switch {
	case p == nil:
	case p.term != term:
		p.done <- outcome{err: ErrOutcomeUnknown}
	default:
		p.done <- outcome{result: result}
	}
}

func (t *pendingTable) failAll(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for index, p := range t.byIndex {
		delete(t.byIndex, index)
		p.done <- outcome{err: err}
	}
}

// failAll fails all waiting commands when the replica stops. Commands that are still
// queued were certainly not appended.
func (n *Node) failAll() {
	n.pendingCommands.failAll(ErrOutcomeUnknown)
	for {
		select {
		case p := <-n.proposals:
			p.done <- outcome{err: briarferry.ErrNotLeader}
		default:
			return
		}
	}
}

// ReadIndex returns an index that covers every write finished before the call. A follower
// asks the leader for it.
func (n *Node) ReadIndex(ctx context.Context) (uint64, error) {
	n.setup()
	r := &read{ctx: ctx, started: time.Now(), done: make(chan uint64, 1)}
	select {
	case n.reads <- r:
	case <-n.stopped:
		return 0, ErrUnavailable
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	select {
	case index := <-r.done:
		if index == 0 {
			return 0, ErrUnavailable
		}
		return index, nil
	case <-n.stopped:
		return 0, ErrUnavailable
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

func (n *Node) startRead(r *read) {
	n.lastReadID++
	n.pendingReads[n.lastReadID] = r
	r.sent = time.Now()
	n.raft.ReadIndex(n.lastReadID)
}

// repeatReads sends the requests of reads again that have waited for readRetryInterval, since
// their request or reply may be lost. Of several replies the first one counts, as each covers
// what was committed before the read.
func (n *Node) repeatReads() {
	if n.raft.Leader() == "" {
		return
	}
	now := time.Now()
	for id, r := range n.pendingReads {
		if r.ctx.Err() == nil && now.Sub(r.sent) >= readRetryInterval {
			r.sent = now
			n.raft.ReadIndex(id)
		}
	}
}

// expireReads fails the reads that are older than two election timeouts, since their
// request or reply may be lost.
func (n *Node) expireReads() {
	limit := time.Now().Add(-2 * n.ElectionTimeout)
	for id, r := range n.pendingReads {
		if r.started.Before(limit) {
			delete(n.pendingReads, id)
			r.done <- 0
		}
	}
}

func (n *Node) finishReads(states []bfraft.ReadState) {
	for _, s := range states {
		if r := n.pendingReads[s.Request]; r != nil {
			delete(n.pendingReads, s.Request)
			r.done <- s.Index
		}
	}
}
