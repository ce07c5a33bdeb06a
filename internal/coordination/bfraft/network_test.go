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
	// simDisk is what survives a crash of a simulated replica.
	simDisk struct {
		hard     HardState
		snapshot *Snapshot
		entries  []Entry
		// commit is what a replica noted of its commit index.
		commit uint64
	}

	simNode struct {
		id   string
		raft *Raft // nil while down
		disk simDisk
		// state is the applied log as text, rebuilt from the snapshot and the log.
		state   []string
		applied uint64
		member  Membership
		lost    bool
	}

	flight struct {
		at int
		m  Message
	}

	// network drives replicas in virtual time with faults from one seed and checks
	// the properties of Raft after every step.
	network struct {
		t       *testing.T
		seed    uint64
		r       *rand.Rand
		now     int
		nodes   map[string]*simNode
		flights []flight
		cut     map[[2]string]bool
		drop    float64
		dup     float64
		delay   int
		crash   float64

		leaders map[uint64]string
		// chosen is the command committed at each index, as first applied anywhere.
		chosen map[uint64]string
		// lease is the end of each leader's quorum lease in ticks, by the rule of the driver.
		lease  map[string]int
		rounds map[string]map[uint64]int
		// frozen holds the leaders whose lease is not renewed, as a transfer is planned.
		frozen map[string]bool
		reads  map[uint64]uint64
		next   int
		disks  int
		// transfers counts the transfers that were started.
		transfers int
	}
)

const simElection, simHeartbeat = 10, 2

func newNetwork(t *testing.T, seed uint64, count int) *network {
	n := &network{t: t, seed: seed, r: rand.New(rand.NewPCG(seed, 11)), nodes: map[string]*simNode{},
		cut: map[[2]string]bool{}, leaders: map[uint64]string{}, chosen: map[uint64]string{},
		lease: map[string]int{}, rounds: map[string]map[uint64]int{}, frozen: map[string]bool{}, reads: map[uint64]uint64{}}
	var ids []string
	for i := range count {
		ids = append(ids, fmt.Sprintf("%c/0", 'a'+i))
	}
	for _, id := range ids {
		n.add(id)
		if err := n.nodes[id].raft.Bootstrap(ids); err != nil {
			t.Fatal(err)
		}
	}
	return n
}

func (n *network) config(id string) Config {
	return Config{ID: id, ElectionTicks: simElection, ElectionJitterTicks: simElection, HeartbeatTicks: simHeartbeat,
		MaxMessageBytes: 200, MaxInflight: 4, KeepEntries: 5, KeepBytes: 500, Rand: rand.New(rand.NewPCG(n.r.Uint64(), 1))}
}

func (n *network) add(id string) *simNode {
	s := &simNode{id: id}
	n.nodes[id] = s
	n.restart(s)
	return s
}

func (n *network) restart(s *simNode) {
	r, err := New(n.config(s.id), Recovered{HardState: s.disk.hard, Snapshot: s.disk.snapshot, Entries: slices.Clone(s.disk.entries), Commit: s.disk.commit})
	if err != nil {
		n.fail("restart of %s: %v", s.id, err)
	}
	s.raft, s.applied, s.state = r, 0, nil
	if s.disk.snapshot != nil {
		n.restore(s, s.disk.snapshot)
	}
}

func (n *network) fail(format string, args ...any) {
	n.t.Helper()
	n.t.Fatalf("seed %d, tick %d: %s", n.seed, n.now, fmt.Sprintf(format, args...))
}

func (n *network) ids() []string {
	var ids []string
	for id, s := range n.nodes {
		if !s.lost {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// tick moves the time on by one tick for every running replica and delivers what is due.
func (n *network) tick() {
	n.now++
	for _, id := range n.ids() {
		s := n.nodes[id]
		if s.raft == nil && n.crash > 0 && n.r.IntN(8) == 0 {
			n.restart(s)
		}
		if s.raft != nil {
			s.raft.Tick()
			n.process(s)
		}
	}
	due := n.flights
	n.flights = nil
	var later []flight
	for _, f := range due {
		if f.at > n.now {
			later = append(later, f)
			continue
		}
		if s := n.nodes[f.m.To]; s != nil && s.raft != nil && !s.lost {
			s.raft.Step(f.m)
			// Several messages may be handled before one sync.
			if n.r.IntN(3) > 0 {
				n.process(s)
			}
		}
	}
	n.flights = append(later, n.flights...)
	if l := n.leader(); l != nil && n.frozen[leaseKey(l)] && n.lease[l.id] <= n.now && !l.raft.Transferring() {
		l.raft.Transfer()
		n.transfers++
	}
	for _, id := range n.ids() {
		if s := n.nodes[id]; s.raft != nil {
			n.process(s)
		}
	}
}

func (n *network) send(messages []Message) {
	for _, m := range messages {
		if n.cut[[2]string{m.From, m.To}] || n.r.Float64() < n.drop {
			continue
		}
		copies := 1
		if n.r.Float64() < n.dup {
			copies = 2
		}
		for range copies {
			n.flights = append(n.flights, flight{at: n.now + n.r.IntN(n.delay+1), m: m})
		}
	}
}

// process drives the core the way a replica does, and crashes at a random point of
// it at the current crash rate.
func (n *network) process(s *simNode) {
	for s.raft != nil && s.raft.HasReady() {
		rd := s.raft.Ready()
		n.noteRound(s)
		n.send(rd.Immediate)
		if n.crashes(s) {
			return
		}
		s.persist(rd)
		if n.crashes(s) {
			return
		}
		n.send(rd.Messages)
		if n.crashes(s) {
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

func (n *network) crashes(s *simNode) bool {
	if n.r.Float64() >= n.crash {
		return false
	}
	s.raft = nil
	return true
}

func (n *network) checkReads(s *simNode, states []ReadState) {
	for _, read := range states {
		if read.Index > 0 && read.Index < n.reads[read.Request] {
			n.fail("read %d at %s got index %d, but %d was committed before", read.Request, s.id, read.Index, n.reads[read.Request])
		}
	}
}

func (s *simNode) persist(rd Ready) {
	d := &s.disk
	if rd.Snapshot != nil {
		d.snapshot, d.entries = rd.Snapshot, nil
	}
	if rd.HardState != nil {
		d.hard = *rd.HardState
	}
	for _, e := range rd.Entries {
		for len(d.entries) > 0 && d.entries[len(d.entries)-1].Index >= e.Index {
			d.entries = d.entries[:len(d.entries)-1]
		}
		d.entries = append(slices.Clip(d.entries), e)
	}
	// The note isn't synced, so that a crash may lose the last ones.
	if s.raft.Committed()%3 == 0 {
		d.commit = max(d.commit, s.raft.Committed())
	}
}

func (n *network) apply(s *simNode, e Entry) {
	if e.Index != s.applied+1 {
		n.fail("%s applies entry %d after %d", s.id, e.Index, s.applied)
	}
	text := fmt.Sprintf("%d:%d:%s", e.Term, e.Kind, e.Data)
	if was, ok := n.chosen[e.Index]; ok && was != text {
		n.fail("%s applies %q at index %d where %q was applied", s.id, text, e.Index, was)
	}
	n.chosen[e.Index] = text
	s.applied = e.Index
	s.state = append(s.state, text)
	if e.Kind == EntryMembership {
		s.member, _ = s.raft.log.membershipAt(e.Index)
	}
}

func (n *network) restore(s *simNode, snap *Snapshot) {
	s.applied, s.member = snap.Index, snap.Membership
	s.state = slices.Clone(n.stateAt(snap.Index))
	if string(snap.Data) != string(digest(s.state)) {
		n.fail("%s restored a snapshot at %d that differs from the applied commands", s.id, snap.Index)
	}
}

// digest stands for an encoded state; it takes several chunks.
func digest(state []string) []byte {
	sum := sha256.Sum256([]byte(fmt.Sprint(state)))
	return bytes.Repeat(sum[:], 25)
}

func (n *network) stateAt(index uint64) []string {
	state := make([]string, 0, index)
	for i := uint64(1); i <= index; i++ {
		state = append(state, n.chosen[i])
	}
	return state
}

// compact takes a snapshot at what the replica has applied.
func (n *network) compact(s *simNode) {
	if s.raft == nil || s.applied == 0 {
		return
	}
	snap := &Snapshot{Index: s.applied, Membership: s.member, Data: digest(s.state)}
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
	was, known := n.leaders[term]
	if known && was != s.id {
		n.fail("%s and %s lead term %d", was, s.id, term)
	}
	if !known {
		n.leaders[term] = s.id
		n.checkNewLeader(s)
	}
	n.noteLease(s)
}

func (n *network) checkNewLeader(s *simNode) {
	l := s.raft.log
	for index, text := range n.chosen {
		if index <= l.base {
			continue
		}
		if index > l.last() {
			n.fail("leader %s lacks committed entry %d", s.id, index)
		}
		e := l.entries[index-l.base-1]
		if got := fmt.Sprintf("%d:%d:%s", e.Term, e.Kind, e.Data); got != text {
			n.fail("leader %s has %q at index %d, committed is %q", s.id, got, index, text)
		}
	}
	for id, until := range n.lease {
		if other := n.nodes[id]; id != s.id && until > n.now && !other.lost {
			n.fail("%s was elected while the lease of %s runs until tick %d", s.id, id, until)
		}
	}
}

func leaseKey(s *simNode) string { return fmt.Sprintf("%s@%d", s.id, s.raft.Term()) }

func (n *network) noteRound(s *simNode) {
	if s.raft.Role() != Leader {
		return
	}
	key := leaseKey(s)
	if n.rounds[key] == nil {
		n.rounds[key] = map[uint64]int{}
	}
	if _, ok := n.rounds[key][s.raft.HeartbeatRound()]; !ok {
		n.rounds[key][s.raft.HeartbeatRound()] = n.now
	}
}

// noteLease applies the lease rule of the driver: one tick less than the election
// timeout, from the start of a round that a majority answered.
func (n *network) noteLease(s *simNode) {
	if at, ok := n.rounds[leaseKey(s)][s.raft.QuorumRound()]; ok && !n.frozen[leaseKey(s)] {
		n.lease[s.id] = at + simElection - 1
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
			n.fail("logs of %s and %s differ at index %d below a match", a, b, i)
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
