// Package bfclaim implements the table of execution claims, through which a request
// with an idempotency key runs at most once.
package bfclaim

import (
	"crypto/sha256"
	"sync/atomic"
	"time"

	"briarferry"
)

const (
	// MaxAnswerBytes is the maximum size of a recorded answer in its encoded form. A
	// request with a larger answer is recorded as completed without the answer.
	MaxAnswerBytes = 16 << 10
	// DelayMargin is added to the maximum request timeout. A refusal is kept for the
	// sum, after which no attempt that arrived before the refusal can still be in
	// progress. The margin covers the age of the newest log index that an entry knows
	// (a 3 s lease) and the clock difference between two leaders.
	DelayMargin = 15 * time.Second

	partitionCount = 256
	// longestTimeout and largestCapacity keep sums of limits from overflowing,
	// whatever the configuration says.
	longestTimeout  = 365 * 24 * time.Hour
	largestCapacity = 1 << 26

	// expirePerCommand is the maximum number of expired records that a command
	// removes from the partition of its key, so that the cost of a command doesn't
	// depend on the time since the last one.
	expirePerCommand = 4
	// answerBudget is the maximum size in bytes of the recorded answers of one
	// partition, 256 MB for the whole table. When it is exceeded, the oldest answers
	// are dropped; their records stay completed.
	answerBudget = 1 << 20
)

const (
	stateClaimed state = iota + 1
	stateCompleted
	stateReleased
)

type (
	// Limits are the limits of the table, from the current configuration.
	Limits struct {
		Retention  time.Duration
		MaxTimeout time.Duration
		Capacity   int
	}

	// Reply is the result of a command, with the recorded answer in its encoded form
	// if there is one.
	Reply struct {
		Result briarferry.ClaimResult
		Answer []byte
	}

	// Table holds the claims. Its methods must be called by one goroutine at a time,
	// except Len, which may be called concurrently.
	Table struct {
		limits     Limits
		count      atomic.Int64
		partitions [partitionCount]partition
	}

	state uint8
	// id is a truncated SHA-256 hash: of service and key for a record, of the text for
	// a token. The first byte of a record's id selects the partition, so that a range
	// of partitions can move to another table as a whole.
	id [16]byte

	record struct {
		prev, next *record
		// nextAnswer links the records that have an answer, oldest first.
		nextAnswer *record
		answer     []byte
		id         id
		token      id
		digest     [32]byte
		// index and changedAt are the log index and the time, in Unix milliseconds, of
		// the last change.
		index     uint64
		changedAt int64
		state     state
	}

	partition struct {
		records map[id]*record
		// retained holds the claimed and completed records, released the released ones.
		// Both are ordered by the time of the last change, oldest first.
		retained, released list
		// expiredIndex is the highest log index of an expired record. A claim on an
		// absent key whose SeenIndex is lower may be older than an expired record of
		// that key.
		expiredIndex uint64
		answerHead   *record
		answerTail   *record
		answerBytes  int
	}

	list struct {
		head, tail *record
		n          int
	}
)

// New returns an empty table.
func New(l Limits) *Table {
	t := &Table{}
	t.SetLimits(l)
	for i := range t.partitions {
		t.partitions[i].records = map[id]*record{}
	}
	return t
}

// SetLimits replaces the limits. Retention is raised to the longest time for which an
// attempt can be delayed.
func (t *Table) SetLimits(l Limits) {
	l.MaxTimeout = min(l.MaxTimeout, longestTimeout)
	l.Retention = max(l.Retention, l.MaxTimeout+DelayMargin)
	l.Capacity = min(max(l.Capacity, 1), largestCapacity)
	t.limits = l
}

// Len returns the number of records.
func (t *Table) Len() int { return int(t.count.Load()) }

// Claim requests the right to run the request.
func (t *Table) Claim(index uint64, now time.Time, c briarferry.Claim) Reply {
	p, key := t.locate(c, now)
	r := p.records[key]
	if r == nil {
		if c.SeenIndex < p.expiredIndex {
			return Reply{Result: briarferry.ClaimHeld}
		}
		if t.Len() >= t.limits.Capacity {
			return Reply{Result: briarferry.ClaimFull}
		}
		t.insert(p, newRecord(key, c, stateClaimed, index, now))
		return Reply{Result: briarferry.ClaimGranted}
	}
	if r.digest != c.Digest {
		return Reply{Result: briarferry.ClaimMismatch}
	}
	switch {
	case r.state == stateCompleted:
		return Reply{Result: briarferry.ClaimCompleted, Answer: r.answer}
	case r.state == stateClaimed && r.token == tokenID(c.Token):
		return Reply{Result: briarferry.ClaimGranted}
	case r.state == stateClaimed:
		return Reply{Result: briarferry.ClaimHeld}
	case c.SeenIndex < r.index:
		// The caller is told that the request did not run, so this must also stop
		// every attempt that arrived earlier, as a refusal does.
		p.setState(r, stateReleased, index, now)
		return Reply{Result: briarferry.ClaimStale}
	}
	r.token = tokenID(c.Token)
	p.setState(r, stateClaimed, index, now)
	return Reply{Result: briarferry.ClaimGranted}
}

// Complete records that the holder of the claim ran the request, with the encoded
// answer.
func (t *Table) Complete(index uint64, now time.Time, c briarferry.Claim, answer []byte) Reply {
	p, key := t.locate(c, now)
	r := p.records[key]
	if r == nil || r.token != tokenID(c.Token) {
		return Reply{Result: briarferry.ClaimHeld}
	}
	if r.state == stateCompleted {
		return Reply{Result: briarferry.ClaimCompleted, Answer: r.answer}
	}
	// A holder must not run the request after it released the claim. If it did, the
	// record is completed all the same, which prevents a second run.
	p.setState(r, stateCompleted, index, now)
	if len(answer) > 0 && len(answer) <= MaxAnswerBytes {
		p.addAnswer(r, answer)
	}
	return Reply{Result: briarferry.ClaimCompleted, Answer: r.answer}
}

// Release gives up a claim whose request certainly was not dispatched. The claim
// itself may not have been applied, so the release of an absent key records a refusal.
func (t *Table) Release(index uint64, now time.Time, c briarferry.Claim) Reply {
	return t.Refuse(index, now, c)
}

// Refuse records that the attempt will not run, and that no attempt that arrived
// before this command may run after it.
func (t *Table) Refuse(index uint64, now time.Time, c briarferry.Claim) Reply {
	p, key := t.locate(c, now)
	r := p.records[key]
	if r == nil {
		if c.SeenIndex < p.expiredIndex {
			return Reply{Result: briarferry.ClaimHeld}
		}
		// Refusals are short-lived and may exceed the capacity by a quarter, so that
		// entries can still tell callers that their request did not run while the
		// table is full of claims.
		if t.Len() >= t.limits.Capacity+t.limits.Capacity/4+1 {
			return Reply{Result: briarferry.ClaimFull}
		}
		t.insert(p, newRecord(key, c, stateReleased, index, now))
		return Reply{Result: briarferry.ClaimReleased}
	}
	switch {
	case r.digest != c.Digest:
		return Reply{Result: briarferry.ClaimMismatch}
	case r.state == stateCompleted:
		return Reply{Result: briarferry.ClaimCompleted, Answer: r.answer}
	case r.state == stateClaimed && r.token != tokenID(c.Token):
		return Reply{Result: briarferry.ClaimHeld}
	}
	p.setState(r, stateReleased, index, now)
	return Reply{Result: briarferry.ClaimReleased}
}

// Expire removes at most limit expired records from the partition that the log index
// selects, so that partitions without commands expire their records too.
func (t *Table) Expire(index uint64, now time.Time, limit int) {
	t.expire(&t.partitions[index%partitionCount], now, limit)
}

func (t *Table) locate(c briarferry.Claim, now time.Time) (*partition, id) {
	key := keyID(c.Service, c.Key)
	p := &t.partitions[key[0]]
	t.expire(p, now, expirePerCommand)
	return p, key
}

func (t *Table) insert(p *partition, r *record) {
	p.records[r.id] = r
	p.listOf(r).pushBack(r)
	t.count.Add(1)
}

func (t *Table) expire(p *partition, now time.Time, limit int) {
	ms := now.UnixMilli()
	releasedBefore := ms - (t.limits.MaxTimeout + DelayMargin).Milliseconds()
	retainedBefore := ms - t.limits.Retention.Milliseconds()
	for ; limit > 0; limit-- {
		r := p.released.head
		if r == nil || r.changedAt >= releasedBefore {
			r = p.retained.head
			if r == nil || r.changedAt >= retainedBefore {
				return
			}
		}
		p.remove(r)
		t.count.Add(-1)
	}
}

func newRecord(key id, c briarferry.Claim, s state, index uint64, now time.Time) *record {
	return &record{
		id: key, token: tokenID(c.Token), digest: c.Digest,
		state: s, index: index, changedAt: now.UnixMilli(),
	}
}

func keyID(service, key string) id {
	h := sha256.New()
	h.Write([]byte(service))
	h.Write([]byte{0})
	h.Write([]byte(key))
	return id(h.Sum(nil)[:len(id{})])
}

func tokenID(token string) id {
	sum := sha256.Sum256([]byte(token))
	return id(sum[:len(id{})])
}
