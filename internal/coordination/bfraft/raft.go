package bfraft

import (
	"slices"
	"sort"

	"github.com/rotisserie/eris"
)

// entryOverheadBytes is the assumed size of an entry in a message without its data.
const entryOverheadBytes = 32

// Raft is the state of one replica. It is not safe for concurrent use.
type Raft struct {
	cfg  Config
	log  *raftLog
	term uint64
	vote string
	role Role
	// leader is the id of the current term's leader, or "" if it is unknown.
	leader string

	electionElapsed  int // ticks since the election timer was reset or, on a leader, the quorum checked
	electionTimeout  int // randomized election timeout in ticks
	leaderElapsed    int // ticks since a leader was last heard from
	heartbeatElapsed int // ticks since the last heartbeat round
	votes            map[string]bool
	transferCampaign bool // the current campaign is part of a leadership transfer
	passive          bool // this replica campaigns only as the target of a leadership transfer

	progress         map[string]*progress
	heartbeatRound   uint64 // newest heartbeat round
	quorumRound      uint64 // newest heartbeat round that a majority acknowledged
	roundDue         bool   // a heartbeat round has to start
	pendingReads     []pendingRead
	transferee       string // target of the leadership transfer, or ""
	transferElapsed  int    // ticks since the leadership transfer started
	snapshot         *Snapshot
	incomingSnapshot *Snapshot // the chunks received so far
	restoredSnapshot *Snapshot // complete snapshot for the next Ready
	lastLeader       string    // leader that was heard from last
	reportedSilence  []Silence // members that did not reply to lastLeader
	persistedState   HardState
	messages         []Message
	readStates       []ReadState
}

// New returns a replica that continues from the state read from its disk.
func New(cfg Config, rec Recovered) (*Raft, error) {
	if cfg.ID == "" || cfg.Rand == nil || cfg.ElectionTicks <= cfg.HeartbeatTicks || cfg.ElectionJitterTicks < 1 || cfg.HeartbeatTicks < 1 {
		return nil, eris.New("bfraft: config needs ID, Rand, positive tick counts, and ElectionTicks above HeartbeatTicks")
	}
	if cfg.MaxMessageBytes < 1 || cfg.MaxInflight < 1 {
		return nil, eris.New("bfraft: config needs MaxMessageBytes and MaxInflight above 0")
	}
	log, err := newLog(rec.Snapshot, rec.Entries)
	if err != nil {
		return nil, err
	}
	r := &Raft{cfg: cfg, log: log, term: rec.HardState.Term, vote: rec.HardState.Vote,
		persistedState: rec.HardState, snapshot: rec.Snapshot}
	log.committed = max(log.committed, min(rec.Commit, log.last()))
	r.resetElectionTimer()
	return r, nil
}

// Bootstrap adds the first entry of a new group, which holds its voters, to an empty
// log. All replicas of the group must be given the same voters.
func (r *Raft) Bootstrap(voters []string) error {
	if r.log.last() != 0 {
		return eris.New("bfraft: bootstrap requires an empty log")
	}
	voters = slices.Sorted(slices.Values(voters))
	if !slices.Contains(voters, r.cfg.ID) {
		return eris.New("bfraft: bootstrap voters do not include this replica")
	}
	e, err := membershipEntry(Membership{Voters: voters})
	if err != nil {
		return err
	}
	e.Index, e.Term = 1, 1
	// Messages may already have raised the term, which must not decrease; the first entry
	// has term 1 on every replica.
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
	r.electionElapsed++
	r.leaderElapsed++
	if r.electionElapsed < r.electionTimeout {
		return
	}
	if r.canCampaign() && !r.passive {
		r.transferCampaign = false
		r.campaign(PreCandidate)
	} else {
		r.resetElectionTimer()
	}
}

func (r *Raft) tickLeader() {
	r.electionElapsed++
	r.heartbeatElapsed++
	for _, id := range r.peers() {
		r.progress[id].ticksSinceReply++
	}
	if r.transferee != "" {
		if r.transferElapsed++; r.transferElapsed >= r.cfg.ElectionTicks {
			r.transferee = ""
		}
	}
	if r.electionElapsed >= r.cfg.ElectionTicks {
		r.electionElapsed = 0
		if !r.checkQuorum() {
			r.becomeFollower(r.term, "")
			// No majority replied for a whole election timeout, so this replica's
			// lease has expired and it may grant votes immediately.
			r.leaderElapsed = r.cfg.ElectionTicks
			return
		}
	}
	if r.heartbeatElapsed >= r.cfg.HeartbeatTicks {
		r.roundDue = true
	}
}

// Step handles a message from another replica.
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
			r.transferCampaign = true
			r.campaign(Candidate)
		}
	case MsgReadIndex:
		r.handleReadIndex(m)
	case MsgReadIndexReply:
		r.readStates = append(r.readStates, ReadState{Request: m.Round, Index: m.Index})
	}
}

// stepHigherTerm adopts the newer term of a message, unless it is a pre-vote request, a
// granted pre-vote, or a vote request that is ignored because of a lease. It reports
// whether Step should go on to handle the message.
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

// stepLowerTerm rejects a pre-vote request or a leader's message of an older term, and
// ignores other messages. The rejection carries the current term, which the sender then
// adopts.
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
		// The lease that this replica reported as leader may not have expired yet, so it
		// refuses votes for another election timeout.
		r.leaderElapsed = 0
		r.failReads()
	}
	if term > r.term {
		r.term, r.vote = term, ""
	}
	r.role, r.leader = Follower, leader
	r.progress, r.transferee, r.roundDue = nil, "", false
	r.transferCampaign = false
	// Another leader may encode the same snapshot differently, so chunks of two leaders
	// must not be combined.
	r.incomingSnapshot = nil
	r.resetElectionTimer()
}

func (r *Raft) resetElectionTimer() {
	r.electionElapsed = 0
	r.electionTimeout = r.cfg.ElectionTicks + r.cfg.Rand.IntN(r.cfg.ElectionJitterTicks)
}

// resetRetryTimer sets the timeout after which a campaign is repeated. It is shorter than
// the one for a lost leader: the leader's lease has already expired, so the timeout only
// has to cover the round trips of the pre-vote and the vote.
func (r *Raft) resetRetryTimer() {
	r.electionElapsed = 0
	r.electionTimeout = r.cfg.ElectionTicks/4 + 1 + r.cfg.Rand.IntN(r.cfg.ElectionTicks/4+1)
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

// HasReady reports whether Ready would return any output.
func (r *Raft) HasReady() bool {
	r.queueLeaderMessages()
	return len(r.messages) > 0 || len(r.readStates) > 0 || r.restoredSnapshot != nil ||
		r.hardState() != r.persistedState || r.log.stable < r.log.last() || r.log.applying < r.log.committed
}

// Ready returns the pending output. Advance must be called before the next call.
func (r *Raft) Ready() Ready {
	r.queueLeaderMessages()
	rd := Ready{Snapshot: r.restoredSnapshot, ReadStates: r.readStates}
	if hs := r.hardState(); hs != r.persistedState {
		rd.HardState = &hs
	}
	l := r.log
	rd.Entries = l.slice(l.stable+1, l.last(), int(^uint(0)>>1))
	rd.Committed = l.slice(l.applying+1, l.committed, r.cfg.MaxMessageBytes)
	for _, m := range r.messages {
		// The leader sends entries before it has persisted them, so that its disk write
		// overlaps with those of the followers. This is safe because its own log counts
		// towards the majority only after Advance.
		if rd.HardState == nil && r.role == Leader && (m.Type == MsgAppend || m.Type == MsgHeartbeat) {
			rd.Immediate = append(rd.Immediate, m)
		} else {
			rd.Messages = append(rd.Messages, m)
		}
	}
	r.messages, r.readStates, r.restoredSnapshot = nil, nil, nil
	return rd
}

// Advance acknowledges that the output of Ready was persisted and passed on.
func (r *Raft) Advance(rd Ready) {
	if rd.HardState != nil {
		r.persistedState = *rd.HardState
	}
	if n := len(rd.Entries); n > 0 {
		r.log.stable = rd.Entries[n-1].Index
	}
	if n := len(rd.Committed); n > 0 {
		r.log.applying = rd.Committed[n-1].Index
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

// quorumValue returns the largest value that a majority of voters has reached. own is the
// value of this replica, and value returns that of a peer.
func (r *Raft) quorumValue(own uint64, value func(*progress) uint64) uint64 {
	values := make([]uint64, 0, len(r.log.membership.Voters))
	for _, id := range r.log.membership.Voters {
		switch p := r.progress[id]; {
		case id == r.cfg.ID:
			values = append(values, own)
		case p != nil:
			values = append(values, value(p))
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
