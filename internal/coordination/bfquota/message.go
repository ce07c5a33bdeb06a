// Package bfquota divides the request quotas of organisations among the entries. The Owner
// runs on the leader of the control group and leases shares of each quota; a Holder at each
// entry admits requests only with what the owner gave it.
package bfquota

import (
	"fmt"
	"math"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"briarferry"
)

const (
	// LeaseDuration is how long a lease is valid, counted by the entry from when it sent
	// the report.
	LeaseDuration = 3 * time.Second
	// TokenDuration is how long a token may be kept for a later request.
	TokenDuration = time.Second
	// shortTokenDuration replaces TokenDuration while tokens of an earlier owner may be in
	// use. It is above the longest round trip of 110 ms.
	shortTokenDuration = 250 * time.Millisecond
	// MaxItems is the maximum number of organisations in a message. It keeps messages below
	// 1,400 bytes.
	MaxItems = 28

	// wholeShare is the share that stands for the whole quota.
	wholeShare = 1_000_000
	maxTokens  = 1 << 16
	maxRetry   = time.Hour
)

type (
	// Report is sent by an entry to the owner.
	Report struct {
		_           struct{} `cbor:",toarray"`
		Entry       string
		Incarnation uint64
		// Sequence increases with each report of the incarnation.
		Sequence uint64
		// Term is the term of the owner that the entry follows. The owner acts only on
		// reports of its own term: an entry that has sent one accepts nothing more from
		// earlier owners.
		Term uint64
		// ReplyTo is the address for the Grant.
		ReplyTo netip.AddrPort
		Items   []Demand
	}

	// Demand is what an entry reports about an organisation.
	Demand struct {
		_   struct{} `cbor:",toarray"`
		Key uint64
		// Born is the sequence at which the entry began to count Spent. The owner's record
		// of an earlier count is void.
		Born uint64
		// Ack is the sequence of the last applied grant. Grants for earlier reports are
		// ignored from then on.
		Ack uint64
		// RateMilli is the number of requests in 1,000 seconds.
		RateMilli uint64
		// Share is the share of the entry's lease.
		Share uint32
		// Spent is the number of tokens given to requests, Returned the number of those that
		// came back, and Held the number kept for later requests. They count single tokens
		// only, not those of the lease.
		Spent    uint64
		Returned uint64
		Held     uint32
		// Waiting is the number of requests that wait for a token, and Ahead the number of
		// tokens wanted for later requests.
		Waiting uint32
		Ahead   uint32
	}

	// Grant is the reply to a Report.
	Grant struct {
		_ struct{} `cbor:",toarray"`
		// Sequence is the sequence of the report.
		Sequence uint64
		// Owner is the address of the owner; it is invalid if the sender doesn't know it.
		Owner netip.Addr
		// Term is the owner's term; it is 0 if the sender isn't the owner.
		Term  uint64
		Items []Granted
	}

	// Granted is the lease of an organisation, and single tokens.
	Granted struct {
		_   struct{} `cbor:",toarray"`
		Key uint64
		// Share is the share of the quota that is leased to the entry.
		Share uint32
		// Rate and Burst are those of a lease of the whole quota.
		Rate, Burst float64
		Tokens      uint32
		// Keep is the number of tokens that may be kept for later requests, and TokenMillis
		// how long.
		Keep        uint32
		TokenMillis uint32
		// RetryMillis is the time until there will be a token for waiting requests that
		// got none; it is 0 where the owner can't tell yet.
		RetryMillis uint32
	}
)

// Key returns the key of an organisation in messages.
func Key(organisation string) uint64 { return xxhash.Sum64String(organisation) }

// Validate reports every field that is out of range.
func (r *Report) Validate() briarferry.Findings {
	var f briarferry.Findings
	if !briarferry.ValidName(r.Entry) {
		f.Add("entry", "must be a name: %q", r.Entry)
	}
	if r.Sequence == 0 {
		f.Add("sequence", "must not be 0")
	}
	if !r.ReplyTo.IsValid() {
		f.Add("reply_to", "must be an IP address with a port")
	}
	if len(r.Items) > MaxItems {
		f.Add("items", "must have at most %d entries", MaxItems)
		return f
	}
	for i := range r.Items {
		f.Merge(fmt.Sprintf("items[%d]", i), r.Items[i].Validate(r.Sequence))
	}
	return f
}

// Validate reports every field that is out of range in a report with the sequence.
func (d *Demand) Validate(sequence uint64) briarferry.Findings {
	var f briarferry.Findings
	if d.Born > sequence || d.Ack >= sequence {
		f.Add("ack", "must be before the report")
	}
	if d.Returned > d.Spent {
		f.Add("returned", "must be at most the number of tokens spent")
	}
	if d.Share > wholeShare {
		f.Add("share", "must be at most %d", wholeShare)
	}
	if d.Held > maxTokens || d.Waiting > maxTokens || d.Ahead > maxTokens {
		f.Add("tokens", "must be at most %d", maxTokens)
	}
	return f
}

// Validate reports every field that is out of range.
func (g *Grant) Validate() briarferry.Findings {
	var f briarferry.Findings
	if len(g.Items) > MaxItems {
		f.Add("items", "must have at most %d entries", MaxItems)
		return f
	}
	for i := range g.Items {
		f.Merge(fmt.Sprintf("items[%d]", i), g.Items[i].Validate())
	}
	return f
}

// Validate reports every field that is out of range.
func (g *Granted) Validate() briarferry.Findings {
	f := briarferry.Quota{Rate: g.Rate, Burst: g.Burst}.Validate()
	if math.IsNaN(g.Rate) || g.Share > wholeShare {
		f.Add("share", "must be at most %d", wholeShare)
	}
	if g.Tokens > maxTokens || g.Keep > maxTokens {
		f.Add("tokens", "must be at most %d", maxTokens)
	}
	if g.TokenMillis > uint32(TokenDuration.Milliseconds()) {
		f.Add("token_millis", "must be at most %d", TokenDuration.Milliseconds())
	}
	return f
}
