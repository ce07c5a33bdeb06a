package bfadmission

import (
	"math"
	"time"
)

const (
	// sampleWeight is the weight of a new sample in a moving average.
	sampleWeight = 0.1
	// priorSamples is the number of samples after which the ticket's expected time is
	// ignored.
	priorSamples = 8
	// deviationMargin is the number of mean deviations that are added to the mean answer
	// time to get the time that a request needs. With the mean alone, half of the requests
	// that start at the last moment would be late.
	deviationMargin = 2
	// probeInterval is the time without a sample after which a request may start despite
	// the estimate. Without such probes an estimate above every deadline would never fall
	// again.
	probeInterval = 250 * time.Millisecond
	// probeWeight is the weight of the first sample after a probe. Probes are rare, so at
	// the usual weight an outdated mean would refuse requests for seconds.
	probeWeight = 0.5
)

// slotEstimate tracks how long requests hold a slot and how long answers take.
type slotEstimate struct {
	// holdMean is the mean time in seconds for which tries hold a slot.
	holdMean    float64
	holdSamples int
	// answerMean and answerDeviation cover only tries that didn't fail. Timeouts of an
	// unresponsive server occupy slots, but requests to other servers don't need that time.
	answerMean, answerDeviation float64
	answerSamples               int
	lastSampleAt                time.Time
	probePending                bool
}

func (e *slotEstimate) observe(now time.Time, d time.Duration, failed bool) {
	v := d.Seconds()
	e.holdMean += math.Max(sampleWeight, 1/float64(e.holdSamples+1)) * (v - e.holdMean)
	e.holdSamples++
	if failed {
		return
	}
	weight := math.Max(sampleWeight, 1/float64(e.answerSamples+1))
	if e.probePending {
		weight, e.probePending = math.Max(weight, probeWeight), false
	}
	if e.answerSamples > 0 {
		e.answerDeviation += weight * (math.Abs(v-e.answerMean) - e.answerDeviation)
	}
	e.answerMean += weight * (v - e.answerMean)
	e.answerSamples++
	e.lastSampleAt = now
}

// holdSeconds returns the mean time in seconds for which a request holds a slot.
func (e *slotEstimate) holdSeconds(expected time.Duration) float64 {
	return blend(e.holdMean, e.holdSamples, expected)
}

// requiredTime returns how long before its deadline a request must start.
func (e *slotEstimate) requiredTime(expected time.Duration) time.Duration {
	v := blend(e.answerMean, e.answerSamples, expected)
	v += math.Min(deviationMargin*e.answerDeviation, 2*v)
	return time.Duration(v * float64(time.Second))
}

// blend replaces the expected time by the observed one as samples come in.
func blend(observed float64, samples int, expected time.Duration) float64 {
	weight := math.Min(1, float64(samples)/priorSamples)
	return weight*observed + (1-weight)*expected.Seconds()
}

// allowProbe reports whether a request may start despite the estimate, and marks it as a
// probe if so.
func (e *slotEstimate) allowProbe(now time.Time) bool {
	if now.Sub(e.lastSampleAt) < probeInterval {
		return false
	}
	e.lastSampleAt, e.probePending = now, true
	return true
}

// decayingRate is an exponentially decaying rate per second.
type decayingRate struct {
	value     float64
	updatedAt time.Time
}

// rateWindow is the time constant of rates. It is long enough to cover several requests and
// short enough to follow a sudden overload.
const rateWindow = 500 * time.Millisecond

func (r *decayingRate) add(now time.Time, amount float64) {
	r.value = r.read(now) + amount/rateWindow.Seconds()
	r.updatedAt = now
}

func (r *decayingRate) read(now time.Time) float64 {
	if r.updatedAt.IsZero() {
		return 0
	}
	return math.Max(0, r.value*math.Exp(-now.Sub(r.updatedAt).Seconds()/rateWindow.Seconds()))
}
