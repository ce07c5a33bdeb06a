package bfquota

import (
	"slices"
	"time"

	"briarferry"
)

const (
	// sweepInterval is the time between two looks for leases and tokens that have ended.
	sweepInterval = 100 * time.Millisecond
	// pairRetention is how long an entry's record is kept after its last report. It is longer
	// than any lease.
	pairRetention = 5 * time.Second
	// maxPairs limits the records of the owner. At the target size 520 entries with 40 active
	// organisations each fit in ten times.
	maxPairs = 200_000
)

type (
	// Owner divides the quotas while its process is the owner. All times are those of a
	// clock that also counts the suspension of the VM. It isn't safe for concurrent use.
	Owner struct {
		// Limited is called when an organisation begins and ends to be limited; it may be nil.
		Limited func(key uint64, limited bool)
		// Tolerance is the excess over the quotas that their operators accept. All owners of a
		// deployment must have the same. It must be set before use.
		Tolerance Tolerance

		term  uint64
		since time.Duration
		// quotas are those of the route table in use.
		quotas    map[uint64]briarferry.Quota
		orgs      map[uint64]*ownedQuota
		pairs     int
		nextSweep time.Duration
	}

	// pairKey identifies a process of an entry.
	pairKey struct {
		entry       string
		incarnation uint64
	}

	// ownedQuota is the division of one organisation's quota.
	ownedQuota struct {
		quota briarferry.Quota
		split split
		// tolerated is the number of tokens that the tolerance adds to the burst.
		tolerated float64
		pairs     map[pairKey]*pair
		// order holds the pairs in the order in which they came, so that sums don't depend on
		// the order of a map.
		order []*pair
		// tokens is what no entry has, as of filledAt.
		tokens    float64
		filledAt  time.Duration
		history   history
		sums      contribution
		nextSweep time.Duration
		// aheadRate is the demand from which an entry may keep tokens ahead of requests.
		aheadRate float64
		limited   limitState
	}
)

// SetQuotas replaces the quotas. Leases of a lower quota shrink with the next reports.
func (o *Owner) SetQuotas(now time.Duration, quotas map[uint64]briarferry.Quota) {
	o.quotas = quotas
	for key, q := range o.orgs {
		o.advance(q, now)
		// The leases of a quota that no longer exists stay counted, as it may come back.
		if quota := quotas[key]; quota.Limited() {
			q.quota, q.split, q.tolerated = quota, o.splitOf(quota), o.Tolerance.tokens(quota)
		}
		o.resum(q, now)
	}
}

// Lead starts a term, in which this process is the owner since the given time. Another call
// with the same term has no effect.
func (o *Owner) Lead(term uint64, since time.Duration) {
	if o.term == term {
		return
	}
	o.Resign()
	o.term, o.since = term, since
	o.orgs, o.pairs = map[uint64]*ownedQuota{}, 0
}

// Resign ends the term.
func (o *Owner) Resign() {
	for key, q := range o.orgs {
		o.remove(key, q)
	}
	o.term, o.pairs = 0, 0
}

// Term returns the term, or 0 if the process isn't the owner.
func (o *Owner) Term() uint64 { return o.term }

// Counts returns the number of organisations and of their pairs with entries.
func (o *Owner) Counts() (organisations, pairs int) { return len(o.orgs), o.pairs }

// Handle returns the grant for a report. The caller must have checked that its process is the
// owner, and check it again before it sends the grant.
func (o *Owner) Handle(now time.Duration, r *Report) Grant {
	g := Grant{Sequence: r.Sequence, Term: o.term}
	if o.term == 0 || r.Term != o.term {
		return g
	}
	key := pairKey{r.Entry, r.Incarnation}
	for i := range r.Items {
		if item, ok := o.handleDemand(now, key, r.Sequence, &r.Items[i]); ok {
			g.Items = append(g.Items, item)
		}
	}
	return g
}

func (o *Owner) handleDemand(now time.Duration, key pairKey, sequence uint64, d *Demand) (Granted, bool) {
	q := o.organisation(now, d.Key)
	if q == nil {
		return Granted{}, false
	}
	o.advance(q, now)
	if now >= q.nextSweep {
		o.resum(q, now)
	}
	p := q.pairs[key]
	if p == nil || p.born < d.Born {
		if p = o.newPair(q, p, key, now, d); p == nil {
			return Granted{}, false
		}
	}
	if sequence <= p.lastSequence || d.Born != p.born {
		return Granted{}, false
	}
	o.update(q, p, now, sequence, d)
	share := o.nextShare(q, p, now)
	out := Granted{Key: d.Key, Share: share, Rate: q.quota.Rate, Burst: leaseBurst(q.quota), TokenMillis: uint32(o.tokenDuration(now).Milliseconds())}
	o.grantTokens(q, p, now, d, &out)
	p.addGrant(grant{sequence: sequence, share: share, shareEnd: now + withMargin(LeaseDuration), tokens: out.Tokens, tokensEnd: now + withMargin(TokenDuration)})
	o.refresh(q, p, now)
	q.clamp(o, now)
	o.observe(d.Key, q, now, out.Tokens < d.Waiting)
	return out, true
}

// newPair returns the record of an entry's process that begins a new count. What an earlier count
// was granted stays counted until it ends. Only while leases of an earlier owner may be in use, the
// entry's lease is taken over.
func (o *Owner) newPair(q *ownedQuota, p *pair, key pairKey, now time.Duration, d *Demand) *pair {
	if p != nil {
		p.born, p.ack, p.granted, p.refunded, p.spent = d.Born, d.Ack, 0, 0, 0
		for i := range p.grants {
			p.grants[i].settled = true
		}
		return p
	}
	if o.pairs >= maxPairs {
		return nil
	}
	o.pairs++
	p = &pair{key: key, born: d.Born, ack: d.Ack, lastReport: now}
	if d.Share > 0 && now < o.since+withMargin(LeaseDuration) {
		p.grants = append(p.grants, grant{sequence: d.Ack, share: d.Share, shareEnd: now + withMargin(LeaseDuration)})
	}
	q.pairs[key] = p
	q.order = append(q.order, p)
	return p
}

// update applies an entry's report, and takes back tokens that it certainly hasn't used and
// won't use. Those that were no longer counted as outstanding are only taken back if the history
// allows it.
func (o *Owner) update(q *ownedQuota, p *pair, now time.Duration, sequence uint64, d *Demand) {
	silence := now - p.lastReport
	p.lastSequence, p.lastReport = sequence, now
	p.demand = float64(d.RateMilli) / 1000
	before := p.count(q, now).outstanding
	p.acknowledge(d.Ack)
	p.held, p.heldEnd = d.Held, now+withMargin(TokenDuration)
	counted := before - p.count(q, now).outstanding
	if d.Spent > p.spent {
		counted -= float64(d.Spent - p.spent)
	}
	p.spent = d.Spent
	if used := d.Spent - d.Returned + uint64(d.Held) + p.refunded; p.granted > used {
		back := p.granted - used
		p.refunded += back
		stillCounted := min(float64(back), max(0, counted))
		q.tokens += stillCounted + q.history.takeBack(now, returnTime+returnMargin+silence, returnTime+returnMargin+silence, float64(back)-stillCounted)
	}
	o.refresh(q, p, now)
	q.clamp(o, now)
}

// refresh updates what the entry contributes to the sums.
func (o *Owner) refresh(q *ownedQuota, p *pair, now time.Duration) {
	old := p.added
	p.added = p.count(q, now)
	q.sums.share += p.added.share - old.share
	q.sums.outstanding += p.added.outstanding - old.outstanding
	q.sums.ahead += p.added.ahead - old.ahead
	q.sums.demand += p.added.demand - old.demand
	q.sums.deviation += p.added.deviation - old.deviation
}

// resum counts all entries again and removes those that have been silent.
func (o *Owner) resum(q *ownedQuota, now time.Duration) {
	q.nextSweep = now + sweepInterval
	q.sums = contribution{}
	q.order = slices.DeleteFunc(q.order, func(p *pair) bool {
		if now-p.lastReport > pairRetention {
			delete(q.pairs, p.key)
			o.pairs--
			return true
		}
		p.added = contribution{}
		o.refresh(q, p, now)
		return false
	})
	q.adaptAheadRate()
	q.clamp(o, now)
}

// Sweep removes organisations without active entries. It is called now and then.
func (o *Owner) Sweep(now time.Duration) {
	if now < o.nextSweep {
		return
	}
	o.nextSweep = now + sweepInterval
	for key, q := range o.orgs {
		o.advance(q, now)
		if now >= q.nextSweep {
			o.resum(q, now)
		}
		o.observe(key, q, now, false)
		// A quota without a record counts as full from withMargin(LeaseDuration) and the time
		// to fill its bucket on.
		if len(q.pairs) == 0 && q.tokens >= q.depth() {
			o.remove(key, q)
		}
	}
}

func (o *Owner) remove(key uint64, q *ownedQuota) {
	if q.limited.limited && o.Limited != nil {
		o.Limited(key, false)
	}
	o.pairs -= len(q.pairs)
	delete(o.orgs, key)
}

// organisation returns the record of a limited organisation. A new one has the tokens that have
// come since the term began.
func (o *Owner) organisation(now time.Duration, key uint64) *ownedQuota {
	quota := o.quotas[key]
	if !quota.Limited() {
		return nil
	}
	if q := o.orgs[key]; q != nil {
		return q
	}
	q := &ownedQuota{quota: quota, split: o.splitOf(quota), tolerated: o.Tolerance.tokens(quota), pairs: map[pairKey]*pair{}, filledAt: o.since}
	q.history.begin(now)
	o.orgs[key] = q
	o.advance(q, now)
	return q
}

// nextShare returns the share for an entry. Nothing is leased twice: a share grows only by what
// no entry may have in use.
func (o *Owner) nextShare(q *ownedQuota, p *pair, now time.Duration) uint32 {
	current := p.added.share
	if now < o.since+withMargin(LeaseDuration) {
		return current
	}
	rate := targetRate(q.quota, p.demand, q.sums.demand, q.sums.deviation)
	target := uint32(wholeShare * min(q.split.leased, rate/q.quota.Rate))
	limit := uint32(wholeShare * q.split.leased)
	change := float64(target) - float64(current)
	if change < 0 && change > -shareHysteresis*float64(current) && q.sums.share <= limit {
		target = current
	}
	if target > current {
		free := limit - min(limit, q.sums.share)
		target = min(target, current+free)
	}
	least := leastDepth(q.quota, q.sums.demand)
	if current > 0 {
		// A lease that is given and taken again and again loses its tokens each time.
		least *= keepDepth
	}
	if float64(target)/wholeShare*leaseBurst(q.quota) < least {
		return 0
	}
	return target
}

// grantTokens grants single tokens for waiting requests and, from a fuller bucket, for later ones.
func (o *Owner) grantTokens(q *ownedQuota, p *pair, now time.Duration, d *Demand, out *Granted) {
	out.Tokens = q.take(d.Waiting, q.tokens, q.split.outstanding)
	if p.demand >= q.aheadRate && q.split.ahead >= 1 {
		out.Keep = d.Ahead
	}
	if missing := out.Keep - min(out.Keep, d.Held); out.Tokens == d.Waiting && missing > 0 {
		granted := float64(out.Tokens)
		_, depth := o.bounds(q, now)
		out.Tokens += q.take(missing, q.tokens-granted-aheadFill*depth, q.split.ahead-granted)
	}
	q.tokens -= float64(out.Tokens)
	if out.Tokens < d.Waiting {
		out.RetryMillis = o.retryMillis(q, now)
	}
}

// take returns how many of the wanted tokens there are, with at most limit outstanding ones.
func (q *ownedQuota) take(wanted uint32, available, limit float64) uint32 {
	n := min(float64(wanted), available+roundingError, limit-q.sums.outstanding+roundingError)
	return uint32(max(0, n))
}

// roundingError is above the error of the sums of token numbers.
const roundingError = 1e-6

// retryMillis returns the time until the owner has a token, or 0 while it doesn't know what
// earlier owners granted or only waits until entries have told that they used their tokens.
func (o *Owner) retryMillis(q *ownedQuota, now time.Duration) uint32 {
	rate, _ := o.bounds(q, now)
	if now < o.since+withMargin(LeaseDuration) || rate <= 0 || q.tokens >= 1 {
		return 0
	}
	wait := max(0, 1-q.tokens) / rate
	return uint32(max(1, min(wait, maxRetry.Seconds())*1000))
}

// tokenDuration returns how long granted tokens may be kept.
func (o *Owner) tokenDuration(now time.Duration) time.Duration {
	if now < o.since+withMargin(TokenDuration) {
		return shortTokenDuration
	}
	return TokenDuration
}

// bounds returns the rate and the depth of the owner's bucket. In the first phase of a term,
// tokens that another new owner granted may be in use; in the second, tokens of an owner that had
// been one for longer; and in the third, its leases.
func (o *Owner) bounds(q *ownedQuota, now time.Duration) (rate, depth float64) {
	burst := q.depth()
	leased := float64(q.sums.share) / wholeShare
	switch {
	case now < o.since+withMargin(shortTokenDuration):
		return 0, 0
	case now < o.since+withMargin(TokenDuration):
		leased = max(leased, q.split.leased)
		depth = burst - leased*leaseBurst(q.quota) - q.split.outstanding
	case now < o.since+withMargin(LeaseDuration):
		leased = max(leased, q.split.leased)
		depth = burst - leased*leaseBurst(q.quota)
	default:
		depth = burst - leased*leaseBurst(q.quota)
	}
	return max(0, q.quota.Rate*(1-leased)), max(0, depth-q.sums.outstanding)
}

// advance fills the owner's bucket up to now, phase by phase.
func (o *Owner) advance(q *ownedQuota, now time.Duration) {
	for _, end := range []time.Duration{o.since + withMargin(shortTokenDuration), o.since + withMargin(TokenDuration), o.since + withMargin(LeaseDuration), now} {
		if end = min(end, now); end <= q.filledAt {
			continue
		}
		rate, depth := o.bounds(q, q.filledAt)
		q.tokens += rate * (end - q.filledAt).Seconds()
		q.filledAt = end
		q.limitTokens(depth)
	}
}

// clamp drops the tokens that exceed the depth of the owner's bucket.
func (q *ownedQuota) clamp(o *Owner, now time.Duration) {
	_, depth := o.bounds(q, now)
	q.limitTokens(depth)
}

func (q *ownedQuota) limitTokens(depth float64) {
	q.tokens = min(q.tokens, depth)
	q.history.observe(q.filledAt, q.tokens, depth)
}
