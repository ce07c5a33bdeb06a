package bfraft

import (
	"errors"
	"math/rand/v2"
	"slices"
	"testing"
)

func (n *network) runTicks(ticks int) {
	for range ticks {
		n.tick()
	}
}

func (n *network) waitForLeader() *simNode {
	n.t.Helper()
	for range 200 {
		n.tick()
		if l := n.leader(); l != nil && l.raft.Committed() == l.raft.LastIndex() {
			return l
		}
	}
	n.fatalf("no leader")
	return nil
}

// TestLeadershipTransfer guards against a planned stop that leaves the group without a
// leader for an election timeout, and against proposals accepted during the transfer.
func TestLeadershipTransfer(t *testing.T) {
	n := newNetwork(t, 1, 3)
	old := n.waitForLeader()
	n.leaseFrozen[leaseKey(old)] = true
	for n.leaseEnd[old.id] > n.now {
		n.tick()
	}
	target := old.raft.Transfer()
	if _, err := old.raft.Propose([]byte("x")); !errors.Is(err, ErrNotLeader) {
		t.Errorf("propose during a transfer: %v", err)
	}
	n.runTicks(5)
	if l := n.leader(); l == nil || l.id != target {
		t.Fatalf("leader is %v, want %s", l, target)
	}
}

// TestLeaderKeepsLeaseAgainstReturningPeer guards against a replica that raises its term
// while it is partitioned and then deposes a working leader when it reconnects.
func TestLeaderKeepsLeaseAgainstReturningPeer(t *testing.T) {
	n := newNetwork(t, 2, 3)
	l := n.waitForLeader()
	var returning *simNode
	for _, id := range n.ids() {
		if id != l.id {
			returning = n.nodes[id]
		}
	}
	for _, id := range n.ids() {
		n.cutLinks[[2]string{returning.id, id}], n.cutLinks[[2]string{id, returning.id}] = true, true
	}
	term := l.raft.Term()
	n.runTicks(200)
	clear(n.cutLinks)
	n.runTicks(50)
	if got := n.leader(); got != l || l.raft.Term() != term {
		t.Errorf("leader %s in term %d, want %s in term %d", got.id, got.raft.Term(), l.id, term)
	}
}

// TestCheckQuorum guards against a leader that remains leader although no replies reach it.
func TestCheckQuorum(t *testing.T) {
	n := newNetwork(t, 3, 3)
	l := n.waitForLeader()
	for _, id := range n.ids() {
		n.cutLinks[[2]string{id, l.id}] = true
	}
	n.runTicks(3 * simElectionTicks)
	if l.raft.Role() == Leader {
		t.Error("replica is still leader without replies from a majority")
	}
}

// TestEmptyReplicaNeverVotes guards against a replica that lost its disk, with the record
// of its votes, and votes a second time.
func TestEmptyReplicaNeverVotes(t *testing.T) {
	r, err := New(Config{ID: "a/1", ElectionTicks: 10, ElectionJitterTicks: 10, HeartbeatTicks: 1, MaxMessageBytes: 10, MaxInflight: 1,
		Rand: rand.New(rand.NewPCG(1, 1))}, Recovered{})
	if err != nil {
		t.Fatal(err)
	}
	for range 100 {
		r.Tick()
	}
	for _, kind := range []MessageType{MsgPreVote, MsgVote} {
		r.Step(Message{Type: kind, From: "b/1", To: "a/1", Term: 9, Index: 5, LogTerm: 3, Transfer: true})
	}
	for _, m := range r.Ready().Messages {
		if !m.Reject {
			t.Errorf("sent %+v", m)
		}
	}
}

// newFollower returns replica "a/0" of a group of three in the given term, with the given
// entries after the bootstrap entry.
func newFollower(t *testing.T, term uint64, entries ...Entry) *Raft {
	t.Helper()
	bootstrap, err := membershipEntry(Membership{Voters: []string{"a/0", "b/0", "c/0"}})
	if err != nil {
		t.Fatal(err)
	}
	bootstrap.Index, bootstrap.Term = 1, 1
	r, err := New(Config{ID: "a/0", ElectionTicks: 10, ElectionJitterTicks: 10, HeartbeatTicks: 1, MaxMessageBytes: 1000, MaxInflight: 4,
		Rand: rand.New(rand.NewPCG(1, 1))}, Recovered{HardState: HardState{Term: term}, Entries: append([]Entry{bootstrap}, entries...)})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func drainReady(r *Raft) []Message {
	var out []Message
	for r.HasReady() {
		rd := r.Ready()
		out = append(append(out, rd.Immediate...), rd.Messages...)
		r.Advance(rd)
	}
	return out
}

// electLeader lets the replica win the election of the next term.
func electLeader(t *testing.T, r *Raft) {
	t.Helper()
	for r.Role() != PreCandidate {
		r.Tick()
	}
	r.Step(Message{Type: MsgPreVoteReply, From: "b/0", To: "a/0", Term: r.Term() + 1})
	r.Step(Message{Type: MsgVoteReply, From: "b/0", To: "a/0", Term: r.Term()})
	if r.Role() != Leader {
		t.Fatal("not elected")
	}
	drainReady(r)
}

func ackAppend(r *Raft, index uint64) {
	r.Step(Message{Type: MsgAppendReply, From: "b/0", To: "a/0", Term: r.Term(), Index: index})
	drainReady(r)
}

// TestEarlierTermIsNotCommittedByCount guards against committing an entry of an
// earlier term that a later leader may still replace.
func TestEarlierTermIsNotCommittedByCount(t *testing.T) {
	r := newFollower(t, 2, Entry{Index: 2, Term: 2, Kind: EntryCommand, Data: []byte("old")})
	electLeader(t, r)
	ackAppend(r, 2)
	if r.Committed() != 0 {
		t.Errorf("committed %d by replica count alone", r.Committed())
	}
	ackAppend(r, 3)
	if r.Committed() != 3 {
		t.Errorf("committed %d after an entry of the leader's own term, want 3", r.Committed())
	}
}

// TestRestartedReplicaRefusesVotes guards against a restarted replica that votes during a
// lease which it acknowledged just before the restart.
func TestRestartedReplicaRefusesVotes(t *testing.T) {
	r := newFollower(t, 3)
	vote := Message{Type: MsgVote, From: "b/0", To: "a/0", Term: 4, Index: 9, LogTerm: 3}
	r.Step(vote)
	if m := drainReady(r); len(m) != 0 || r.Term() != 3 {
		t.Errorf("answered %+v in term %d right after the restart", m, r.Term())
	}
	for range 10 {
		r.Tick()
	}
	r.Step(vote)
	if m := drainReady(r); len(m) == 0 || m[len(m)-1].Reject {
		t.Errorf("answered %+v after the election timeout", m)
	}
}

// TestReadWaitsForNewRound guards against a deposed leader that answers a read because of
// an acknowledgement older than the read.
func TestReadWaitsForNewRound(t *testing.T) {
	r := newFollower(t, 1)
	electLeader(t, r)
	ackAppend(r, 2)
	r.Step(Message{Type: MsgHeartbeatReply, From: "b/0", To: "a/0", Term: r.Term(), Round: r.HeartbeatRound()})
	r.ReadIndex(7)
	r.HasReady()
	if rd := r.Ready(); len(rd.ReadStates) != 0 {
		t.Fatalf("read answered without a new round: %+v", rd.ReadStates)
	}
	r.Step(Message{Type: MsgHeartbeatReply, From: "b/0", To: "a/0", Term: r.Term(), Round: r.HeartbeatRound()})
	if rd := r.Ready(); len(rd.ReadStates) != 1 || rd.ReadStates[0] != (ReadState{Request: 7, Index: 2}) {
		t.Errorf("read states %+v", rd.ReadStates)
	}
}

// TestOneChangeAtATime guards against two membership changes whose majorities do not
// overlap, and against the promotion of an empty learner and the removal of the leader.
func TestOneChangeAtATime(t *testing.T) {
	r := newFollower(t, 1)
	electLeader(t, r)
	add := func(id string) error {
		_, err := r.ProposeChange(Change{Kind: AddLearner, ID: id})
		return err
	}
	if err := add("c/1"); !errors.Is(err, ErrChangePending) {
		t.Errorf("change before an entry of the leader's own term is committed: %v", err)
	}
	ackAppend(r, 2)
	if err := add("c/1"); err != nil {
		t.Errorf("first change: %v", err)
	}
	if err := add("c/2"); !errors.Is(err, ErrChangePending) {
		t.Errorf("second change: %v", err)
	}
	ackAppend(r, 3)
	if _, err := r.ProposeChange(Change{Kind: Promote, ID: "c/1"}); !errors.Is(err, ErrNotCaughtUp) {
		t.Errorf("promotion of an empty learner: %v", err)
	}
	if _, err := r.ProposeChange(Change{Kind: Remove, ID: "a/0"}); !errors.Is(err, ErrInvalidChange) {
		t.Errorf("removal of the leader: %v", err)
	}
}

// TestTruncatedMembershipIsUndone guards against a membership that stays in force after
// its entry was truncated.
func TestTruncatedMembershipIsUndone(t *testing.T) {
	e, err := membershipEntry(Membership{Voters: []string{"a/0", "b/0"}})
	if err != nil {
		t.Fatal(err)
	}
	e.Index, e.Term = 2, 2
	r := newFollower(t, 2, e)
	r.Step(Message{Type: MsgAppend, From: "b/0", To: "a/0", Term: 3, Index: 1, LogTerm: 1,
		Entries: []Entry{{Index: 2, Term: 3, Kind: EntryCommand}}})
	if got := r.Membership().Voters; len(got) != 3 {
		t.Errorf("voters %v after the entry was replaced", got)
	}
}

// TestFastLogBacktracking guards against a leader that needs one round trip per entry to
// find where a follower's log matches.
func TestFastLogBacktracking(t *testing.T) {
	var own, other []Entry
	for i := uint64(2); i <= 400; i++ {
		own = append(own, Entry{Index: i, Term: 3, Kind: EntryCommand})
		other = append(other, Entry{Index: i, Term: 2, Kind: EntryCommand})
	}
	leader, follower := newFollower(t, 3, own...), newFollower(t, 2, other[:300]...)
	electLeader(t, leader)
	follower.cfg.ID = "b/0"
	leader.Propose([]byte("x"))
	rejections := 0
	for range 200 {
		for _, m := range append(drainReady(leader), Message{Type: MsgHeartbeat, From: "a/0", To: "b/0", Term: leader.Term()}) {
			follower.Step(m)
		}
		for _, m := range drainReady(follower) {
			if m.Reject {
				rejections++
			}
			leader.Step(m)
		}
	}
	if follower.LastIndex() != leader.LastIndex() || rejections == 0 || rejections > 4 {
		t.Errorf("follower at %d of %d after %d rejections", follower.LastIndex(), leader.LastIndex(), rejections)
	}
}

// TestSilenceIsInherited guards against a new leader that counts the silence of a lost
// member from zero, and against one that keeps an inherited silence after a reply.
func TestSilenceIsInherited(t *testing.T) {
	n := newNetwork(t, 4, 5)
	first := n.waitForLeader()
	others := slices.DeleteFunc(n.ids(), func(id string) bool { return id == first.id })
	lost, returning := n.nodes[others[0]], n.nodes[others[1]]
	lost.raft, returning.raft = nil, nil
	n.runTicks(10 * simElectionTicks)
	if got := first.raft.TicksSinceReply(lost.id); got < 9*simElectionTicks {
		t.Fatalf("the first leader counts %d ticks of silence", got)
	}
	first.raft = nil
	n.restart(returning)
	second := n.waitForLeader()
	n.runTicks(2 * simElectionTicks)
	if got := second.raft.TicksSinceReply(lost.id); got < 12*simElectionTicks {
		t.Errorf("the second leader counts %d ticks of silence of the lost member, want at least %d", got, 12*simElectionTicks)
	}
	if got := second.raft.TicksSinceReply(first.id); got < 2*simElectionTicks {
		t.Errorf("the second leader counts %d ticks of silence of the first one", got)
	}
	if got := second.raft.TicksSinceReply(returning.id); second != returning && got > simElectionTicks {
		t.Errorf("the second leader counts %d ticks of silence of a member that is back", got)
	}
}

// TestTransferWaitsForVotes guards against a target of a leadership transfer that gives its
// campaign up before the votes can arrive: a replica that has just joined has no connections
// yet to the voters that it asks.
func TestTransferWaitsForVotes(t *testing.T) {
	r := newFollower(t, 2)
	r.Step(Message{Type: MsgHeartbeat, From: "b/0", To: "a/0", Term: 2})
	r.Step(Message{Type: MsgTimeoutNow, From: "b/0", To: "a/0", Term: 2})
	campaign := r.Term()
	for range r.cfg.ElectionTicks - 1 {
		r.Tick()
	}
	r.Step(Message{Type: MsgVoteReply, From: "c/0", To: "a/0", Term: campaign})
	if r.Role() != Leader || r.Term() != campaign {
		t.Errorf("role %d in term %d after a vote of term %d, want the leader", r.Role(), r.Term(), campaign)
	}
}
