package bfraft

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
)

var (
	firstSeed = flag.Uint64("raft.seed", 0, "first seed of TestRandomFaults")
	seeds     = flag.Uint64("raft.seeds", 40, "number of seeds of TestRandomFaults")
)

// injectFault injects one random fault, or ends the current ones.
func (n *network) injectFault() {
	ids := n.ids()
	s := n.nodes[ids[n.rng.IntN(len(ids))]]
	switch n.rng.IntN(14) {
	case 0:
		s.raft = nil
	case 1, 2:
		if s.raft == nil {
			n.restart(s)
		}
	case 3:
		n.cutLinks[[2]string{s.id, ids[n.rng.IntN(len(ids))]}] = true
	case 4:
		n.isolate(s)
	case 5, 6:
		clear(n.cutLinks)
	case 7:
		n.dropRate, n.duplicateRate, n.maxDelayTicks = n.rng.Float64()*0.2, n.rng.Float64()*0.3, n.rng.IntN(3)
		if n.rng.IntN(4) == 0 {
			n.maxDelayTicks = 12 // longer than the shortest election timeout
		}
		n.crashRate = n.rng.Float64() * 0.02
	case 8:
		n.compact(s)
	case 9:
		n.replaceDisk(s)
	case 10:
		// A leader transfers leadership only after its lease has expired.
		if l := n.leader(); l != nil {
			n.leaseFrozen[leaseKey(l)] = true
		}
	case 11:
		n.clearFaults()
	case 12, 13:
		if l := n.leader(); l != nil {
			n.isolate(l)
		}
	}
}

// isolate cuts the links between a replica and some or all others, in one or both
// directions.
func (n *network) isolate(s *simNode) {
	partial, direction := n.rng.IntN(2) == 0, n.rng.IntN(3)
	for _, id := range n.ids() {
		if partial && n.rng.IntN(2) == 0 {
			continue
		}
		if direction != 0 {
			n.cutLinks[[2]string{s.id, id}] = true
		}
		if direction != 1 {
			n.cutLinks[[2]string{id, s.id}] = true
		}
	}
}

// clearFaults ends all faults on the links and the random crashes.
func (n *network) clearFaults() {
	clear(n.cutLinks)
	n.dropRate, n.duplicateRate, n.maxDelayTicks, n.crashRate = 0, 0, 1, 0
}

// replaceDisk discards the disk of a voter that isn't the leader and starts an empty
// replica with a new id in its place, if all voters run, their number is odd, and no
// other membership change is in progress.
func (n *network) replaceDisk(s *simNode) {
	l := n.leader()
	if l == nil || l == s || len(l.raft.Membership().Voters)%2 == 0 || len(l.raft.Membership().Learners) > 0 {
		return
	}
	for _, id := range l.raft.Membership().Voters {
		if o := n.nodes[id]; o == nil || o.diskLost || o.raft == nil {
			return
		}
	}
	if l.raft.log.membershipIndex > l.raft.log.committed || !slices.Contains(l.raft.Membership().Voters, s.id) {
		return
	}
	s.raft, s.diskLost = nil, true
	delete(n.leaseEnd, s.id)
	n.replacedDisks++
	n.addNode(fmt.Sprintf("%c/%d", s.id[0], n.replacedDisks))
}

// manageMembership proposes membership changes to the leader: it adds new replicas,
// promotes learners and removes replicas that lost their disk.
func (n *network) manageMembership() {
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
		if n.nodes[id].diskLost && len(m.Learners) == 0 && len(m.Voters)%2 == 0 {
			_, _ = l.raft.ProposeChange(Change{Kind: Remove, ID: id})
		}
	}
}

// generateLoad proposes commands to all replicas that consider themselves leaders, which
// includes deposed ones, and reads from them and from some followers.
func (n *network) generateLoad() {
	for _, id := range n.ids() {
		s := n.nodes[id]
		if s.raft == nil || n.rng.IntN(2) == 0 {
			continue
		}
		if s.raft.Role() == Leader {
			n.lastCommand++
			_, _ = s.raft.Propose(fmt.Appendf(nil, "command %d %s", n.lastCommand, strings.Repeat("x", n.rng.IntN(100))))
		}
		if s.raft.Role() == Leader || n.rng.IntN(4) == 0 {
			request := uint64(len(n.committedAtRead) + 1)
			n.committedAtRead[request] = n.lastCommitted()
			s.raft.ReadIndex(request)
		}
	}
}

func (n *network) lastCommitted() uint64 { return uint64(len(n.committed)) }

// TestRandomFaults guards against two leaders in a term, diverging logs, lost or
// changed committed entries, stale reads and overlapping leases, under dropped,
// delayed, duplicated and reordered messages, one-way partitions, crashes and lost disks.
func TestRandomFaults(t *testing.T) {
	const steps = 1500
	total, replaced, transfers := 0, 0, 0
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		n := newNetwork(t, seed, 3+2*int(seed%2))
		for range steps {
			if n.rng.IntN(10+15*int(seed%3)) == 0 {
				n.injectFault()
			}
			n.generateLoad()
			if n.rng.IntN(5) == 0 {
				n.manageMembership()
			}
			n.tick()
			if n.now%50 == 0 {
				n.checkLogs()
			}
		}
		n.converge()
		total += len(n.committed)
		replaced += n.replacedDisks
		transfers += n.transfers
	}
	t.Logf("seeds %d to %d: %d entries committed, %d disks replaced, %d transfers started",
		*firstSeed, *firstSeed+*seeds-1, total, replaced, transfers)
	if count := int(*seeds); total < count*50 || replaced < count/2 || transfers < count/2 {
		t.Errorf("too few events: %d entries committed, %d disks replaced, %d transfers started", total, replaced, transfers)
	}
}

// converge ends all faults and checks that the group commits a new entry and that all
// replicas agree.
func (n *network) converge() {
	n.clearFaults()
	for _, id := range n.ids() {
		if n.nodes[id].raft == nil {
			n.restart(n.nodes[id])
		}
	}
	for range 600 {
		n.manageMembership()
		n.tick()
	}
	l := n.leader()
	if l == nil {
		n.fatalf("no leader after all faults ended")
	}
	if _, err := l.raft.Propose([]byte("last")); err != nil {
		n.fatalf("propose after all faults ended: %v", err)
	}
	for range 30 {
		n.tick()
	}
	for _, id := range l.raft.Membership().Voters {
		if s := n.nodes[id]; s.diskLost || s.applied != l.raft.LastIndex() {
			n.fatalf("%s applied %d of %d after all faults ended (lost: %v, membership %v)", id, s.applied, l.raft.LastIndex(), s.diskLost, l.raft.Membership())
		}
	}
	n.checkLogs()
}
