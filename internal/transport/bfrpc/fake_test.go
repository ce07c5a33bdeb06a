package bfrpc

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"time"

	"briarferry"
	"briarferry/internal/coordination/bflease"
	"briarferry/internal/state/bfmachine"
)

type (
	// fakeGroup is a replicated log with its replicas and their network in memory. It
	// gives the guarantees of briarferry.Replica and no stronger ones.
	fakeGroup struct {
		// delay is the one-way delay between any two VMs.
		delay time.Duration
		// lossRate is the share of calls and proposals whose replies are lost.
		lossRate float64

		mu    sync.Mutex
		log   [][]byte
		term  uint64
		nodes []*fakeNode
	}

	fakeNode struct {
		g        *fakeGroup
		id       string
		machine  *bfmachine.Machine
		mux      *http.ServeMux
		isLeader bool
		// results has the result of the command with index i at position i-1.
		results [][]byte
	}
)

func newFakeGroup(n int) *fakeGroup {
	g := &fakeGroup{}
	for i := range n {
		node := &fakeNode{g: g, id: fmt.Sprint("c", i), machine: bfmachine.New(), mux: http.NewServeMux()}
		control := &Control{
			Replica: node, Machine: node.machine, Address: g.address,
			Leases: &bflease.Leader{Replica: node, Source: node.machine},
		}
		control.Register(node.mux)
		g.nodes = append(g.nodes, node)
	}
	g.elect(0)
	return g
}

func (g *fakeGroup) addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7100)
}

func (g *fakeGroup) address(id string) (netip.AddrPort, bool) {
	for i, n := range g.nodes {
		if n.id == id {
			return g.addr(i), true
		}
	}
	return netip.AddrPort{}, false
}

func (g *fakeGroup) targets() []netip.AddrPort {
	var out []netip.AddrPort
	for i := range g.nodes {
		out = append(out, g.addr(i))
	}
	return out
}

func (g *fakeGroup) client() *ControlClient {
	return &ControlClient{Targets: g.targets(), HTTP: &http.Client{Transport: g}}
}

func (g *fakeGroup) elect(i int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.term++
	for j, n := range g.nodes {
		n.isLeader = i == j
	}
}

// RoundTrip sends a call to a node, delays it in both directions and loses some replies.
func (g *fakeGroup) RoundTrip(r *http.Request) (*http.Response, error) {
	for i, n := range g.nodes {
		if g.addr(i).String() != r.URL.Host {
			continue
		}
		if err := sleep(r.Context(), g.delay); err != nil {
			return nil, err
		}
		w := httptest.NewRecorder()
		n.mux.ServeHTTP(w, r)
		if err := sleep(r.Context(), g.delay); err != nil {
			return nil, err
		}
		if rand.Float64() < g.lossRate {
			return nil, errors.New("reply is lost")
		}
		return w.Result(), nil
	}
	return nil, errors.New("no such host")
}

func sleep(ctx context.Context, d time.Duration) error {
	if d == 0 {
		return ctx.Err()
	}
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (n *fakeNode) Propose(ctx context.Context, cmd []byte) ([]byte, error) {
	n.g.mu.Lock()
	if !n.isLeader {
		n.g.mu.Unlock()
		return nil, briarferry.ErrNotLeader
	}
	n.g.log = append(n.g.log, cmd)
	index := len(n.g.log)
	n.g.mu.Unlock()
	if err := sleep(ctx, 2*n.g.delay); err != nil {
		return nil, err
	}
	n.g.mu.Lock()
	defer n.g.mu.Unlock()
	n.apply(index)
	if rand.Float64() < n.g.lossRate {
		return nil, errors.New("leadership was lost")
	}
	return n.results[index-1], nil
}

func (n *fakeNode) apply(index int) {
	for i := len(n.results); i < index; i++ {
		n.results = append(n.results, n.machine.Apply(uint64(i+1), n.g.log[i]))
	}
}

func (n *fakeNode) ReadIndex(ctx context.Context) (uint64, error) {
	if err := sleep(ctx, 2*n.g.delay); err != nil {
		return 0, err
	}
	n.g.mu.Lock()
	defer n.g.mu.Unlock()
	if !n.isLeader {
		return 0, briarferry.ErrNotLeader
	}
	n.apply(len(n.g.log))
	return uint64(len(n.g.log)), nil
}

func (n *fakeNode) Status() briarferry.ReplicaStatus {
	n.g.mu.Lock()
	defer n.g.mu.Unlock()
	s := briarferry.ReplicaStatus{ID: n.id, IsLeader: n.isLeader, Term: n.g.term, Applied: uint64(len(n.results))}
	for _, other := range n.g.nodes {
		if other.isLeader {
			s.Leader = other.id
		}
	}
	if n.isLeader {
		// The election is long past, so that no leases of an earlier leader are left;
		// the tests of bflease cover such leases.
		s.LeaderSince, s.LeaseUntil = time.Now().Add(-time.Hour), time.Now().Add(time.Second)
	}
	return s
}
