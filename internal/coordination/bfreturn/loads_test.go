package bfreturn

import (
	"fmt"
	"testing"
	"time"
)

// organisations returns ten classes of equal rates, of which the first few send more.
func organisations(heavy int, factor float64) []class {
	var out []class
	for i := range 10 {
		c := class{name: fmt.Sprint("org-", i), rate: 0.07, factor: 1, organisation: true}
		if i < heavy {
			c.factor = factor
		}
		out = append(out, c)
	}
	return out
}

func one(factor float64) []class { return []class{{name: "all", rate: 0.7, factor: factor}} }

var loads = []load{
	{name: "wave at 2 times the slots", entries: 7, regions: 1, length: 8 * time.Second, classes: one(2 / 0.7)},
	{name: "burst of one class at 2.3 times", entries: 7, regions: 1, length: 5 * time.Second, classes: []class{
		{name: "urgent", rate: 0.3, factor: 1}, {name: "batch", urgency: 2, rate: 0.5, factor: 2.3}}, need: urgentAreServed},
	{name: "one organisation at 7.5 times", entries: 7, regions: 1, length: 8 * time.Second, classes: organisations(1, 7.5), need: othersAreServed},
	{name: "ten organisations at 7.5 times", entries: 7, regions: 1, length: 8 * time.Second, classes: organisations(10, 7.5)},
	{name: "a third repeats three times at once", entries: 7, regions: 1, length: 8 * time.Second, classes: []class{
		{name: "patient", rate: 0.5, factor: 2.5}, {name: "impatient", rate: 0.2, factor: 2.5, impatient: true}}, need: patienceIsWorthIt},
	{name: "all refused in 0.3 s come back", entries: 7, regions: 1, length: 300 * time.Millisecond, classes: one(20)},
	{name: "half of the servers cold", entries: 7, regions: 1, length: 10 * time.Second, cold: true, classes: one(1)},
	{name: "servers shed 40%", entries: 7, regions: 1, length: 9 * time.Second, shed: 0.4, classes: one(1), need: allInTime},
	{name: "22 entries, wave at 2 times", entries: 22, regions: 3, length: 8 * time.Second, classes: one(2 / 0.7)},
	{name: "113 entries, wave at 2 times", entries: 113, regions: 16, length: 8 * time.Second, classes: one(2 / 0.7)},
}

// TestLoads guards against refused callers that are refused again, organisations and urgencies
// that take the room of others, and callers that gain by repeating at once. It plays each load
// with the Retry-After of one estimate ("before") and with this package ("after"). A late
// answer counts a quarter of one in time.
func TestLoads(t *testing.T) {
	t.Log("| load | callers | policy | in time | in time by attempt | answered | refused callers answered | their wait | came as told, refused again | worst second |")
	for _, l := range loads {
		before, after := play(l, false), play(l, true)
		for i, c := range l.classes {
			if i < 2 || i == len(l.classes)-1 {
				t.Logf("| %s | %s | before | %s", l.name, c.name, &before.results[i])
				t.Logf("| %s | %s | after | %s", l.name, c.name, &after.results[i])
			}
		}
		if was, is := before.total().worth(), after.total().worth(); is < 0.95*was {
			t.Errorf("%s: the answers are worth %.3f, before %.3f: callers lose more than a twentieth", l.name, is, was)
		}
		if was, is := before.total(), after.total(); is.share(is.attemptInTime) < was.share(was.attemptInTime)-0.01 || is.share(is.served) < was.share(was.served)-0.01 {
			t.Errorf("%s: %.2f in time by attempt, %.2f answered, before %.2f and %.2f", l.name, is.share(is.attemptInTime), is.share(is.served), was.share(was.attemptInTime), was.share(was.served))
		}
		if all := after.total(); l.isWave() && all.dueRefused*10 > all.due {
			t.Errorf("%s: %d of %d callers that came as told were refused again", l.name, all.dueRefused, all.due)
		}
		if need := l.need; need != nil {
			need(t, l.name, after.results)
		}
	}
}

// othersAreServed checks that those who send no more than usual are answered nine times out of
// ten while the first class sends several times its usual.
func othersAreServed(t *testing.T, name string, results []result) {
	for i, r := range results[1:] {
		if share := r.share(r.served); share < 0.9 {
			t.Errorf("%s: class %d has %.3f answered, want 0.9", name, i+1, share)
		}
	}
}

// urgentAreServed checks that urgent callers are answered nine times out of ten, and not less
// often than others.
func urgentAreServed(t *testing.T, name string, results []result) {
	if urgent, other := results[0].share(results[0].served), results[1].share(results[1].served); urgent < 0.9 || urgent < other {
		t.Errorf("%s: %.3f of the urgent callers and %.3f of the others are answered", name, urgent, other)
	}
}

// patienceIsWorthIt checks that callers that wait are answered as often as those that don't.
func patienceIsWorthIt(t *testing.T, name string, results []result) {
	if patient, impatient := results[0].share(results[0].served), results[1].share(results[1].served); patient < impatient {
		t.Errorf("%s: %.3f of the patient callers and %.3f of the impatient are answered", name, patient, impatient)
	}
}

// allInTime checks that callers notice next to nothing where there is room.
func allInTime(t *testing.T, name string, results []result) {
	if share := results[0].share(results[0].inTime); share < 0.95 {
		t.Errorf("%s: %.3f in time, want 0.95", name, share)
	}
}

// isWave reports whether the load is one of many callers for seconds, with servers that keep
// their speed.
func (l *load) isWave() bool { return l.length > time.Second && l.shed == 0 && !l.cold }

func (s *sim) total() *result {
	var all result
	for _, r := range s.results {
		all.sent, all.inTime, all.served, all.attemptInTime = all.sent+r.sent, all.inTime+r.inTime, all.served+r.served, all.attemptInTime+r.attemptInTime
		all.due, all.dueRefused = all.due+r.due, all.dueRefused+r.dueRefused
	}
	return &all
}

func (r *result) worth() float64 { return 0.75*r.share(r.inTime) + 0.25*r.share(r.served) }

func (r *result) share(n int) float64 { return float64(n) / float64(max(1, r.sent)) }

func (r *result) String() string {
	return fmt.Sprintf("%.2f | %.2f | %.2f | %.2f | %.2f s | %d of %d | %.2f |", r.share(r.inTime), r.share(r.attemptInTime), r.share(r.served),
		float64(r.returnedServed)/float64(max(1, r.returned)), (r.waited / time.Duration(max(1, r.returnedServed))).Seconds(), r.dueRefused, r.due, r.worstSecond())
}

func (r *result) worstSecond() float64 {
	worst := 1.0
	for _, s := range r.seconds {
		if s.sent > 0 {
			worst = min(worst, float64(s.inTime)/float64(s.sent))
		}
	}
	return worst
}
