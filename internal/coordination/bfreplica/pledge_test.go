package bfreplica

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"briarferry/internal/coordination/bfraft"
)

// scriptedReplicas are the other replicas of a node, with replies of the test.
type scriptedReplicas struct {
	info   func(vm string) (Info, error)
	pledge func(vm, former string) (Info, error)
}

func (s *scriptedReplicas) Info(_ context.Context, vm string) (Info, error) { return s.info(vm) }
func (s *scriptedReplicas) Pledge(_ context.Context, vm, former string) (Info, error) {
	return s.pledge(vm, former)
}
func (s *scriptedReplicas) Join(context.Context, string, string) error { return errNoReply }
func (s *scriptedReplicas) Leave(context.Context, string, string) (bool, error) {
	return false, errNoReply
}
func (s *scriptedReplicas) Send(context.Context, string, bfraft.Message) error { return errNoReply }

// runScripted runs the node of a VM until the test function returns.
func runScripted(t *testing.T, vm string, s *scriptedReplicas, test func(n *Node)) {
	synctest.Test(t, func(t *testing.T) {
		n := &Node{VM: vm, Control: vms, Dir: "data", FS: memoryFS(1)(vm), Machine: &recorder{}, Transport: s, Discovery: s}
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- n.Run(ctx) }()
		test(n)
		stop()
		<-done
	})
}

// TestLateFirstEntry guards against a replica that takes the first entry of a group whose former
// has lost its disk, after it was counted as a voter of another group.
func TestLateFirstEntry(t *testing.T) {
	var lost, formed Info
	var released, hasFormed atomic.Bool
	s := &scriptedReplicas{info: func(vm string) (Info, error) {
		switch {
		case vm == "a" && !released.Load():
			for !released.Load() {
				time.Sleep(time.Millisecond)
			}
			return lost, nil
		case vm == "b" && hasFormed.Load():
			return formed, nil
		}
		return Info{}, errNoReply
	}}
	runScripted(t, "c", s, func(n *Node) {
		time.Sleep(10 * time.Millisecond)
		id := n.Info().ID
		lost = Info{ID: "a/1", LastIndex: 1, Former: "a/1", FirstVoters: []string{"a/1", "b/1", id}}
		formed = Info{ID: "b/1", LastIndex: 1, Former: "b/1", FirstVoters: []string{"a/2", "b/1", id}}
		for _, ask := range []struct{ former, want string }{{"a/1", "a/1"}, {"b/1", "b/1"}, {"a/1", "b/1"}} {
			if info, err := n.Pledge(context.Background(), ask.former); err != nil || info.Former != ask.want {
				t.Errorf("pledged to %q, %v when %s asks; want %s", info.Former, err, ask.former, ask.want)
			}
		}
		released.Store(true)
		time.Sleep(100 * time.Millisecond)
		if got := n.Info().FirstVoters; got != nil {
			t.Errorf("first voters %v of the lost group", got)
		}
		hasFormed.Store(true)
		time.Sleep(time.Second)
		if got := n.Info().FirstVoters; !slices.Equal(got, formed.FirstVoters) {
			t.Errorf("first voters %v, want %v", got, formed.FirstVoters)
		}
	})
}

// TestFormer guards against a group that is formed by a replica that another one may be counted
// for, or that most of its voters may have lost, and against none during a mixed first start.
func TestFormer(t *testing.T) {
	const self = "self"
	empty := func(id string) Info { return Info{ID: id, Former: self} }
	joinOnly := func(id string) Info { return Info{ID: id, Former: self, JoinOnly: true} }
	for _, tc := range []struct {
		name, vm string
		replies  []Info
		forms    bool
	}{
		{"first by name", "a", []Info{empty("b/1"), empty("c/1")}, true},
		{"first by name, another may not", "a", []Info{joinOnly("b/1"), empty("c/1")}, true},
		{"not the first by name", "b", []Info{empty("a/1"), empty("c/1")}, false},
		{"the first by name may not", "b", []Info{joinOnly("a/1"), empty("c/1")}, true},
		{"two may not", "b", []Info{joinOnly("a/1"), joinOnly("c/1")}, false},
		{"one doesn't reply", "a", []Info{empty("b/1")}, false},
		{"one has a log", "a", []Info{empty("b/1"), {ID: "c/1", Former: self, LastIndex: 1}}, false},
		{"one is pledged to another", "b", []Info{joinOnly("a/1"), {ID: "c/1", Former: "c/1"}}, false},
		{"first by name, earlier versions", "a", []Info{{ID: "b/1"}, {ID: "c/1"}}, true},
		{"the first by name may not, an earlier version", "b", []Info{joinOnly("a/1"), {ID: "c/1"}}, false},
		{"not the first by name, earlier versions", "b", []Info{{ID: "a/1"}, {ID: "c/1"}}, false},
	} {
		pledge := func(vm, former string) (Info, error) {
			for _, info := range tc.replies {
				if VMOf(info.ID) == vm {
					if info.Former == self {
						info.Former = former
					}
					return info, nil
				}
			}
			return Info{}, errNoReply
		}
		info := func(vm string) (Info, error) {
			info, err := pledge(vm, "")
			info.LastIndex = 0
			return info, err
		}
		runScripted(t, tc.vm, &scriptedReplicas{info: info, pledge: pledge}, func(n *Node) {
			time.Sleep(time.Second)
			if formed := n.Info().LastIndex > 0; formed != tc.forms {
				t.Errorf("%s: formed %v, want %v", tc.name, formed, tc.forms)
			}
		})
	}
}

// TestPledgedToMember guards against a replica that never joins its group, as it is pledged to a
// replica that wanted to form another one and then joined this one.
func TestPledgedToMember(t *testing.T) {
	var member Info
	var joined atomic.Bool
	s := &scriptedReplicas{info: func(vm string) (Info, error) {
		if vm == "b" && joined.Load() {
			return member, nil
		}
		return Info{}, errNoReply
	}}
	runScripted(t, "c", s, func(n *Node) {
		time.Sleep(10 * time.Millisecond)
		member = Info{ID: "b/1", LastIndex: 1, Former: "a/1", FirstVoters: []string{"a/1", "b/1", n.Info().ID}}
		for _, former := range []string{"a/1", "b/1"} {
			if _, err := n.Pledge(context.Background(), former); err != nil {
				t.Error(err)
			}
		}
		joined.Store(true)
		time.Sleep(time.Second)
		if got := n.Info(); got.Former != "a/1" || !slices.Equal(got.FirstVoters, member.FirstVoters) {
			t.Errorf("first voters %v of %q, want %v of a/1", got.FirstVoters, got.Former, member.FirstVoters)
		}
	})
}
