package bfquota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"briarferry"
)

// load is the demand of one organisation in the simulation.
type load struct {
	name    string
	rate    float64
	phase   float64
	quota   briarferry.Quota
	weights []float64 // cumulative, by entry
	surge   time.Duration
}

// at returns the rate of requests at a time: it moves by half within 36 s, and is six times as
// high for 6 s from the surge on.
func (l *load) at(now time.Duration) float64 {
	rate := l.rate * (1 + math.Sin(2*math.Pi*(now.Seconds()/72+l.phase))/3)
	if l.surge > 0 && now >= l.surge && now < l.surge+6*time.Second {
		rate *= 6
	}
	return rate
}

func (l *load) entry(rng *rand.Rand) int {
	x := rng.Float64() * l.weights[len(l.weights)-1]
	for i, c := range l.weights {
		if x < c {
			return i
		}
	}
	return len(l.weights) - 1
}

// zipfLoads returns organisations of which the largest has a quarter of the requests. Of an
// organisation's callers seven in ten are in one of six regions, where they use some entries more
// than others.
func zipfLoads(rng *rand.Rand, organisations, entries int, total float64) []*load {
	var sum float64
	for i := 1; i < organisations; i++ {
		sum += 1 / float64(i)
	}
	var out []*load
	for i := range organisations {
		rate := total / 4
		if i > 0 {
			rate = total * 3 / 4 / float64(i) / sum
		}
		l := &load{name: fmt.Sprint("o", i), rate: rate, phase: rng.Float64(), quota: briarferry.Quota{Rate: 1.6 * rate, Burst: 1.6 * rate}}
		home, shift, c := rng.IntN(6), rng.IntN(entries), 0.0
		for e := range entries {
			weight := 0.3 / 5
			if e%6 == home {
				weight = 0.7
			}
			c += weight / float64(1+(e+shift)%entries/6)
			l.weights = append(l.weights, c)
		}
		if rng.IntN(12) == 0 {
			l.surge = time.Duration(10+rng.IntN(20)) * time.Second
		}
		out = append(out, l)
	}
	return out
}

// TestSimulation guards against a policy that refuses requests within the quotas, exceeds them, or
// sends too much. It logs a table that compares it with fixed equal parts.
func TestSimulation(t *testing.T) {
	tolerance := Tolerance{Window: 5 * time.Second, Share: 0.1, Requests: 20}
	t.Run("22 entries", func(t *testing.T) { simulate(t, 22, 73, 2000, Tolerance{}) })
	t.Run("22 entries with tolerance", func(t *testing.T) { simulate(t, 22, 73, 2000, tolerance) })
	t.Run("113 entries", func(t *testing.T) { simulate(t, 113, 1000, 2000, Tolerance{}) })
}

func simulate(t *testing.T, entries, organisations int, total float64, tolerance Tolerance) {
	const warmUp, end = 8 * time.Second, 38 * time.Second
	rng := rand.New(rand.NewPCG(7, 7))
	loads := zipfLoads(rng, organisations, entries, total)
	quotas := map[string]briarferry.Quota{}
	for _, l := range loads {
		quotas[l.name] = l.quota
	}
	w := newWorld(3, entries, quotas)
	w.delay = func(e int) (time.Duration, bool) { return time.Duration(1+e%6*10) * time.Millisecond, true }
	w.tolerance = tolerance
	w.lead(1)
	// A central bucket that knows of all requests at once tells which are allowed.
	type result struct{ allowed, admitted, equal, equalDeep float64 }
	results := make([]result, organisations)
	central := make([]bucket, organisations)
	equal, deep := make([]bucket, organisations*entries), make([]bucket, organisations*entries)
	equalRuns, deepRuns := map[string][]time.Duration{}, map[string][]time.Duration{}
	var waits, decided int
	var allWaits []time.Duration
	var classWaits, classTotal [3]int
	class := func(q briarferry.Quota) int {
		switch {
		case q.Burst >= largeBurst:
			return 0
		case q.Burst >= mediumBurst:
			return 1
		}
		return 2
	}
	for i, l := range loads {
		var next func()
		schedule := func() {
			// Arrivals at the highest rate are thinned out.
			peak := l.rate * 8
			w.after(time.Duration(rng.ExpFloat64()/peak*float64(time.Second)), func() {
				next()
			})
		}
		next = func() {
			schedule()
			if rng.Float64() > l.at(w.now)/(l.rate*8) {
				return
			}
			e := l.entry(rng)
			counted := w.now >= warmUp
			r := &results[i]
			if central[i].take(w.now, l.quota.Rate, l.quota.Burst) && counted {
				r.allowed++
			}
			if equal[i*entries+e].take(w.now, l.quota.Rate/float64(entries), l.quota.Burst/float64(entries)) {
				equalRuns[l.name] = append(equalRuns[l.name], w.now)
				if counted {
					r.equal++
				}
			}
			if deep[i*entries+e].take(w.now, l.quota.Rate/float64(entries), max(1, l.quota.Burst/float64(entries))) {
				deepRuns[l.name] = append(deepRuns[l.name], w.now)
				if counted {
					r.equalDeep++
				}
			}
			w.request(w.entries[e], l.name, func(token *Token, waited time.Duration) {
				if token != nil && counted {
					r.admitted++
					decided++
					classTotal[class(l.quota)]++
					if waited > 0 {
						classWaits[class(l.quota)]++
						waits++
						allWaits = append(allWaits, waited)
					}
				}
			})
		}
		schedule()
	}
	w.runUntil(warmUp)
	w.measures = true
	w.runUntil(end + time.Second)
	_, pairs := w.owners[0].Counts()
	var sum result
	worst, worstEqual, worstDeep := 1.0, 1.0, 1.0
	var over, overEqual, overDeep float64
	for i, l := range loads {
		r := results[i]
		sum.allowed += r.allowed
		sum.admitted += min(r.admitted, r.allowed)
		sum.equal += min(r.equal, r.allowed)
		sum.equalDeep += min(r.equalDeep, r.allowed)
		if r.allowed >= 100 {
			worst = min(worst, r.admitted/r.allowed)
			worstEqual = min(worstEqual, r.equal/r.allowed)
			worstDeep = min(worstDeep, r.equalDeep/r.allowed)
		}
		tolerated := l.quota
		tolerated.Burst = effectiveBurst(l.quota) + tolerance.tokens(l.quota)
		over = max(over, excess(w.runs[l.name], tolerated))
		overEqual = max(overEqual, excess(equalRuns[l.name], l.quota))
		overDeep = max(overDeep, excess(deepRuns[l.name], l.quota))
	}
	seconds := (end + time.Second - warmUp).Seconds()
	t.Logf("%-28s %9s %9s %9s", "policy", "admitted", "worst", "excess")
	t.Logf("%-28s %9.4f %9.3f %9.1f", "leases and tokens", sum.admitted/sum.allowed, worst, over)
	t.Logf("%-28s %9.4f %9.3f %9.1f", "equal parts", sum.equal/sum.allowed, worstEqual, overEqual)
	t.Logf("%-28s %9.4f %9.3f %9.1f", "equal parts, depth from 1", sum.equalDeep/sum.allowed, worstDeep, overDeep)
	t.Logf("waited %.3f of the admitted; p50 %v p99 %v; %d pairs at the end", float64(waits)/float64(decided), quantile(allWaits, 0.5), quantile(allWaits, 0.99), pairs)
	for i, name := range []string{"large", "medium", "small"} {
		t.Logf("%s: %d admitted, %.3f waited", name, classTotal[i], float64(classWaits[i])/float64(max(1, classTotal[i])))
	}
	t.Logf("owner: %.0f reports/s with %.0f items/s, %.0f kB/s in, %.0f kB/s out; entry: %.1f reports/s, %.1f kB/s out and %.1f kB/s in",
		float64(w.reports)/seconds, float64(w.reportItems)/seconds, float64(w.bytesIn)/seconds/1000, float64(w.bytesOut)/seconds/1000,
		float64(w.reports)/seconds/float64(entries), float64(w.bytesIn)/seconds/1000/float64(entries), float64(w.bytesOut)/seconds/1000/float64(entries))
	if over > 0.01 {
		t.Errorf("quota exceeded by %.2f requests", over)
	}
	if share := sum.admitted / sum.allowed; share < 0.95 {
		t.Errorf("%.3f of the allowed requests admitted, want 0.95", share)
	}
}

func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[int(q*float64(len(list)-1))]
}

// bucket is a token bucket that starts full.
type bucket struct {
	used   bool
	tokens float64
	at     time.Duration
}

func (b *bucket) take(now time.Duration, rate, depth float64) bool {
	if !b.used {
		*b = bucket{true, depth, now}
	}
	b.tokens = min(depth, b.tokens+rate*(now-b.at).Seconds())
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
