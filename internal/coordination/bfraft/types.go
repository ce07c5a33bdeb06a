// Package bfraft implements the Raft consensus algorithm as a state machine without
// clock, goroutines or I/O. The caller passes in messages, ticks and proposals, and
// persists, sends and applies what each Ready contains.
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
	// EntryNoOp is the empty entry that a new leader appends. Committing it commits the
	// entries of earlier terms too.
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
	// MsgAppend carries the entries that follow the entry with Index and LogTerm.
	MsgAppend
	// MsgAppendReply acknowledges the entries up to Index, or rejects an append because
	// the log has no entry with its Index and LogTerm. It also rejects any leader's message
	// of an older term.
	MsgAppendReply
	// MsgHeartbeat carries the leader's commit index and heartbeat round.
	MsgHeartbeat
	// MsgHeartbeatReply acknowledges the heartbeat round.
	MsgHeartbeatReply
	// MsgSnapshot carries one chunk of a snapshot.
	MsgSnapshot
	// MsgSnapshotReply requests the chunk at the byte offset in HintIndex.
	MsgSnapshotReply
	// MsgTimeoutNow tells the target of a leadership transfer to start an election immediately.
	MsgTimeoutNow
	// MsgReadIndex asks the leader for a read index; Round is the sender's request id.
	MsgReadIndex
	// MsgReadIndexReply answers MsgReadIndex; index 0 means that the request failed.
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
	// ErrNotLeader is returned by a replica that is not the leader or is transferring
	// leadership; nothing was appended.
	ErrNotLeader = eris.New("bfraft: not the leader")
	// ErrChangePending is returned while an earlier membership change is not committed.
	ErrChangePending = eris.New("bfraft: a membership change is pending")
	// ErrNotCaughtUp is returned for the promotion of a learner that lags behind the leader.
	ErrNotCaughtUp = eris.New("bfraft: learner has not caught up")
	// ErrInvalidChange is returned for a change that the membership doesn't allow, such as
	// the removal of an unknown replica or of the leader.
	ErrInvalidChange = eris.New("bfraft: membership change does not apply")
)

type (
	// EntryKind is the type of an entry's data.
	EntryKind uint8
	// MessageType is the type of a message.
	MessageType uint8
	// Role is a replica's role in its current term.
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

	// Change adds, promotes or removes one replica.
	Change struct {
		Kind ChangeKind
		ID   string
	}

	// HardState is the state that must be persisted before the Messages of the same
	// Ready are sent.
	HardState struct {
		Term uint64
		Vote string
	}

	// Snapshot is the state of the replicated state machine after the entry at Index,
	// with the membership as of that entry.
	Snapshot struct {
		Index      uint64
		Term       uint64
		Membership Membership
		Data       []byte
	}

	// Chunk is a part of a snapshot. Size is the length of the snapshot's data and Offset
	// the position of this part in it, both in bytes.
	Chunk struct {
		Index      uint64     `cbor:"1,keyasint"`
		Term       uint64     `cbor:"2,keyasint"`
		Membership Membership `cbor:"3,keyasint"`
		Size       uint64     `cbor:"4,keyasint"`
		Offset     uint64     `cbor:"5,keyasint"`
		Data       []byte     `cbor:"6,keyasint"`
	}

	// Silence is the time in ticks for which a member has not replied to its leaders.
	Silence struct {
		ID    string `cbor:"1,keyasint"`
		Ticks uint64 `cbor:"2,keyasint"`
	}

	// Message is exchanged between replicas. Its type decides which fields are set.
	Message struct {
		Type MessageType `cbor:"1,keyasint"`
		From string      `cbor:"2,keyasint"`
		To   string      `cbor:"3,keyasint"`
		Term uint64      `cbor:"4,keyasint"`
		// Index and LogTerm identify the entry before Entries, or the last entry of the
		// sender of a vote request. In an append reply, Index is the acknowledged or
		// rejected index.
		Index   uint64  `cbor:"5,keyasint,omitempty"`
		LogTerm uint64  `cbor:"6,keyasint,omitempty"`
		Commit  uint64  `cbor:"7,keyasint,omitempty"`
		Entries []Entry `cbor:"8,keyasint,omitempty"`
		Reject  bool    `cbor:"9,keyasint,omitempty"`
		// In a rejection, HintIndex and HintTerm identify the sender's last entry that may
		// match the leader's log. In a snapshot reply, HintIndex is a byte offset.
		HintIndex uint64 `cbor:"10,keyasint,omitempty"`
		HintTerm  uint64 `cbor:"11,keyasint,omitempty"`
		// Round is a heartbeat round, or the request id of a read index request.
		Round uint64 `cbor:"12,keyasint,omitempty"`
		// Transfer marks the vote request of a leadership transfer, which ignores leases.
		Transfer bool   `cbor:"13,keyasint,omitempty"`
		Chunk    *Chunk `cbor:"14,keyasint,omitempty"`
		// Silent lists the members that don't reply, in a heartbeat.
		Silent []Silence `cbor:"15,keyasint,omitempty"`
	}

	// ReadState reports that a read request may be served once Index is applied.
	// A zero index means that the request failed.
	ReadState struct {
		Request uint64
		Index   uint64
	}

	// Ready is the output of the state machine. The caller may send Immediate before
	// anything is persisted. It persists Snapshot, HardState and Entries in this order,
	// then sends Messages, restores Snapshot and applies Committed, and finally calls
	// Advance.
	Ready struct {
		HardState  *HardState
		Snapshot   *Snapshot
		Entries    []Entry
		Committed  []Entry
		Immediate  []Message
		Messages   []Message
		ReadStates []ReadState
	}

	// Config holds the settings of a replica.
	Config struct {
		ID string
		// ElectionTicks is the minimum election timeout. A replica also refuses votes for
		// this long after it last heard from a leader.
		ElectionTicks int
		// ElectionJitterTicks is the range of the random ticks added to ElectionTicks.
		ElectionJitterTicks int
		HeartbeatTicks      int
		// MaxMessageBytes limits the entries of a message, and a snapshot chunk.
		MaxMessageBytes int
		// MaxInflight limits the unacknowledged appends per peer.
		MaxInflight int
		// KeepEntries and KeepBytes limit the entries that compaction keeps although the
		// snapshot covers them, for followers that lag behind.
		KeepEntries uint64
		KeepBytes   int
		Rand        *rand.Rand
	}

	// Recovered is the state that a replica read from its disk at the start.
	Recovered struct {
		HardState HardState
		Snapshot  *Snapshot
		Entries   []Entry
		// Commit is an index up to which the log was known to be committed. The entries up
		// to it are returned for applying without waiting for a leader.
		Commit uint64
	}
)

// Contains reports whether the replica is a voter or a learner.
func (m Membership) Contains(id string) bool {
	return slices.Contains(m.Voters, id) || slices.Contains(m.Learners, id)
}

func (m Membership) clone() Membership {
	return Membership{Voters: slices.Clone(m.Voters), Learners: slices.Clone(m.Learners)}
}

// Validate reports unknown message and entry types, missing replica ids, entries that are
// out of sequence or have an invalid term, and a chunk that exceeds its snapshot.
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
