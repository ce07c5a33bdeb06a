package bfsteering

import "time"

const (
	// minCachedKeys and maxCachedKeys bound the estimated number of keys in a server's
	// cache.
	minCachedKeys     = 8
	maxCachedKeys     = 512
	initialCachedKeys = 32
	// defaultWarmRatio is the assumed ratio of a warm server's time to a cold server's time
	// until both have been measured.
	defaultWarmRatio = 0.4
	// defaultColdRatio is the assumed time of a cold server as a share of the available
	// time until it has been measured. It makes cold servers appear too slow, so that
	// requests go to the servers that rank highest for their keys.
	defaultColdRatio = 1.2
	// minMeasuredSamples is the number of answers from which on an estimate counts as
	// measured.
	minMeasuredSamples = 5
)

// Miss classes of servers that this entry does not know to have the key.
const (
	// missOther applies to all servers that belong to none of the classes below.
	missOther missClass = iota
	// missPrimary applies to the primary server of a key. All entries of the region prefer
	// it, so that it usually has the key.
	missPrimary
	// missSecondary applies to the secondary server in this entry's region, which gets the
	// requests that the primary can't handle.
	missSecondary
	// missRemote applies to the highest-ranked server in other regions, which gets the
	// requests that neither of the two can handle.
	missRemote

	missClasses
)

// initialMissRates are the miss rates assumed until they have been measured.
var initialMissRates = [missClasses]float64{missOther: 1, missPrimary: 0.33, missSecondary: 0.75, missRemote: 0.7}

// missClass is a class of servers, by their position for a key, that share a cache miss
// rate. It applies to servers that this entry doesn't know to have the key.
type missClass int

// routeModel holds what the answers to one route's requests to one service have shown. It
// is guarded by the service's mutex.
type routeModel struct {
	// warm and cold are the times of servers with and without the key in their cache,
	// excluding network and queueing time.
	warm, cold movingDuration
	// all is the time of warm and cold servers together.
	all movingDuration
	// cachedKeys estimates the number of keys in a server's cache.
	cachedKeys float64
	// kilobytes is the size of a request with its answer.
	kilobytes movingAverage
	// missRates are the shares of requests for which a server of the class lacked the key.
	missRates [missClasses]movingAverage
}

// missProbability returns the probability that a server of the class lacks a key.
func (m *routeModel) missProbability(class missClass) float64 {
	if class == missOther {
		return initialMissRates[class]
	}
	if !m.missRates[class].known {
		return initialMissRates[class]
	}
	return m.missRates[class].value
}

// movingAverage is an exponential moving average.
type movingAverage struct {
	value float64
	known bool
}

func (m *movingAverage) add(v float64) {
	if !m.known {
		m.value, m.known = v, true
		return
	}
	m.value += sampleWeight / 4 * (v - m.value)
}

func (m *movingAverage) get() float64 { return m.value }

// addWithInitial adds a sample to an average that starts at the initial value.
func (m *movingAverage) addWithInitial(initial, v float64) {
	if !m.known {
		m.value, m.known = initial, true
	}
	m.add(v)
}

func indicator(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// movingDuration is an exponential moving average of durations.
type movingDuration struct {
	value   time.Duration
	samples int
	// deviation is the mean absolute deviation of the samples from the average.
	deviation time.Duration
}

func (a *movingDuration) add(d time.Duration) {
	a.samples++
	weight := max(sampleWeight/4, 1/float64(a.samples))
	distance := d - a.value
	if a.samples > 1 {
		a.deviation += time.Duration(weight * float64(distance.Abs()-a.deviation))
	}
	a.value += time.Duration(weight * float64(distance))
}

func (v *service) routeModel(route string) *routeModel {
	m := v.models[route]
	if m == nil {
		m = &routeModel{cachedKeys: initialCachedKeys}
		v.models[route] = m
	}
	return m
}

// expect returns the expected time of a warm or cold server. Without samples a warm time is
// derived from the cold time, and a cold time from the available time.
func (m *routeModel) expect(warm bool, available time.Duration) time.Duration {
	switch {
	case warm && m.warm.samples > 0:
		return m.warm.value
	case !warm && m.cold.samples > 0:
		return m.cold.value
	case warm && m.cold.samples > 0:
		return time.Duration(defaultWarmRatio * float64(m.cold.value))
	case warm:
		return time.Duration(defaultWarmRatio * defaultColdRatio * float64(available))
	}
	return max(m.warm.value, time.Duration(defaultColdRatio*float64(available)))
}

// slotTime returns how long a request is expected to occupy a slot.
func (m *routeModel) slotTime(available time.Duration) time.Duration {
	if m.all.samples < minMeasuredSamples {
		return m.expect(false, available)
	}
	return m.all.value
}

// addAnswer records the server time of an answer. expectedWarm reports whether the server
// was expected to have the key, and class is its miss class if not. Fast and slow answers
// also raise and lower the estimated number of cached keys.
func (m *routeModel) addAnswer(expectedWarm bool, class missClass, d time.Duration) {
	m.all.add(d)
	measured := m.warm.samples > 0 && m.cold.samples > 0
	fast := measured && d < (m.warm.value+m.cold.value)/2
	slow := measured && !fast
	if measured && !expectedWarm {
		m.missRates[class].addWithInitial(initialMissRates[class], indicator(slow))
	}
	switch {
	case expectedWarm && slow:
		m.cachedKeys = max(minCachedKeys, m.cachedKeys*0.98)
	case expectedWarm:
		m.warm.add(d)
		m.cachedKeys = min(maxCachedKeys, m.cachedKeys+0.05)
	case fast:
		m.warm.add(d)
		m.cachedKeys = min(maxCachedKeys, m.cachedKeys+0.2)
	default:
		m.cold.add(d)
	}
}
