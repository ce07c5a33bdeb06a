package bfsteering

import (
	"time"

	"briarferry/internal/coordination/bfplan"
)

const (
	// manyEntries is the number of live entries from which on an entry that doesn't know its
	// own demand yet follows the plan, as each is expected to see few requests.
	manyEntries = 12
	// ownLimiterFactor is how many times minEarlierRequests an entry must see in a window to
	// stop following the plan. The factor prevents frequent changes.
	ownLimiterFactor = 1.5
	// demandWindows is the number of successive windows after which an entry changes whether
	// it follows the plan.
	demandWindows = 2
	// ratePerReport is the weight of the requests since the last report in the reported rate.
	ratePerReport = 0.25
	// runsPerReport is the weight that is left, after each report, of the requests that were
	// counted by the region in which they ran.
	runsPerReport = 0.75
)

type (
	// plannedService is one service's part of the plan at this entry.
	plannedService struct {
		follower  bfplan.Follower
		steppedAt time.Time
		// arrivals counts the requests since the last report that the plan may place, and fixed
		// the others by region; rate and fixedRates are their averages per second.
		arrivals   int
		rate       float64
		fixed      []float64
		fixedRates []float64
		// runs are the recent requests by the region in which they ran.
		runs     []float64
		slotTime movingDuration
	}

	// demandMeter decides whether the entry follows the plan: it does while it sees too few
	// requests for its own limit on shifts.
	demandMeter struct {
		known, follows bool
		windowStart    time.Time
		count          int
		// lastWindow is the number of requests in the last full window.
		lastWindow int
		// low and high count successive windows with few and with many requests.
		low, high int
	}
)

// add counts a request. It reports whether the decision has changed, and the decision.
func (d *demandMeter) add(now time.Time, entries int) (changed, follows bool) {
	before := d.follows
	if now.Sub(d.windowStart) >= shiftWindow {
		d.endWindow(now)
	}
	d.count++
	switch {
	case !d.known && d.seesEnough(d.count):
		// A busy entry need not wait for the end of its first windows.
		d.known, d.follows = true, false
	case d.low >= demandWindows:
		d.known, d.follows = true, true
	case d.high >= demandWindows:
		d.known, d.follows = true, false
	case !d.known:
		d.follows = entries >= manyEntries
	}
	return d.follows != before, d.follows
}

// seesEnough reports whether an entry with that many requests in a window can limit shifts by
// itself, with some margin.
func (d *demandMeter) seesEnough(requests int) bool {
	return float64(requests) >= ownLimiterFactor*minEarlierRequests
}

// endWindow judges the window that has ended. One that ended long ago, before a time without
// requests, says nothing about the present demand.
func (d *demandMeter) endWindow(now time.Time) {
	if now.Sub(d.windowStart) < 2*shiftWindow {
		d.lastWindow = d.count
		switch {
		case d.count < minEarlierRequests:
			d.low, d.high = d.low+1, 0
		case d.seesEnough(d.count):
			d.low, d.high = 0, d.high+1
		default:
			d.low, d.high = 0, 0
		}
	}
	d.windowStart, d.count = now, 0
}

// ignore drops the shares in force while the entry chooses itself.
func (t *plannedService) ignore(now time.Time) {
	t.follower.Shares = nil
	t.follower.Use(now)
}

// due reports whether the shares should be moved now.
func (t *plannedService) due(now time.Time) bool {
	return t.follower.Shares == nil || now.Sub(t.steppedAt) >= bfplan.Interval
}

// sharesOfRuns returns the shares of the regions in which recent requests ran, or nil if there
// were none.
func (t *plannedService) sharesOfRuns() []float64 {
	all := 0.0
	for _, n := range t.runs {
		all += n
	}
	if all < 1 {
		return nil
	}
	out := make([]float64, len(t.runs))
	for r, n := range t.runs {
		out[r] = n / all
	}
	return out
}

// inForce returns the shares that the entry uses: those of the plan, or else those of its
// recent requests.
func (t *plannedService) inForce() []float64 {
	if t.follower.Shares != nil {
		return t.follower.Shares
	}
	return t.sharesOfRuns()
}

// average updates the rates after the given time since the last report.
func (t *plannedService) average(elapsed time.Duration) {
	seconds := elapsed.Seconds()
	t.rate += ratePerReport * (float64(t.arrivals)/seconds - t.rate)
	t.arrivals = 0
	for r := range t.fixed {
		t.fixedRates[r] += ratePerReport * (t.fixed[r]/seconds - t.fixedRates[r])
		t.fixed[r] = 0
		t.runs[r] *= runsPerReport
	}
}
