package bfsteering

import (
	"testing"
	"time"
)

// TestLocalLinkCongestion guards against an entry that ejects all servers while the local
// link is congested, and against one that keeps sending to a failed failure domain.
func TestLocalLinkCongestion(t *testing.T) {
	cases := []struct {
		name    string
		domains []string
		ejected int
	}{
		{"one server", []string{"r1-b"}, 1},
		{"another region", []string{"r2-a", "r2-a"}, 2},
		{"other domains", []string{"r1-b", "r2-a", "r1-b"}, 3},
		// The first timeout ejects its server. From the second on, the local link
		// counts as congested.
		{"own domain and others", []string{"r1-b", "r1-a", "r2-a", "r1-a", "r1-b"}, 1},
	}
	for _, c := range cases {
		f := newFleet(t, 1, map[string]int{"r1-a": 4, "r1-b": 4, "r2-a": 4}, 4)
		s := f.steering[0]
		v := s.service("prices")
		used := map[*server]bool{}
		for _, domain := range c.domains {
			f.now = f.now.Add(50 * time.Millisecond)
			failConnection(f, s, v, domain, used)
		}
		got := 0
		for _, srv := range v.servers {
			if srv.ejected() {
				got++
			}
		}
		if got != c.ejected {
			t.Errorf("%s: %d servers ejected, want %d", c.name, got, c.ejected)
		}
	}
}

// failConnection ends a try at an unused server of the domain with a connection timeout.
func failConnection(f *fleet, s *Steering, v *service, domain string, used map[*server]bool) {
	for _, srv := range v.servers {
		if srv.FailureDomain != domain || used[srv] {
			continue
		}
		used[srv] = true
		r := request("k")
		m := v.routeModel(r.Route.Name)
		v.mu.Lock()
		try := v.startTry(f.now, s, &r, m, v.assess(f.now, s, &r, m, srv, position{order: 2}))
		v.mu.Unlock()
		try.Done(f.now, Report{Outcome: Unreachable})
		return
	}
	f.t.Fatalf("no unused server in %s", domain)
}

// TestRemoteMissRateIsLearned guards against requests that run late in the entry's region
// because servers in other regions are assumed to lack keys that they have cached.
func TestRemoteMissRateIsLearned(t *testing.T) {
	m := &routeModel{}
	for range minMeasuredSamples {
		m.addAnswer(false, missPrimary, coldTime)
	}
	m.addAnswer(false, missPrimary, warmTime)
	m.warm.add(warmTime)
	before := m.missProbability(missRemote)
	for range 40 {
		m.addAnswer(false, missRemote, warmTime)
	}
	if after := m.missProbability(missRemote); after > before/2 {
		t.Errorf("remote miss rate is %.2f, was %.2f before 40 fast answers", after, before)
	}
	if got := m.missProbability(missSecondary); got != initialMissRates[missSecondary] {
		t.Errorf("the secondary server's miss rate changed to %.2f", got)
	}
}
