package bfplan

import (
	"fmt"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"briarferry"
)

const (
	// MaxRows is the maximum number of rows of a message. Larger reports and plans are split,
	// so that a datagram stays below 1,400 bytes with names of 16 bytes.
	MaxRows = 24
	// MaxServices is the maximum number of services with a plan. Entries choose for
	// themselves in others.
	MaxServices = 128
	// MaxRegions is the maximum number of regions with a plan.
	MaxRegions = 16

	// ShareScale is the number that stands for a share of 1 in messages, and RateScale the one
	// for a request per second.
	ShareScale = 1000
	RateScale  = 10

	maxParts   = 16
	maxPercent = 100
)

type (
	// Report is what an entry tells the leader about its own requests.
	Report struct {
		_     struct{} `cbor:",toarray"`
		Entry string
		// Gossip is the address that gets the reply.
		Gossip netip.AddrPort
		// Incarnation and Sequence order the reports of an entry.
		Incarnation, Sequence uint64
		// RegionSet identifies the list of regions, to which the lists of each row refer.
		RegionSet uint32
		Region    uint8
		// Term and PlanSequence identify the plan that the entry has as a whole.
		Term, PlanSequence uint64
		// RTTMillis are the round trip times to the regions.
		RTTMillis []uint16
		Rows      []ReportRow
	}

	// ReportRow is the part of a Report about one service.
	ReportRow struct {
		_       struct{} `cbor:",toarray"`
		Service string
		// Rate is the requests per second that the plan may place, times RateScale, and Fixed
		// that of others by the region in which they run; nil means none.
		Rate  uint32
		Fixed []uint32
		// SlotMillis is the mean time that a request occupies a slot; 0 means unknown.
		SlotMillis uint32
		// InForce are the shares in force by region, in units of 1/ShareScale; nil means
		// unknown.
		InForce []uint16
		// UsablePercent is the part of the service's slots in the entry's region that the
		// entry can use.
		UsablePercent uint8
	}

	// Reply answers a Report. A control VM that isn't the leader only sets Leader.
	Reply struct {
		_ struct{} `cbor:",toarray"`
		// Leader is the address of the leader, or invalid if it is unknown.
		Leader netip.AddrPort
		// Term is 0 in a reply without a plan.
		Term, Sequence uint64
		RegionSet      uint32
		// Part numbers the messages of one plan from 0 on. Parts is their number, or 0 if the
		// entry has the plan already.
		Part, Parts uint8
		Rows        []ReplyRow
	}

	// ReplyRow holds the shares of the entry's region in one service.
	ReplyRow struct {
		_       struct{} `cbor:",toarray"`
		Service string
		// Shares are by region, in units of 1/ShareScale.
		Shares []uint16
		// Forced is the sequence of the latest plan that changed this row at once because
		// servers were lost.
		Forced uint64
	}
)

// RegionSet returns the number that identifies a sorted list of regions.
func RegionSet(regions []string) uint32 {
	d := xxhash.New()
	for _, r := range regions {
		_, _ = d.WriteString(r)
		_, _ = d.Write([]byte{0})
	}
	return uint32(d.Sum64())
}

// Validate reports every field that is out of range.
func (r *Report) Validate() briarferry.Findings {
	var f briarferry.Findings
	if !briarferry.ValidName(r.Entry) {
		f.Add("entry", "must be a name: %q", r.Entry)
	}
	if !r.Gossip.IsValid() {
		f.Add("gossip", "must be an IP address with a port")
	}
	if r.Region >= MaxRegions || len(r.RTTMillis) > MaxRegions {
		f.Add("regions", "must be at most %d", MaxRegions)
	}
	if len(r.Rows) > MaxRows {
		f.Add("rows", "must have at most %d entries", MaxRows)
		return f
	}
	for i := range r.Rows {
		f.Merge(fmt.Sprintf("rows[%d]", i), r.Rows[i].validate())
	}
	return f
}

func (r *ReportRow) validate() briarferry.Findings {
	var f briarferry.Findings
	if !briarferry.ValidName(r.Service) {
		f.Add("service", "must be a name: %q", r.Service)
	}
	if len(r.Fixed) > MaxRegions || len(r.InForce) > MaxRegions {
		f.Add("regions", "must be at most %d", MaxRegions)
	}
	if r.UsablePercent > maxPercent {
		f.Add("usable", "must be at most %d", maxPercent)
	}
	return f
}

// Validate reports every field that is out of range.
func (r *Reply) Validate() briarferry.Findings {
	var f briarferry.Findings
	if r.Parts > maxParts || r.Part > 0 && r.Part >= r.Parts {
		f.Add("part", "must be below the number of parts, which may be %d", maxParts)
	}
	if len(r.Rows) > MaxRows {
		f.Add("rows", "must have at most %d entries", MaxRows)
		return f
	}
	for i, row := range r.Rows {
		if !briarferry.ValidName(row.Service) {
			f.Add(fmt.Sprintf("rows[%d].service", i), "must be a name: %q", row.Service)
		}
		if len(row.Shares) == 0 || len(row.Shares) > MaxRegions {
			f.Add(fmt.Sprintf("rows[%d].shares", i), "must have 1 to %d entries", MaxRegions)
		}
	}
	return f
}

// EncodeShares returns shares in units of 1/ShareScale.
func EncodeShares(shares []float64) []uint16 {
	out := make([]uint16, len(shares))
	for i, v := range shares {
		out[i] = uint16(min(1, max(0, v))*ShareScale + 0.5)
	}
	return out
}

// DecodeShares returns shares whose sum is 1, or nil if all are 0.
func DecodeShares(list []uint16) []float64 {
	out, all := make([]float64, len(list)), 0.0
	for i, v := range list {
		out[i] = float64(v)
		all += out[i]
	}
	if all == 0 {
		return nil
	}
	for i := range out {
		out[i] /= all
	}
	return out
}
