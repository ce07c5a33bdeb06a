// Package bfclaim keeps the execution claims that make a keyed request run at
// most once.
package bfclaim

import (
	"crypto/sha256"
	"sync/atomic"
	"time"

	"briarferry"
)

const (
	// MaxAnswerBytes bounds a recorded answer in its encoded form. A request with
	// a larger answer is recorded as completed without it.
	MaxAnswerBytes = 16 << 10
	// DelayMargin is added to the longest request timeout: a refusal is kept until
	// no attempt from before it can still be under way. It covers the age of an
	// entry's newest known index (a 3 s lease) and the clocks of two leaders.
	DelayMargin = 15 * time.Second

	partitions = 256
	// The bounds below keep sums of limits from overflowing, whatever the
	// configuration says.
	longestTimeout  = 365 * 24 * time.Hour
	largestCapacity = 1 << 26

	// expirePerCommand bounds the records that one command removes from its own
	// partition, so that a command's cost doesn't depend on the time since the last one.
	expirePerCommand = 4
	// answerBudget bounds the recorded answers of one partition, 256 MB in all.
	// Beyond it the oldest answers are dropped; their records stay completed.
	answerBudget = 1 << 20
)

const (
	stateClaimed state = iota + 1
	stateCompleted
	stateReleased
)

type (
	// Limits bounds the table; they come from the configuration in force.
	Limits struct {
		Retention  time.Duration
		MaxTimeout time.Duration
		Capacity   int
	}

	// Reply is the result of a command with the recorded answer in its encoded form.
	Reply struct {
		Result briarferry.ClaimResult
		Answer []byte
	}

	// Table holds the claims. Commands come from one goroutine at a time; Len may
	// be called by any.
	Table struct {
		limits Limits
		count  atomic.Int64
		parts  [partitions]partition
	}

	state uint8
	// id is a truncated SHA-256 of service and key. Its first byte selects the
	// partition, so a range of partitions can move to another table as a whole.
	id [16]byte

	record struct {
		prev, next *record
		// nextAnswer links the records with an answer, oldest first.
		nextAnswer *record
		answer     []byte
		id         id
		token      id
		digest     [32]byte
		// index and at are the log index and time of the last change.
		index uint64
		at    int64
		state state
	}

	partition struct {
		records map[id]*record
		// kept holds claimed and completed records, released the others; both are
		// ordered by time, oldest first.
		kept, released list
		// floor is the largest index of an expired record. A claim of an absent key
		// that had seen less may date from before that record.
		floor       uint64
		answerHead  *record
		answerTail  *record
		answerBytes int
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
	for i := range t.parts {
		t.parts[i].records = map[id]*record{}
	}
	return t
}

// SetLimits replaces the limits. Retention is never shorter than the time an
// attempt can be delayed.
func (t *Table) SetLimits(l Limits) {
	l.MaxTimeout = min(l.MaxTimeout, longestTimeout)
	l.Retention = max(l.Retention, l.MaxTimeout+DelayMargin)
	l.Capacity = min(max(l.Capacity, 1), largestCapacity)
	t.limits = l
}

// Len returns the number of records.
func (t *Table) Len() int { return int(t.count.Load()) }

// Claim asks for the right to run the request.
func (t *Table) Claim(index uint64, now time.Time, c briarferry.Claim) Reply {
	p, key := t.locate(c, now)
	r := p.records[key]
	if r == nil {
		if c.SeenIndex < p.floor {
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
		// The reply is reported as not run, so it must also stop every attempt
		// that arrived before it, as a refusal does.
		p.move(r, stateReleased, index, now)
		return Reply{Result: briarferry.ClaimStale}
	}
	r.token = tokenID(c.Token)
	p.move(r, stateClaimed, index, now)
	return Reply{Result: briarferry.ClaimGranted}
}

// Complete records that the holder ran the request, with its encoded answer.
func (t *Table) Complete(index uint64, now time.Time, c briarferry.Claim, answer []byte) Reply {
	p, key := t.locate(c, now)
	r := p.records[key]
	if r == nil || r.token != tokenID(c.Token) {
		return Reply{Result: briarferry.ClaimHeld}
	}
	if r.state == stateCompleted {
		return Reply{Result: briarferry.ClaimCompleted, Answer: r.answer}
	}
	// A holder that ran after its own release broke its promise; completing the
	// record still keeps a second run away.
	p.move(r, stateCompleted, index, now)
	if len(answer) > 0 && len(answer) <= MaxAnswerBytes {
		p.addAnswer(r, answer)
	}
	return Reply{Result: briarferry.ClaimCompleted, Answer: r.answer}
}

// Release gives back a claim whose request certainly was not dispatched. The
// claim itself may never have been applied, so a release of an absent key
// records a refusal.
func (t *Table) Release(index uint64, now time.Time, c briarferry.Claim) Reply {
	return t.Refuse(index, now, c)
}

// Refuse records that the attempt will not run and that no attempt that arrived
// before it may run later.
func (t *Table) Refuse(index uint64, now time.Time, c briarferry.Claim) Reply {
	p, key := t.locate(c, now)
	r := p.records[key]
	if r == nil {
		if c.SeenIndex < p.floor {
			return Reply{Result: briarferry.ClaimHeld}
		}
		// Refusals are short-lived and have a quarter more room than claims, so
		// that a full table can still tell callers that nothing ran.
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
	p.move(r, stateReleased, index, now)
	return Reply{Result: briarferry.ClaimReleased}
}

// Expire removes at most limit old records from the partition that the log index
// selects, so that partitions without commands are cleaned too.
func (t *Table) Expire(index uint64, now time.Time, limit int) {
	t.expire(&t.parts[index%partitions], now, limit)
}

func (t *Table) locate(c briarferry.Claim, now time.Time) (*partition, id) {
	key := keyID(c.Service, c.Key)
	p := &t.parts[key[0]]
	t.expire(p, now, expirePerCommand)
	return p, key
}

func (t *Table) insert(p *partition, r *record) {
	p.records[r.id] = r
	p.listOf(r).push(r)
	t.count.Add(1)
}

func (t *Table) expire(p *partition, now time.Time, limit int) {
	ms := now.UnixMilli()
	releasedBefore := ms - (t.limits.MaxTimeout + DelayMargin).Milliseconds()
	keptBefore := ms - t.limits.Retention.Milliseconds()
	for ; limit > 0; limit-- {
		r := p.released.head
		if r == nil || r.at >= releasedBefore {
			r = p.kept.head
			if r == nil || r.at >= keptBefore {
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
		state: s, index: index, at: now.UnixMilli(),
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
