package bfadmission

import (
	"math"
	"time"
)

const (
	// sampleWeight is the share of a new sample in the moving mean.
	sampleWeight = 0.1
	// priorSamples is how many samples it takes until the ticket's own expectation
	// no longer counts.
	priorSamples = 8
	// deviations is how many mean deviations above the mean a try is allowed for.
	// At the mean itself half of the requests that start at the last moment are late.
	deviations = 2
	// probeInterval lets a request start against the estimate where no sample came
	// in for so long; without it an estimate above every deadline never falls again.
	probeInterval = 250 * time.Millisecond
	// probeWeight is the weight of the first sample after a probe. Probes are rare,
	// so that at the usual weight an outdated mean would refuse requests for seconds.
	probeWeight = 0.5
)

// estimate follows how long requests hold a slot and how long answers take.
type estimate struct {
	// held is the mean time that all tries hold a slot.
	held  float64
	tries int
	// mean and deviation describe answers only: a frozen server's timeouts take
	// slots, but a request sent elsewhere doesn't need that time.
	mean, deviation float64
	samples         int
	at              time.Time
	probed          bool
}

func (e *estimate) observe(now time.Time, d time.Duration, failed bool) {
	v := d.Seconds()
	e.held += math.Max(sampleWeight, 1/float64(e.tries+1)) * (v - e.held)
	e.tries++
	if failed {
		return
	}
	weight := math.Max(sampleWeight, 1/float64(e.samples+1))
	if e.probed {
		weight, e.probed = math.Max(weight, probeWeight), false
	}
	if e.samples > 0 {
		e.deviation += weight * (math.Abs(v-e.mean) - e.deviation)
	}
	e.mean += weight * (v - e.mean)
	e.samples++
	e.at = now
}

// holding returns the mean time that a request holds a slot, in seconds.
func (e *estimate) holding(expected time.Duration) float64 {
	return mix(e.held, e.tries, expected)
}

// needed returns the time before the deadline at which a request must start.
func (e *estimate) needed(expected time.Duration) time.Duration {
	v := mix(e.mean, e.samples, expected)
	v += math.Min(deviations*e.deviation, 2*v)
	return time.Duration(v * float64(time.Second))
}

// mix replaces the expected value by the observed one as samples come in.
func mix(observed float64, samples int, expected time.Duration) float64 {
	known := math.Min(1, float64(samples)/priorSamples)
	return known*observed + (1-known)*expected.Seconds()
}

// probe tells whether a request may start against the estimate, and counts it.
func (e *estimate) probe(now time.Time) bool {
	if now.Sub(e.at) < probeInterval {
		return false
	}
	e.at, e.probed = now, true
	return true
}

// rate is an exponentially decaying amount per second.
type rate struct {
	value float64
	at    time.Time
}

// rateWindow is the time constant of rates: long enough to cover several
// requests, short enough to follow a flood.
const rateWindow = 500 * time.Millisecond

func (r *rate) add(now time.Time, amount float64) {
	r.value = r.read(now) + amount/rateWindow.Seconds()
	r.at = now
}

func (r *rate) read(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return math.Max(0, r.value*math.Exp(-now.Sub(r.at).Seconds()/rateWindow.Seconds()))
}
