package bfquota

import "time"

// maxGrants limits the unacknowledged grants of an entry that are counted one by one.
const maxGrants = 16

type (
	// contribution is what one entry, or all, contribute to the sums of an organisation.
	contribution struct {
		// share is the leased share, and outstanding the number of tokens granted and not
		// known to be used.
		share       uint32
		outstanding float64
		// ahead is the part of outstanding that is kept ahead of requests.
		ahead float64
		// demand is in requests per second, with its deviation.
		demand, deviation float64
	}

	// pair is what the owner knows of one organisation at one entry.
	pair struct {
		key                     pairKey
		born, lastSequence, ack uint64
		lastReport              time.Duration
		demand                  float64
		// held is the number of tokens in the entry's last report, which may be used until
		// heldEnd.
		held    uint32
		heldEnd time.Duration
		// granted is the number of tokens granted up to ack, and refunded the number of those
		// that went back to the owner.
		granted, refunded uint64
		// spent is that of the entry's last report.
		spent uint64
		// grants are the last acknowledged one and all later ones.
		grants []grant
		added  contribution
	}

	grant struct {
		sequence  uint64
		share     uint32
		shareEnd  time.Duration
		tokens    uint32
		tokensEnd time.Duration
		// settled is true once the tokens are counted in the pair's granted, or never will be.
		settled bool
	}
)

// acknowledge removes the grants before the last one that the entry has applied. It ignores
// them from then on.
func (p *pair) acknowledge(ack uint64) {
	p.ack = max(p.ack, ack)
	kept := p.grants[:0]
	for _, g := range p.grants {
		if g.sequence <= p.ack && !g.settled {
			p.granted += uint64(g.tokens)
			g.tokens, g.settled = 0, true
		}
		if g.sequence >= p.ack {
			kept = append(kept, g)
		}
	}
	p.grants = kept
}

func (p *pair) addGrant(g grant) {
	if n := len(p.grants); n > maxGrants {
		last := &p.grants[n-1]
		g.share, g.tokens = max(g.share, last.share), g.tokens+last.tokens
		p.grants = p.grants[:n-1]
	}
	p.grants = append(p.grants, g)
}

// count returns what the entry may have in use.
func (p *pair) count(q *ownedQuota, now time.Duration) contribution {
	c := contribution{demand: p.demand, deviation: deviation(q.quota, p.demand)}
	if now-p.lastReport > withMargin(LeaseDuration) {
		c.demand, c.deviation = 0, 0
	}
	if now < p.heldEnd {
		c.outstanding, c.ahead = float64(p.held), float64(p.held)
	}
	for _, g := range p.grants {
		if now < g.shareEnd {
			c.share = max(c.share, g.share)
		}
		if now < g.tokensEnd {
			c.outstanding += float64(g.tokens)
		}
	}
	return c
}
