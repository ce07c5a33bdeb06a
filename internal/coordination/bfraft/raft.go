package bfraft

import (
	"slices"
	"sort"

	"github.com/rotisserie/eris"
)

// entryOverhead is the room that an entry takes in a message beside its data.
const entryOverhead = 32

// Raft is one replica. It is not safe for concurrent use.
type Raft struct {
	cfg  Config
	log  *raftLog
	term uint64
	vote string
	role Role
	// leader is the leader of the current term, as far as it is known.
	leader string

	elapsed  int // ticks since the election timer was reset
	timeout  int // randomized election timeout
	heard    int // ticks since a leader was heard
	beat     int // ticks since the last heartbeat round
	votes    map[string]bool
	transfer bool // the current campaign is a leadership transfer

	progress      map[string]*progress
	round         uint64
	quorumRound   uint64
	needRound     bool
	reads         []pendingRead
	transferee    string
	transferTicks int
	snapshot      *Snapshot
	incoming      *Snapshot
	restored      *Snapshot
	persisted     HardState
	messages      []Message
	readStates    []ReadState
}

// New returns a replica with the state that was read from its disk.
func New(cfg Config, rec Recovered) (*Raft, error) {
	if cfg.ID == "" || cfg.Rand == nil || cfg.ElectionTicks <= cfg.HeartbeatTicks || cfg.ElectionJitterTicks < 1 || cfg.HeartbeatTicks < 1 {
		return nil, eris.New("bfraft: id, random source, or ticks are not set")
	}
	if cfg.MaxMessageBytes < 1 || cfg.MaxInflight < 1 {
		return nil, eris.New("bfraft: message limits are not set")
	}
	log, err := newLog(rec.Snapshot, rec.Entries)
	if err != nil {
		return nil, err
	}
	r := &Raft{cfg: cfg, log: log, term: rec.HardState.Term, vote: rec.HardState.Vote,
		persisted: rec.HardState, snapshot: rec.Snapshot}
	log.committed = max(log.committed, min(rec.Commit, log.last()))
	r.resetTimer()
	return r, nil
}

// Bootstrap gives an empty replica the first entry of a new group. Every replica
// of the group gets the same voters.
func (r *Raft) Bootstrap(voters []string) error {
	if r.log.last() != 0 {
		return eris.New("bfraft: replica is not empty")
	}
	voters = slices.Sorted(slices.Values(voters))
	if !slices.Contains(voters, r.cfg.ID) {
		return eris.New("bfraft: first voters lack this replica")
	}
	e, err := membershipEntry(Membership{Voters: voters})
	if err != nil {
		return err
	}
	e.Index, e.Term = 1, 1
	// A replica that heard of a later term keeps it; its log is still the first state.
	r.term = max(r.term, 1)
	if err := r.log.append(e); err != nil {
		return err
	}
	r.log.committed = 1
	return nil
}

// Tick advances the timers by one tick.
func (r *Raft) Tick() {
	if r.role == Leader {
		r.tickLeader()
		return
	}
	r.elapsed++
	r.heard++
	if r.elapsed < r.timeout {
		return
	}
	if r.canCampaign() {
		r.transfer = false
		r.campaign(PreCandidate)
	} else {
		r.resetTimer()
	}
}

func (r *Raft) tickLeader() {
	r.elapsed++
	r.beat++
	for _, id := range r.peers() {
		r.progress[id].silent++
	}
	if r.transferee != "" {
		if r.transferTicks++; r.transferTicks >= r.cfg.ElectionTicks {
			r.transferee = ""
		}
	}
	if r.elapsed >= r.cfg.ElectionTicks {
		r.elapsed = 0
		if !r.checkQuorum() {
			r.becomeFollower(r.term, "")
			// No majority answered for a whole timeout, so this replica's lease
			// has ended and it may vote at once.
			r.heard = r.cfg.ElectionTicks
			return
		}
	}
	if r.beat >= r.cfg.HeartbeatTicks {
		r.needRound = true
	}
}

// Step handles a message of another replica.
func (r *Raft) Step(m Message) {
	if m.To != r.cfg.ID || m.From == r.cfg.ID {
		return
	}
	if m.Term > r.term && !r.stepHigherTerm(m) {
		return
	}
	if m.Term < r.term {
		r.stepLowerTerm(m)
		return
	}
	switch m.Type {
	case MsgPreVote, MsgVote:
		r.handleVote(m)
	case MsgPreVoteReply, MsgVoteReply:
		r.handleVoteReply(m)
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		r.stepFromLeader(m)
	case MsgAppendReply, MsgHeartbeatReply, MsgSnapshotReply:
		r.stepFromFollower(m)
	case MsgTimeoutNow:
		if m.From == r.leader && r.canCampaign() {
			r.transfer = true
			r.campaign(Candidate)
		}
	case MsgReadIndex:
		r.handleReadIndex(m)
	case MsgReadIndexReply:
		r.readStates = append(r.readStates, ReadState{Request: m.Round, Index: m.Index})
	}
}

// stepHigherTerm adopts the term of a message where its kind allows it and tells
// whether the message is to be handled.
func (r *Raft) stepHigherTerm(m Message) bool {
	switch m.Type {
	case MsgPreVote:
		return true
	case MsgPreVoteReply:
		if !m.Reject {
			return true
		}
		r.becomeFollower(m.Term, "")
	case MsgVote:
		if r.inLease() && !m.Transfer {
			return false
		}
		r.becomeFollower(m.Term, "")
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		r.becomeFollower(m.Term, m.From)
	default:
		r.becomeFollower(m.Term, "")
	}
	return true
}

// stepLowerTerm tells a sender that is behind about the newer term.
func (r *Raft) stepLowerTerm(m Message) {
	switch m.Type {
	case MsgPreVote:
		r.send(Message{Type: MsgPreVoteReply, To: m.From, Reject: true})
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		r.send(Message{Type: MsgAppendReply, To: m.From, Reject: true})
	}
}

func (r *Raft) send(m Message) {
	m.From = r.cfg.ID
	if m.Term == 0 {
		m.Term = r.term
	}
	r.messages = append(r.messages, m)
}

func (r *Raft) becomeFollower(term uint64, leader string) {
	if r.role == Leader {
		// The lease that this replica reported as leader may still run.
		r.heard = 0
		r.failReads()
	}
	if term > r.term {
		r.term, r.vote = term, ""
	}
	r.role, r.leader = Follower, leader
	r.progress, r.transferee, r.needRound = nil, "", false
	r.transfer = false
	// Chunks of another leader's snapshot may be encoded differently.
	r.incoming = nil
	r.resetTimer()
}

func (r *Raft) resetTimer() {
	r.elapsed = 0
	r.timeout = r.cfg.ElectionTicks + r.cfg.Rand.IntN(r.cfg.ElectionJitterTicks)
}

// retryTimer makes a failed campaign repeat sooner than a lost leader is noticed:
// the leader's lease has ended by then, so only the round trips of the two rounds of
// votes have to fit.
func (r *Raft) retryTimer() {
	r.elapsed = 0
	r.timeout = r.cfg.ElectionTicks/4 + 1 + r.cfg.Rand.IntN(r.cfg.ElectionTicks/4+1)
}

// Propose appends commands and returns the index of the first one.
func (r *Raft) Propose(cmds ...[]byte) (uint64, error) {
	if r.role != Leader || r.transferee != "" {
		return 0, ErrNotLeader
	}
	first := r.log.last() + 1
	for _, cmd := range cmds {
		if err := r.appendOwn(Entry{Kind: EntryCommand, Data: cmd}); err != nil {
			return 0, err
		}
	}
	return first, nil
}

func (r *Raft) appendOwn(e Entry) error {
	e.Index, e.Term = r.log.last()+1, r.term
	return r.log.append(e)
}

// HasReady tells whether Ready would return anything.
func (r *Raft) HasReady() bool {
	r.flush()
	return len(r.messages) > 0 || len(r.readStates) > 0 || r.restored != nil ||
		r.hardState() != r.persisted || r.log.stable < r.log.last() || r.log.handed < r.log.committed
}

// Ready returns the pending output. Advance must be called before the next call.
func (r *Raft) Ready() Ready {
	r.flush()
	rd := Ready{Snapshot: r.restored, ReadStates: r.readStates}
	if hs := r.hardState(); hs != r.persisted {
		rd.HardState = &hs
	}
	l := r.log
	rd.Entries = l.slice(l.stable+1, l.last(), int(^uint(0)>>1))
	rd.Committed = l.slice(l.handed+1, l.committed, r.cfg.MaxMessageBytes)
	for _, m := range r.messages {
		// A leader's disk works while its followers' disks do; that is safe as its
		// own entries count for the majority only after Advance.
		if rd.HardState == nil && r.role == Leader && (m.Type == MsgAppend || m.Type == MsgHeartbeat) {
			rd.Immediate = append(rd.Immediate, m)
		} else {
			rd.Messages = append(rd.Messages, m)
		}
	}
	r.messages, r.readStates, r.restored = nil, nil, nil
	return rd
}

// Advance tells that the output of Ready was persisted and handed on.
func (r *Raft) Advance(rd Ready) {
	if rd.HardState != nil {
		r.persisted = *rd.HardState
	}
	if n := len(rd.Entries); n > 0 {
		r.log.stable = rd.Entries[n-1].Index
	}
	if n := len(rd.Committed); n > 0 {
		r.log.handed = rd.Committed[n-1].Index
	}
	if r.role == Leader {
		r.maybeCommit()
	}
}

func (r *Raft) hardState() HardState { return HardState{Term: r.term, Vote: r.vote} }

func (r *Raft) quorum() int { return len(r.log.membership.Voters)/2 + 1 }

// peers returns the ids of the leader's peers in a fixed order, so that a run is
// reproducible from its seed.
func (r *Raft) peers() []string {
	ids := make([]string, 0, len(r.progress))
	for id := range r.progress {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// quorumValue returns the largest value that a majority of voters has reached.
func (r *Raft) quorumValue(own uint64, of func(*progress) uint64) uint64 {
	values := make([]uint64, 0, len(r.log.membership.Voters))
	for _, id := range r.log.membership.Voters {
		switch p := r.progress[id]; {
		case id == r.cfg.ID:
			values = append(values, own)
		case p != nil:
			values = append(values, of(p))
		default:
			values = append(values, 0)
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-r.quorum()]
}
