package bfsteering

import "time"

const (
	// minKeep and maxKeep bound the estimate of how many keys a server keeps warm.
	minKeep     = 8
	maxKeep     = 512
	initialKeep = 32
	// warmGuess is the share of a cold server time that a warm one is taken to need
	// until both were seen.
	warmGuess = 0.5
)

// model is what the answers to one route's requests at one service have shown. It
// belongs to its service's lock.
type model struct {
	// warm and cold are the times of servers that did or didn't have the key, without
	// the network and without waiting.
	warm, cold average
	// keep estimates how many keys a server keeps warm.
	keep float64
}

// average is an exponential moving average.
type average struct {
	value   time.Duration
	samples int
}

func (a *average) add(d time.Duration) {
	a.samples++
	share := max(sampleShare/4, 1/float64(a.samples))
	a.value += time.Duration(share * float64(d-a.value))
}

func (v *service) model(route string) *model {
	m := v.models[route]
	if m == nil {
		m = &model{keep: initialKeep}
		v.models[route] = m
	}
	return m
}

// expect returns the time that a server is expected to need; target stands in until
// the first answers.
func (m *model) expect(warm bool, target time.Duration) time.Duration {
	switch {
	case warm && m.warm.samples > 0:
		return m.warm.value
	case !warm && m.cold.samples > 0:
		return m.cold.value
	case warm && m.cold.samples > 0:
		return time.Duration(warmGuess * float64(m.cold.value))
	case !warm && m.warm.samples > 0:
		return max(m.warm.value, target)
	}
	return target / 2
}

// mean returns the expected time of a request whose state is not known.
func (m *model) mean(target time.Duration) time.Duration {
	return (m.expect(true, target) + m.expect(false, target)) / 2
}

// learn takes the server time of an answer for a key that the server was expected to
// have or not. Surprises move the estimate of how many keys servers keep.
func (m *model) learn(expectedWarm bool, d time.Duration) {
	fast := m.warm.samples > 0 && m.cold.samples > 0 && d < (m.warm.value+m.cold.value)/2
	slow := m.warm.samples > 0 && m.cold.samples > 0 && !fast
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
