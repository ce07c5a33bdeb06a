package bfraft

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
)

var (
	firstSeed = flag.Uint64("raft.seed", 0, "first seed of the random faults")
	seeds     = flag.Uint64("raft.seeds", 40, "number of seeds of the random faults")
)

// fault makes one random disturbance.
func (n *network) fault() {
	ids := n.ids()
	s := n.nodes[ids[n.r.IntN(len(ids))]]
	switch n.r.IntN(14) {
	case 0:
		s.raft = nil
	case 1, 2:
		if s.raft == nil {
			n.restart(s)
		}
	case 3:
		n.cut[[2]string{s.id, ids[n.r.IntN(len(ids))]}] = true
	case 4:
		n.isolate(s)
	case 5, 6:
		clear(n.cut)
	case 7:
		n.drop, n.dup, n.delay = n.r.Float64()*0.2, n.r.Float64()*0.3, n.r.IntN(3)
		if n.r.IntN(4) == 0 {
			n.delay = 12 // longer than the shortest election timeout
		}
		n.crash = n.r.Float64() * 0.02
	case 8:
		n.compact(s)
	case 9:
		n.replaceDisk(s)
	case 10:
		// The driver waits for the lease to end before a transfer.
		if l := n.leader(); l != nil {
			n.frozen[leaseKey(l)] = true
		}
	case 11:
		n.settle()
	case 12, 13:
		if l := n.leader(); l != nil {
			n.isolate(l)
		}
	}
}

// isolate cuts a replica off from some or all others, in one or both directions.
func (n *network) isolate(s *simNode) {
	some, direction := n.r.IntN(2) == 0, n.r.IntN(3)
	for _, id := range n.ids() {
		if some && n.r.IntN(2) == 0 {
			continue
		}
		if direction != 0 {
			n.cut[[2]string{s.id, id}] = true
		}
		if direction != 1 {
			n.cut[[2]string{id, s.id}] = true
		}
	}
}

// settle removes all faults for a while.
func (n *network) settle() {
	clear(n.cut)
	n.drop, n.dup, n.delay, n.crash = 0, 0, 1, 0
}

// replaceDisk loses the disk of a follower where the other voters all run, and lets
// an empty replica with a new id join.
func (n *network) replaceDisk(s *simNode) {
	l := n.leader()
	if l == nil || l == s || len(l.raft.Membership().Voters)%2 == 0 || len(l.raft.Membership().Learners) > 0 {
		return
	}
	for _, id := range l.raft.Membership().Voters {
		if o := n.nodes[id]; o == nil || o.lost || o.raft == nil {
			return
		}
	}
	if l.raft.log.membershipIndex > l.raft.log.committed || !slices.Contains(l.raft.Membership().Voters, s.id) {
		return
	}
	s.raft, s.lost = nil, true
	delete(n.lease, s.id)
	n.disks++
	n.add(fmt.Sprintf("%c/%d", s.id[0], n.disks))
}

// members does the leader's housekeeping: join, promote, remove.
func (n *network) members() {
	l := n.leader()
	if l == nil {
		return
	}
	m := l.raft.Membership()
	for _, id := range n.ids() {
		if !m.Contains(id) {
			_, _ = l.raft.ProposeChange(Change{Kind: AddLearner, ID: id})
		}
	}
	for _, id := range m.Learners {
		_, _ = l.raft.ProposeChange(Change{Kind: Promote, ID: id})
	}
	for _, id := range m.Voters {
		if n.nodes[id].lost && len(m.Learners) == 0 && len(m.Voters)%2 == 0 {
			_, _ = l.raft.ProposeChange(Change{Kind: Remove, ID: id})
		}
	}
}

// traffic proposes and reads at every replica that believes it leads, so that a
// deposed leader is asked too.
func (n *network) traffic() {
	for _, id := range n.ids() {
		s := n.nodes[id]
		if s.raft == nil || n.r.IntN(2) == 0 {
			continue
		}
		if s.raft.Role() == Leader {
			n.next++
			_, _ = s.raft.Propose(fmt.Appendf(nil, "command %d %s", n.next, strings.Repeat("x", n.r.IntN(100))))
		}
		if s.raft.Role() == Leader || n.r.IntN(4) == 0 {
			request := uint64(len(n.reads) + 1)
			n.reads[request] = n.chosenLast()
			s.raft.ReadIndex(request)
		}
	}
}

func (n *network) chosenLast() uint64 { return uint64(len(n.chosen)) }

// TestRandomFaults guards against two leaders in a term, diverging logs, lost or
// changed committed entries, stale reads and overlapping leases, under dropped,
// delayed, repeated and reordered messages, one-way cuts, crashes and lost disks.
func TestRandomFaults(t *testing.T) {
	const steps = 1500
	total, replaced, transfers := 0, 0, 0
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		n := newNetwork(t, seed, 3+2*int(seed%2))
		for range steps {
			if n.r.IntN(10+15*int(seed%3)) == 0 {
				n.fault()
			}
			n.traffic()
			if n.r.IntN(5) == 0 {
				n.members()
			}
			n.tick()
			if n.now%50 == 0 {
				n.checkLogs()
			}
		}
		n.converge()
		total += len(n.chosen)
		replaced += n.disks
		transfers += n.transfers
	}
	t.Logf("seeds %d to %d: %d entries committed, %d disks replaced, %d transfers started",
		*firstSeed, *firstSeed+*seeds-1, total, replaced, transfers)
	if count := int(*seeds); total < count*50 || replaced < count/2 || transfers < count/2 {
		t.Errorf("too little happened: %d entries, %d disks replaced, %d transfers", total, replaced, transfers)
	}
}

// converge removes all faults and checks that the group commits again and agrees.
func (n *network) converge() {
	n.settle()
	for _, id := range n.ids() {
		if n.nodes[id].raft == nil {
			n.restart(n.nodes[id])
		}
	}
	for range 600 {
		n.members()
		n.tick()
	}
	l := n.leader()
	if l == nil {
		n.fail("no leader after all faults ended")
	}
	if _, err := l.raft.Propose([]byte("last")); err != nil {
		n.fail("propose after all faults ended: %v", err)
	}
	for range 30 {
		n.tick()
	}
	for _, id := range l.raft.Membership().Voters {
		if s := n.nodes[id]; s.lost || s.applied != l.raft.LastIndex() {
			n.fail("%s applied %d of %d after all faults ended (lost: %v, membership %v)", id, s.applied, l.raft.LastIndex(), s.lost, l.raft.Membership())
		}
	}
	n.checkLogs()
}
