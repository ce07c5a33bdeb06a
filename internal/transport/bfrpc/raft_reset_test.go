package bfrpc

import (
	"context"
	"net"
	"testing"
	"time"
)

// reset resets all connections. New ones work.
func (p *stallingProxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	p.conns, p.stalled = nil, nil
}

// TestResetsLoseNoMessages guards against Raft messages that are lost with each connection
// that is reset, so that changes and reads wait for several heartbeats.
func TestResetsLoseNoMessages(t *testing.T) {
	const (
		messages = 400
		resets   = 10
		// maxLost allows for connections that are reset before the first acknowledgement.
		maxLost = 2
	)
	r, addr := startRecorder(t)
	p := newStallingProxy(t, addr)
	c := startClient(t, p.ln.Addr().(*net.TCPAddr).AddrPort())
	for i := range uint64(messages) {
		if i%(messages/resets) == messages/resets-1 {
			p.reset()
		}
		_ = c.Send(context.Background(), "b/1", heartbeat(i))
		time.Sleep(5 * time.Millisecond)
	}
	waitFor(t, "the last message", func() bool {
		list := r.list()
		return len(list) > 0 && list[len(list)-1] == messages-1
	})
	got := map[uint64]bool{}
	for _, i := range r.list() {
		got[i] = true
	}
	t.Logf("%d of %d messages lost", messages-len(got), messages)
	if lost := messages - len(got); lost > maxLost {
		t.Errorf("%d of %d messages were lost with %d resets, want at most %d", lost, messages, resets, maxLost)
	}
}

// TestSilentConnectionWithoutMessages guards against a follower that notices only with its
// next reply that its connection carries nothing: the leader would wait for that reply for
// longer than an election timeout.
func TestSilentConnectionWithoutMessages(t *testing.T) {
	r, addr := startRecorder(t)
	p := newStallingProxy(t, addr)
	c := startClientWith(t, p.ln.Addr().(*net.TCPAddr).AddrPort(), 0)
	_ = c.Send(context.Background(), "b/1", heartbeat(1))
	waitFor(t, "the first message", func() bool { return len(r.list()) > 0 })
	time.Sleep(3 * pingInterval)
	p.stall()
	time.Sleep(800 * time.Millisecond)
	sent := time.Now()
	_ = c.Send(context.Background(), "b/1", heartbeat(2))
	waitFor(t, "the second message", func() bool { list := r.list(); return list[len(list)-1] == 2 })
	took := time.Since(sent)
	t.Logf("delivered after %v", took)
	if took > 500*time.Millisecond {
		t.Errorf("delivered after %v", took)
	}
}
