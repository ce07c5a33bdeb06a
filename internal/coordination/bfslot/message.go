package bfslot

import (
	"fmt"

	"briarferry"
)

const (
	maxHoldings = 4096
	maxDemands  = 4096
	maxCount    = 1_000_000
	maxUrgency  = 7
)

type (
	// Request reports to an owner all slots that the sender holds at the owner's servers,
	// and the sender's demand for slots. It replaces earlier requests, so only the newest
	// one counts.
	Request struct {
		_           struct{} `cbor:",toarray"`
		From        string
		To          string
		Incarnation uint64
		Sequence    uint64
		Holdings    []Holding
		Demands     []Demand
	}

	// Holding is the number of slots that an entry holds at one backend server, and the
	// number of them with a request in flight.
	Holding struct {
		_        struct{} `cbor:",toarray"`
		Key      uint64
		Held     uint32
		InFlight uint32
	}

	// Demand is the number of requests of one urgency that wait for a service.
	Demand struct {
		_       struct{} `cbor:",toarray"`
		Service string
		Urgency uint8
		Waiting uint32
	}

	// Grant lists all slots that an owner leases to a holder. It replaces earlier
	// grants, and is valid for LeaseDuration from when the answered request was first
	// sent.
	Grant struct {
		_           struct{} `cbor:",toarray"`
		From        string
		Incarnation uint64
		To          string
		// ToIncarnation and Sequence identify the request that the grant answers; the
		// holder ignores a grant that doesn't answer its newest request.
		ToIncarnation uint64
		Sequence      uint64
		// Revision orders grants that answer the same request.
		Revision uint64
		Slots    []GrantedSlots
		// Contended names the services whose demand the owner can't meet. A holder with no
		// waiting requests for such a service returns its unused slots at a backend server
		// as soon as a request there ends, instead of after idleSlotRetention.
		Contended []string
	}

	// GrantedSlots is the number of slots that a grant leases at one backend server.
	GrantedSlots struct {
		_     struct{} `cbor:",toarray"`
		Key   uint64
		Slots uint32
	}
)

// Validate reports every field that is out of range.
func (r *Request) Validate() briarferry.Findings {
	var f briarferry.Findings
	if !briarferry.ValidName(r.From) || !briarferry.ValidName(r.To) {
		f.Add("from", "must be a name")
	}
	if r.Sequence == 0 {
		f.Add("sequence", "must be set")
	}
	if len(r.Holdings) > maxHoldings || len(r.Demands) > maxDemands {
		f.Add("holdings", "too many entries")
		return f
	}
	for i, h := range r.Holdings {
		if h.Held > maxCount || h.InFlight > h.Held {
			f.Add(fmt.Sprintf("holdings[%d]", i), "counts are out of range")
		}
	}
	for i, d := range r.Demands {
		if !briarferry.ValidName(d.Service) || d.Urgency > maxUrgency || d.Waiting > maxCount {
			f.Add(fmt.Sprintf("wants[%d]", i), "is out of range")
		}
	}
	return f
}

// Validate reports every field that is out of range.
func (g *Grant) Validate() briarferry.Findings {
	var f briarferry.Findings
	if !briarferry.ValidName(g.From) || !briarferry.ValidName(g.To) {
		f.Add("from", "must be a name")
	}
	if g.Sequence == 0 {
		f.Add("sequence", "must be set")
	}
	if len(g.Slots) > maxHoldings || len(g.Contended) > maxDemands {
		f.Add("slots", "too many entries")
		return f
	}
	for i, s := range g.Slots {
		if s.Slots > maxCount {
			f.Add(fmt.Sprintf("slots[%d]", i), "is out of range")
		}
	}
	return f
}
