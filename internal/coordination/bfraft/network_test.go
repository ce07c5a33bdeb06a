package bfraft

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

type (
	// simDisk is the state of a simulated replica that survives a crash.
	simDisk struct {
		hardState HardState
		snapshot  *Snapshot
		entries   []Entry
		// commit is the commit index that the replica last saved.
		commit uint64
	}

	simNode struct {
		id   string
		raft *Raft // nil while down
		disk simDisk
		// state holds the applied entries as text, rebuilt from the snapshot and the log.
		state      []string
		applied    uint64
		membership Membership
		diskLost   bool
	}

	delivery struct {
		dueTick int
		message Message
	}

	// network simulates replicas and the links between them in virtual time, with faults
	// from one seed. It checks leaders, leases, reads and applied entries after every step;
	// checkLogs compares the logs.
	network struct {
		t             *testing.T
		seed          uint64
		rng           *rand.Rand
		now           int
		nodes         map[string]*simNode
		inTransit     []delivery
		cutLinks      map[[2]string]bool
		dropRate      float64
		duplicateRate float64
		maxDelayTicks int
		crashRate     float64

		leaders map[uint64]string
		// committed maps each index to the entry that a replica first applied there.
		committed map[uint64]string
		// leaseEnd maps each leader to the tick at which its quorum lease ends.
		leaseEnd map[string]int
		// roundStarts holds the tick at which each heartbeat round started, by leaseKey.
		roundStarts map[string]map[uint64]int
		// leaseFrozen holds the leaders that don't renew their lease because a leadership
		// transfer is planned.
		leaseFrozen map[string]bool
		// committedAtRead maps each read request to the last index committed before it.
		committedAtRead map[uint64]uint64
		lastCommand     int
		replacedDisks   int
		// transfers counts the transfers that were started.
		transfers int
	}
)

const simElectionTicks, simHeartbeatTicks = 10, 2

func newNetwork(t *testing.T, seed uint64, count int) *network {
	n := &network{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 11)), nodes: map[string]*simNode{},
		cutLinks: map[[2]string]bool{}, leaders: map[uint64]string{}, committed: map[uint64]string{},
		leaseEnd: map[string]int{}, roundStarts: map[string]map[uint64]int{}, leaseFrozen: map[string]bool{}, committedAtRead: map[uint64]uint64{}}
	var ids []string
	for i := range count {
		ids = append(ids, fmt.Sprintf("%c/0", 'a'+i))
	}
	for _, id := range ids {
		n.addNode(id)
		if err := n.nodes[id].raft.Bootstrap(ids); err != nil {
			t.Fatal(err)
		}
	}
	return n
}

func (n *network) config(id string) Config {
	return Config{ID: id, ElectionTicks: simElectionTicks, ElectionJitterTicks: simElectionTicks, HeartbeatTicks: simHeartbeatTicks,
		MaxMessageBytes: 200, MaxInflight: 4, KeepEntries: 5, KeepBytes: 500, Rand: rand.New(rand.NewPCG(n.rng.Uint64(), 1))}
}

func (n *network) addNode(id string) *simNode {
	s := &simNode{id: id}
	n.nodes[id] = s
	n.restart(s)
	return s
}

func (n *network) restart(s *simNode) {
	r, err := New(n.config(s.id), Recovered{HardState: s.disk.hardState, Snapshot: s.disk.snapshot, Entries: slices.Clone(s.disk.entries), Commit: s.disk.commit})
	if err != nil {
		n.fatalf("restart of %s: %v", s.id, err)
	}
	s.raft, s.applied, s.state = r, 0, nil
	if s.disk.snapshot != nil {
		n.restore(s, s.disk.snapshot)
	}
}

func (n *network) fatalf(format string, args ...any) {
	n.t.Helper()
	n.t.Fatalf("seed %d, tick %d: %s", n.seed, n.now, fmt.Sprintf(format, args...))
}

func (n *network) ids() []string {
	var ids []string
	for id, s := range n.nodes {
		if !s.diskLost {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// tick advances the time by one tick for every running replica and delivers the messages
// that are due.
func (n *network) tick() {
	n.now++
	for _, id := range n.ids() {
		s := n.nodes[id]
		if s.raft == nil && n.crashRate > 0 && n.rng.IntN(8) == 0 {
			n.restart(s)
		}
		if s.raft != nil {
			s.raft.Tick()
			n.handleReady(s)
		}
	}
	due := n.inTransit
	n.inTransit = nil
	var later []delivery
	for _, d := range due {
		if d.dueTick > n.now {
			later = append(later, d)
			continue
		}
		if s := n.nodes[d.message.To]; s != nil && s.raft != nil && !s.diskLost {
			s.raft.Step(d.message)
			// A replica may handle several messages before it persists their effects.
			if n.rng.IntN(3) > 0 {
				n.handleReady(s)
			}
		}
	}
	n.inTransit = append(later, n.inTransit...)
	if l := n.leader(); l != nil && n.leaseFrozen[leaseKey(l)] && n.leaseEnd[l.id] <= n.now && !l.raft.Transferring() {
		l.raft.Transfer()
		n.transfers++
	}
	for _, id := range n.ids() {
		if s := n.nodes[id]; s.raft != nil {
			n.handleReady(s)
		}
	}
}

func (n *network) send(messages []Message) {
	for _, m := range messages {
		if n.cutLinks[[2]string{m.From, m.To}] || n.rng.Float64() < n.dropRate {
			continue
		}
		copies := 1
		if n.rng.Float64() < n.duplicateRate {
			copies = 2
		}
		for range copies {
			n.inTransit = append(n.inTransit, delivery{dueTick: n.now + n.rng.IntN(n.maxDelayTicks+1), message: m})
		}
	}
}

// handleReady persists, sends and applies the output of Raft in the required order, and
// crashes the replica between two of these steps at the current crash rate.
func (n *network) handleReady(s *simNode) {
	for s.raft != nil && s.raft.HasReady() {
		rd := s.raft.Ready()
		n.recordRound(s)
		n.send(rd.Immediate)
		if n.maybeCrash(s) {
			return
		}
		s.persist(rd)
		if n.maybeCrash(s) {
			return
		}
		n.send(rd.Messages)
		if n.maybeCrash(s) {
			return
		}
		if rd.Snapshot != nil {
			n.restore(s, rd.Snapshot)
		}
		for _, e := range rd.Committed {
			n.apply(s, e)
		}
		n.checkReads(s, rd.ReadStates)
		s.raft.Advance(rd)
	}
	n.checkRole(s)
}

func (n *network) maybeCrash(s *simNode) bool {
	if n.rng.Float64() >= n.crashRate {
		return false
	}
	s.raft = nil
	return true
}

func (n *network) checkReads(s *simNode, states []ReadState) {
	for _, read := range states {
		if read.Index > 0 && read.Index < n.committedAtRead[read.Request] {
			n.fatalf("read %d at %s returned index %d, but index %d was committed before the read", read.Request, s.id, read.Index, n.committedAtRead[read.Request])
		}
	}
}

func (s *simNode) persist(rd Ready) {
	d := &s.disk
	if rd.Snapshot != nil {
		d.snapshot, d.entries = rd.Snapshot, nil
	}
	if rd.HardState != nil {
		d.hardState = *rd.HardState
	}
	for _, e := range rd.Entries {
		for len(d.entries) > 0 && d.entries[len(d.entries)-1].Index >= e.Index {
			d.entries = d.entries[:len(d.entries)-1]
		}
		d.entries = append(slices.Clip(d.entries), e)
	}
	// The saved commit index isn't synced, so a crash may lose its latest values.
	if s.raft.Committed()%3 == 0 {
		d.commit = max(d.commit, s.raft.Committed())
	}
}

func (n *network) apply(s *simNode, e Entry) {
	if e.Index != s.applied+1 {
		n.fatalf("%s applied entry %d directly after entry %d", s.id, e.Index, s.applied)
	}
	text := fmt.Sprintf("%d:%d:%s", e.Term, e.Kind, e.Data)
	if previous, ok := n.committed[e.Index]; ok && previous != text {
		n.fatalf("%s applied %q at index %d, but another replica applied %q there", s.id, text, e.Index, previous)
	}
	n.committed[e.Index] = text
	s.applied = e.Index
	s.state = append(s.state, text)
	if e.Kind == EntryMembership {
		s.membership, _ = s.raft.log.membershipAt(e.Index)
	}
}

func (n *network) restore(s *simNode, snap *Snapshot) {
	s.applied, s.membership = snap.Index, snap.Membership
	s.state = slices.Clone(n.stateAt(snap.Index))
	if string(snap.Data) != string(digest(s.state)) {
		n.fatalf("%s restored a snapshot at %d that differs from the applied commands", s.id, snap.Index)
	}
}

// digest stands in for an encoded state; it is large enough for several chunks.
func digest(state []string) []byte {
	sum := sha256.Sum256([]byte(fmt.Sprint(state)))
	return bytes.Repeat(sum[:], 25)
}

func (n *network) stateAt(index uint64) []string {
	state := make([]string, 0, index)
	for i := uint64(1); i <= index; i++ {
		state = append(state, n.committed[i])
	}
	return state
}

// compact takes a snapshot of the state that the replica has applied.
func (n *network) compact(s *simNode) {
	if s.raft == nil || s.applied == 0 {
		return
	}
	snap := &Snapshot{Index: s.applied, Membership: s.membership, Data: digest(s.state)}
	t, ok := s.raft.log.term(s.applied)
	if !ok || s.disk.snapshot != nil && s.disk.snapshot.Index >= s.applied {
		return
	}
	snap.Term = t
	s.disk.snapshot = snap
	for len(s.disk.entries) > 0 && s.disk.entries[0].Index <= snap.Index {
		s.disk.entries = s.disk.entries[1:]
	}
	s.raft.Compact(snap)
}

// checkRole checks election safety, leader completeness and the quorum lease.
func (n *network) checkRole(s *simNode) {
	if s.raft == nil || s.raft.Role() != Leader {
		return
	}
	term := s.raft.Term()
	previous, known := n.leaders[term]
	if known && previous != s.id {
		n.fatalf("%s and %s are both leaders in term %d", previous, s.id, term)
	}
	if !known {
		n.leaders[term] = s.id
		n.checkNewLeader(s)
	}
	n.recordLease(s)
}

func (n *network) checkNewLeader(s *simNode) {
	l := s.raft.log
	for index, text := range n.committed {
		if index <= l.base {
			continue
		}
		if index > l.last() {
			n.fatalf("leader %s lacks committed entry %d", s.id, index)
		}
		e := l.entries[index-l.base-1]
		if got := fmt.Sprintf("%d:%d:%s", e.Term, e.Kind, e.Data); got != text {
			n.fatalf("leader %s has %q at index %d, committed is %q", s.id, got, index, text)
		}
	}
	for id, until := range n.leaseEnd {
		if other := n.nodes[id]; id != s.id && until > n.now && !other.diskLost {
			n.fatalf("%s was elected while the lease of %s runs until tick %d", s.id, id, until)
		}
	}
}

func leaseKey(s *simNode) string { return fmt.Sprintf("%s@%d", s.id, s.raft.Term()) }

func (n *network) recordRound(s *simNode) {
	if s.raft.Role() != Leader {
		return
	}
	key := leaseKey(s)
	if n.roundStarts[key] == nil {
		n.roundStarts[key] = map[uint64]int{}
	}
	if _, ok := n.roundStarts[key][s.raft.HeartbeatRound()]; !ok {
		n.roundStarts[key][s.raft.HeartbeatRound()] = n.now
	}
}

// recordLease records the end of a leader's lease: one tick less than the election
// timeout, counted from the start of the latest round that a majority acknowledged. The
// lease that bfreplica computes is shorter.
func (n *network) recordLease(s *simNode) {
	if at, ok := n.roundStarts[leaseKey(s)][s.raft.QuorumRound()]; ok && !n.leaseFrozen[leaseKey(s)] {
		n.leaseEnd[s.id] = at + simElectionTicks - 1
	}
}

// checkLogs checks log matching between all replicas.
func (n *network) checkLogs() {
	ids := n.ids()
	for i, a := range ids {
		for _, b := range ids[i+1:] {
			x, y := n.nodes[a].raft, n.nodes[b].raft
			if x == nil || y == nil {
				continue
			}
			n.matchLogs(a, b, x.log, y.log)
		}
	}
}

func (n *network) matchLogs(a, b string, x, y *raftLog) {
	matched := false
	for i := min(x.last(), y.last()); i > max(x.base, y.base); i-- {
		e, f := x.entries[i-x.base-1], y.entries[i-y.base-1]
		if e.Term == f.Term {
			matched = true
		}
		if matched && (e.Term != f.Term || string(e.Data) != string(f.Data)) {
			n.fatalf("logs of %s and %s differ at index %d, below an index with equal terms", a, b, i)
		}
	}
}

func (n *network) leader() *simNode {
	var best *simNode
	for _, id := range n.ids() {
		s := n.nodes[id]
		if s.raft != nil && s.raft.Role() == Leader && (best == nil || s.raft.Term() > best.raft.Term()) {
			best = s
		}
	}
	return best
}
