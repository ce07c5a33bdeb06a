package bfreplica

import (
	"context"
	"sync"
	"time"

	"briarferry"
	"briarferry/internal/coordination/bfraft"
)

type (
	proposal struct {
		cmd  []byte
		term uint64
		done chan outcome
	}

	outcome struct {
		result []byte
		err    error
	}

	// waitTable holds the appended commands that wait for their result, by index.
	waitTable struct {
		mu      sync.Mutex
		pending map[uint64]*proposal
		limit   int
		// room receives when the table is no longer full, as the loop takes no
		// proposals while it is.
		room chan struct{}
	}

	read struct {
		started time.Time
		done    chan uint64
	}
)

// Propose appends a command where this replica leads and returns its result once
// it is applied here. The command must not be changed afterwards.
func (n *Node) Propose(ctx context.Context, cmd []byte) ([]byte, error) {
	n.setup()
	if len(cmd) > maxCommandBytes {
		return nil, ErrTooLarge
	}
	p := &proposal{cmd: cmd, done: make(chan outcome, 1)}
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
		return nil, ErrUnknown
	}
}

// propose appends the command and all that are waiting, so that one sync covers them.
func (n *Node) propose(first *proposal) {
	batch := []*proposal{first}
	size := len(first.cmd)
	for room := n.MaxPending - n.waits.size(); len(batch) < room && size < maxMessageBytes; {
		select {
		case p := <-n.proposals:
			batch = append(batch, p)
			size += len(p.cmd)
			continue
		default:
		}
		break
	}
	cmds := make([][]byte, len(batch))
	for i, p := range batch {
		cmds[i] = p.cmd
	}
	index, err := n.core.Propose(cmds...)
	if err != nil {
		if isNotLeader(err) {
			err = briarferry.ErrNotLeader
		}
		for _, p := range batch {
			p.done <- outcome{err: err}
		}
		return
	}
	n.waits.add(index, n.core.Term(), batch)
}

func (w *waitTable) add(index, term uint64, batch []*proposal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, p := range batch {
		p.term = term
		w.pending[index+uint64(i)] = p
	}
}

func (w *waitTable) size() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.pending)
}

// finish answers the command at the index with the result of the entry applied there.
func (w *waitTable) finish(index, term uint64, result []byte) {
	w.mu.Lock()
	p := w.pending[index]
	wasFull := len(w.pending) >= w.limit
	delete(w.pending, index)
	w.mu.Unlock()
	if wasFull {
		select {
		case w.room <- struct{}{}:
		default:
		}
	}
	switch {
	case p == nil:
	case p.term != term:
		p.done <- outcome{err: ErrUnknown}
	default:
		p.done <- outcome{result: result}
	}
}

func (w *waitTable) failAll(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for index, p := range w.pending {
		delete(w.pending, index)
		p.done <- outcome{err: err}
	}
}

// failAll answers everything that still waits when the replica stops. Commands that
// were not taken from the queue were certainly not appended.
func (n *Node) failAll() {
	n.waits.failAll(ErrUnknown)
	for {
		select {
		case p := <-n.proposals:
			p.done <- outcome{err: briarferry.ErrNotLeader}
		default:
			return
		}
	}
}

// ReadIndex returns an index that covers every write finished before the call. It
// asks the leader where this replica follows.
func (n *Node) ReadIndex(ctx context.Context) (uint64, error) {
	n.setup()
	r := &read{started: time.Now(), done: make(chan uint64, 1)}
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
	n.nextRead++
	n.readWaits[n.nextRead] = r
	n.core.ReadIndex(n.nextRead)
}

// expireReads fails the reads whose question or answer may be lost.
func (n *Node) expireReads() {
	limit := time.Now().Add(-2 * n.ElectionTimeout)
	for id, r := range n.readWaits {
		if r.started.Before(limit) {
			delete(n.readWaits, id)
			r.done <- 0
		}
	}
}

func (n *Node) finishReads(states []bfraft.ReadState) {
	for _, s := range states {
		if r := n.readWaits[s.Request]; r != nil {
			delete(n.readWaits, s.Request)
			r.done <- s.Index
		}
	}
}
