package bfsteering

import "time"

const (
	// minKeep and maxKeep bound the estimate of how many keys a server keeps warm.
	minKeep     = 8
	maxKeep     = 512
	initialKeep = 32
	// warmGuess is the share of a cold server's time that a warm one is taken to need
	// until both were seen.
	warmGuess = 0.4
	// coldGuess is the same for a cold server, as a share of the time that there is: it
	// is taken to be too slow, so that keys go to the servers where they belong.
	coldGuess = 1.2
	// minSamples is the number of answers after which expectations count as known.
	minSamples = 5
)

// The likelihoods that a server lacks a key of which this entry knows nothing there.
const (
	// presumeCold stands for servers that are neither first nor second for the key.
	presumeCold likelihood = iota
	// presumeFirst stands for the first server of a key. All entries of the region send
	// it there first, so that it mostly has it.
	presumeFirst
	// presumeSecond stands for the second one in the own region, which gets what the
	// first can't take.
	presumeSecond
	// presumeFar stands for the first server elsewhere of a key that belongs in the own
	// region; it gets what both can't take.
	presumeFar

	likelihoods
)

// initialCold are the likelihoods until answers have shown them.
var initialCold = [likelihoods]float64{presumeCold: 1, presumeFirst: 0.33, presumeSecond: 0.75, presumeFar: 0.7}

// likelihood names what is presumed of a server that isn't known to have a key.
type likelihood int

// model is what the answers to one route's requests at one service have shown. It
// belongs to its service's lock.
type model struct {
	// warm and cold are the times of servers that did or didn't have the key, without
	// the network and without waiting.
	warm, cold average
	// all is the time of all servers.
	all average
	// keep estimates how many keys a server keeps warm.
	keep float64
	// kilobytes is the size of a request with its answer.
	kilobytes mean
	// lacked are the shares of the keys that servers turned out to lack.
	lacked [likelihoods]mean
}

// coldChance returns how likely a server lacks a key of which nothing is known there.
func (m *model) coldChance(l likelihood) float64 {
	if l == presumeCold {
		return initialCold[l]
	}
	if !m.lacked[l].known {
		return initialCold[l]
	}
	return m.lacked[l].value
}

// mean is an exponential moving average of plain numbers.
type mean struct {
	value float64
	known bool
}

func (m *mean) add(v float64) {
	if !m.known {
		m.value, m.known = v, true
		return
	}
	m.value += sampleShare / 4 * (v - m.value)
}

func (m *mean) get() float64 { return m.value }

// learn adds a sample to a mean that starts at a prior.
func (m *mean) learn(prior, v float64) {
	if !m.known {
		m.value, m.known = prior, true
	}
	m.add(v)
}

func boolToShare(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// average is an exponential moving average.
type average struct {
	value   time.Duration
	samples int
	// spread is the mean distance of the samples from the average.
	spread time.Duration
}

func (a *average) add(d time.Duration) {
	a.samples++
	share := max(sampleShare/4, 1/float64(a.samples))
	distance := d - a.value
	if a.samples > 1 {
		a.spread += time.Duration(share * float64(distance.Abs()-a.spread))
	}
	a.value += time.Duration(share * float64(distance))
}

func (v *service) model(route string) *model {
	m := v.models[route]
	if m == nil {
		m = &model{keep: initialKeep}
		v.models[route] = m
	}
	return m
}

// expect returns the time that a server is expected to need; a part of the time that
// there is stands in until the first answers.
func (m *model) expect(warm bool, there time.Duration) time.Duration {
	switch {
	case warm && m.warm.samples > 0:
		return m.warm.value
	case !warm && m.cold.samples > 0:
		return m.cold.value
	case warm && m.cold.samples > 0:
		return time.Duration(warmGuess * float64(m.cold.value))
	case warm:
		return time.Duration(warmGuess * coldGuess * float64(there))
	}
	return max(m.warm.value, time.Duration(coldGuess*float64(there)))
}

// slot returns how long a request is expected to hold a slot.
func (m *model) slot(there time.Duration) time.Duration {
	if m.all.samples < minSamples {
		return m.expect(false, there)
	}
	return m.all.value
}

// learn takes the server time of an answer for a key that the server was expected to
// have or not, and what was presumed in the latter case. Surprises move the estimate of
// how many keys servers keep.
func (m *model) learn(expectedWarm bool, l likelihood, d time.Duration) {
	m.all.add(d)
	both := m.warm.samples > 0 && m.cold.samples > 0
	fast := both && d < (m.warm.value+m.cold.value)/2
	slow := both && !fast
	if both && !expectedWarm {
		m.lacked[l].learn(initialCold[l], boolToShare(slow))
	}
	switch {
	case expectedWarm && slow:
		m.keep = max(minKeep, m.keep*0.98)
	case expectedWarm:
		m.warm.add(d)
		m.keep = min(maxKeep, m.keep+0.05)
	case fast:
		m.warm.add(d)
		m.keep = min(maxKeep, m.keep+0.2)
	default:
		m.cold.add(d)
	}
}
