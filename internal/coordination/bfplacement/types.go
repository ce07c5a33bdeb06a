// Package bfplacement assigns blocks of callers to sites under the limits of sites,
// regions, links and shifts. The planner is a pure state machine that gets the time and
// the measurements as arguments.
package bfplacement

import (
	"net/netip"
	"time"
)

const (
	// SiteUp is a site that may receive blocks.
	SiteUp SiteState = iota
	// SiteDraining is a site that serves its blocks until they have moved away.
	SiteDraining
	// SiteDown is a site that serves nothing.
	SiteDown
)

const (
	// CauseAdmission is a shift that serves more classes of a block, or places a
	// block that has no site.
	CauseAdmission ShiftCause = iota
	// CauseDrain is a shift away from a draining site.
	CauseDrain
	// CauseDelay is a shift to a nearer region.
	CauseDelay
	// CauseBalance is a shift to a less loaded site of the same region.
	CauseBalance
)

const (
	// HeldByShiftCap is demand that waits until the region's shift cap has room again.
	HeldByShiftCap Reason = iota + 1
	// HeldByColdCap is demand that waits until the smaller cap of cold sites has room again.
	HeldByColdCap
	// HeldBySite is demand that fits at no site of the region.
	HeldBySite
	// HeldByRegion is demand that does not fit under the region's limit.
	HeldByRegion
	// HeldByLink is demand that exceeds the capacity of the link to the region.
	HeldByLink
	// HeldByStaleMeasurements is demand whose destination reports no fresh measurements.
	HeldByStaleMeasurements
	// HeldByOutage is demand whose region has no site that is up.
	HeldByOutage
	// HeldByBlockSize is a block whose demand alone exceeds the destination's cap. It
	// stays where it is until its demand falls or the limits change.
	HeldByBlockSize

	reasonCount = int(HeldByBlockSize) + 1
)

type (
	// Rate is an amount of load in thousandths of a request per second, or of a busy
	// slot in the plans of a Coordinator. It is an integer so that sums do not depend
	// on the order of additions.
	Rate int64

	// SiteState is the state of a site, derived from membership and drains.
	SiteState uint8

	// ShiftCause is the reason for a shift.
	ShiftCause uint8

	// Reason is the limit that holds demand back.
	Reason uint8

	// Region is a group of sites with a limit on their total rate.
	Region struct {
		Name string
		// Limit bounds the region's served rate; 0 means the sum of its sites' capacities.
		Limit Rate
	}

	// Site is a group of entries that blocks are assigned to, currently one VM.
	Site struct {
		Name          string
		Region        int
		FailureDomain string
		Capacity      Rate
		State         SiteState
		// Cold marks a site whose caches are cold even after the planner's warm-up time.
		Cold bool
		// MeasurementAge is the age of the newest measurement of the site.
		MeasurementAge time.Duration
		// Load is the measured rate.
		Load Rate
	}

	// Link is the path between the regions A and B; its capacity applies in each direction.
	Link struct {
		A, B          int
		BitsPerSecond int64
		OneWayDelay   time.Duration
	}

	// Network is the part of a step's input, other than the blocks, that may change
	// between steps. The number and order of regions and sites stay the same during a
	// planner's life, except that AddSites appends sites.
	Network struct {
		Regions []Region
		Sites   []Site
		Links   []Link
	}

	// Service is a column of the demand; a single service may stand for all demand.
	Service struct {
		Name           string
		Urgency        int
		BitsPerRequest int64
	}

	// Blocks holds the caller blocks as parallel arrays with one row per block.
	Blocks struct {
		Prefixes []netip.Prefix
		// Demand has one column for each service.
		Demand []Rate
		// DelayMicros has one column for each region.
		DelayMicros []uint32
	}

	// Limits bounds the planner's decisions.
	Limits struct {
		ShiftCapShare float64
		ShiftInterval time.Duration
		LookupTTL     time.Duration
		// Hysteresis is the gain below which no block moves for delay or balance: a share
		// of the current delay, or a difference between the utilizations of two sites.
		Hysteresis float64
		// ColdCapShare is the share of the shift cap that may go to cold sites.
		ColdCapShare float64
		// StaleAfter is the age from which a measurement counts as missing.
		StaleAfter time.Duration
		// WarmUp is how long a site counts as cold after it came up.
		WarmUp time.Duration
	}

	// Shift moves a block to another site or admits more of its classes.
	Shift struct {
		Block    int32
		From, To int16
		// Classes is the number of classes served after the shift, most urgent first.
		Classes int8
		Cause   ShiftCause
		// Rate is the rate that counts against the destination's cap.
		Rate Rate
		// ResidualRate is the rate that cached look-ups still send to the former site.
		ResidualRate Rate
	}

	// HeldDemand sums the demand that one limit of one region holds back.
	HeldDemand struct {
		Region int
		Reason Reason
		Blocks int
		Rate   Rate
	}

	// RefusedDemand is the unserved demand of one class, by home region.
	RefusedDemand struct {
		Region  int
		Urgency int
		Rate    Rate
	}

	// DrainProgress describes a draining site.
	DrainProgress struct {
		Site      int
		Remaining Rate
		Blocks    int
		// WouldBreakLimit reports whether some blocks fit nowhere else, even after shift
		// caps have room again and measurements are fresh.
		WouldBreakLimit bool
	}

	// Plan is the result of one step.
	Plan struct {
		Version uint64
		Shifts  []Shift
		Held    []HeldDemand
		Refused []RefusedDemand
		Drains  []DrainProgress
	}
)

// DefaultLimits returns the default limits.
func DefaultLimits() Limits {
	return Limits{
		ShiftCapShare: 0.05, ShiftInterval: 10 * time.Second, LookupTTL: 5 * time.Second,
		Hysteresis: 0.10, ColdCapShare: 0.25, StaleAfter: 3 * time.Second, WarmUp: time.Minute,
	}
}

// MarkDraining returns a copy of the sites in which each matching site that was up is
// draining.
func MarkDraining(sites []Site, match func(Site) bool) []Site {
	out := append([]Site(nil), sites...)
	for i := range out {
		if out[i].State == SiteUp && match(out[i]) {
			out[i].State = SiteDraining
		}
	}
	return out
}

// String returns the name of the limit as status pages show it.
func (r Reason) String() string {
	names := [...]string{"none", "shift cap", "cold-site cap", "site limit", "region limit", "link limit", "silent measurements", "no site up", "block above the cap"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}
