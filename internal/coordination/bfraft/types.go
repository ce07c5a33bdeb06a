// Package bfraft implements Raft as a pure state machine. It has no clock,
// goroutine, disk or socket: messages, ticks and proposals go in, and a Ready
// with everything to persist, send and apply comes out.
package bfraft

import (
	"math/rand/v2"
	"slices"

	"github.com/rotisserie/eris"

	"briarferry"
)

const (
	// EntryCommand carries a command of the replicated state machine.
	EntryCommand EntryKind = iota + 1
	// EntryMembership carries an encoded Membership.
	EntryMembership
	// EntryNoOp is the empty entry that a new leader appends to commit earlier terms.
	EntryNoOp
)

const (
	// MsgPreVote asks whether a vote would be granted; it changes no term.
	MsgPreVote MessageType = iota + 1
	// MsgPreVoteReply answers MsgPreVote.
	MsgPreVoteReply
	// MsgVote asks for a vote.
	MsgVote
	// MsgVoteReply answers MsgVote.
	MsgVoteReply
	// MsgAppend carries entries after the position (Index, LogTerm).
	MsgAppend
	// MsgAppendReply acknowledges entries up to Index or rejects the position.
	MsgAppendReply
	// MsgHeartbeat carries the commit index and the round of the leader.
	MsgHeartbeat
	// MsgHeartbeatReply echoes the round.
	MsgHeartbeatReply
	// MsgSnapshot carries one chunk of a snapshot.
	MsgSnapshot
	// MsgSnapshotReply asks for the chunk at HintIndex.
	MsgSnapshotReply
	// MsgTimeoutNow tells the target of a leadership transfer to campaign at once.
	MsgTimeoutNow
	// MsgReadIndex asks the leader for a read index; Round is the caller's request id.
	MsgReadIndex
	// MsgReadIndexReply answers MsgReadIndex.
	MsgReadIndexReply
)

const (
	// Follower accepts entries from a leader.
	Follower Role = iota
	// PreCandidate asks for pre-votes.
	PreCandidate
	// Candidate asks for votes.
	Candidate
	// Leader appends and replicates entries.
	Leader
)

const (
	// AddLearner adds a replica that receives entries without voting.
	AddLearner ChangeKind = iota + 1
	// Promote turns a learner that has caught up into a voter.
	Promote
	// Remove removes a voter or a learner.
	Remove
)

var (
	// ErrNotLeader is returned where this replica doesn't lead or hands leadership over; nothing was appended.
	ErrNotLeader = eris.New("bfraft: not the leader")
	// ErrChangePending is returned while an earlier membership change is not committed.
	ErrChangePending = eris.New("bfraft: a membership change is pending")
	// ErrNotCaughtUp is returned where a learner lacks entries.
	ErrNotCaughtUp = eris.New("bfraft: learner has not caught up")
	// ErrInvalidChange is returned for a change that doesn't fit the membership.
	ErrInvalidChange = eris.New("bfraft: membership change does not apply")
)

type (
	// EntryKind tells what an entry's data is.
	EntryKind uint8
	// MessageType tells what a message is.
	MessageType uint8
	// Role is a replica's part in its term.
	Role uint8
	// ChangeKind is the kind of a membership change.
	ChangeKind uint8

	// Entry is one record of the replicated log.
	Entry struct {
		Index uint64    `cbor:"1,keyasint"`
		Term  uint64    `cbor:"2,keyasint"`
		Kind  EntryKind `cbor:"3,keyasint"`
		Data  []byte    `cbor:"4,keyasint,omitempty"`
	}

	// Membership is the set of replicas of a group.
	Membership struct {
		Voters   []string `cbor:"1,keyasint"`
		Learners []string `cbor:"2,keyasint,omitempty"`
	}

	// Change is a membership change of one replica.
	Change struct {
		Kind ChangeKind
		ID   string
	}

	// HardState must be persisted before the messages of the same Ready are sent.
	HardState struct {
		Term uint64
		Vote string
	}

	// Snapshot is the state after the entry at Index, with the membership there.
	Snapshot struct {
		Index      uint64
		Term       uint64
		Membership Membership
		Data       []byte
	}

	// Chunk is a part of a snapshot.
	Chunk struct {
		Index      uint64     `cbor:"1,keyasint"`
		Term       uint64     `cbor:"2,keyasint"`
		Membership Membership `cbor:"3,keyasint"`
		Size       uint64     `cbor:"4,keyasint"`
		Offset     uint64     `cbor:"5,keyasint"`
		Data       []byte     `cbor:"6,keyasint"`
	}

	// Message is exchanged between replicas.
	Message struct {
		Type      MessageType `cbor:"1,keyasint"`
		From      string      `cbor:"2,keyasint"`
		To        string      `cbor:"3,keyasint"`
		Term      uint64      `cbor:"4,keyasint"`
		Index     uint64      `cbor:"5,keyasint,omitempty"`
		LogTerm   uint64      `cbor:"6,keyasint,omitempty"`
		Commit    uint64      `cbor:"7,keyasint,omitempty"`
		Entries   []Entry     `cbor:"8,keyasint,omitempty"`
		Reject    bool        `cbor:"9,keyasint,omitempty"`
		HintIndex uint64      `cbor:"10,keyasint,omitempty"`
		HintTerm  uint64      `cbor:"11,keyasint,omitempty"`
		Round     uint64      `cbor:"12,keyasint,omitempty"`
		Transfer  bool        `cbor:"13,keyasint,omitempty"`
		Chunk     *Chunk      `cbor:"14,keyasint,omitempty"`
	}

	// ReadState says that a read request may be served once Index is applied.
	// A zero index means that the request failed.
	ReadState struct {
		Request uint64
		Index   uint64
	}

	// Ready is the output of the state machine. The caller sends Immediate at any time,
	// persists Snapshot, HardState and Entries in this order, then sends Messages,
	// restores Snapshot and applies Committed, and finally calls Advance.
	Ready struct {
		HardState  *HardState
		Snapshot   *Snapshot
		Entries    []Entry
		Committed  []Entry
		Immediate  []Message
		Messages   []Message
		ReadStates []ReadState
	}

	// Config sets up a replica.
	Config struct {
		ID string
		// ElectionTicks is the shortest election timeout, and the time for which a
		// replica that heard a leader refuses votes.
		ElectionTicks int
		// ElectionJitterTicks is the range of the random part of the election timeout.
		ElectionJitterTicks int
		HeartbeatTicks      int
		// MaxMessageBytes bounds the entries of a message and a snapshot chunk.
		MaxMessageBytes int
		// MaxInflight bounds the unacknowledged appends per peer.
		MaxInflight int
		// KeepEntries and KeepBytes bound the entries kept before a snapshot for slow
		// followers.
		KeepEntries uint64
		KeepBytes   int
		Rand        *rand.Rand
	}

	// Recovered is what a restarted replica read from its disk.
	Recovered struct {
		HardState HardState
		Snapshot  *Snapshot
		Entries   []Entry
		// Commit is an index up to which the log was known to be committed; the entries
		// up to there are handed out again at once.
		Commit uint64
	}
)

// Contains tells whether the replica is a voter or a learner.
func (m Membership) Contains(id string) bool {
	return slices.Contains(m.Voters, id) || slices.Contains(m.Learners, id)
}

func (m Membership) clone() Membership {
	return Membership{Voters: slices.Clone(m.Voters), Learners: slices.Clone(m.Learners)}
}

// Validate reports entries without an index, a gap between entries, and unknown types.
func (m *Message) Validate() briarferry.Findings {
	var f briarferry.Findings
	if m.Type < MsgPreVote || m.Type > MsgReadIndexReply {
		f.Add("type", "is unknown: %d", m.Type)
	}
	if m.From == "" || m.To == "" {
		f.Add("from", "sender and receiver must be named")
	}
	for i, e := range m.Entries {
		if e.Index != m.Index+uint64(i)+1 || e.Term == 0 || e.Term > m.Term {
			f.Add("entries", "entry %d must have index %d and a term of 1 to %d", i, m.Index+uint64(i)+1, m.Term)
			break
		}
		if e.Kind < EntryCommand || e.Kind > EntryNoOp {
			f.Add("entries", "entry %d has an unknown kind: %d", i, e.Kind)
			break
		}
	}
	if m.Type == MsgSnapshot {
		c := m.Chunk
		if c == nil || c.Index == 0 || c.Offset > c.Size || uint64(len(c.Data)) > c.Size-c.Offset {
			f.Add("chunk", "must lie inside the snapshot")
		}
	}
	return f
}
