package bfsteering

import (
	"testing"
	"time"
)

// TestOwnLink guards against an entry that leaves all servers out while its own link is
// congested, and against one that keeps sending to a failure domain that is gone.
func TestOwnLink(t *testing.T) {
	cases := []struct {
		name    string
		domains []string
		leftOut int
	}{
		{"one server", []string{"r1-b"}, 1},
		{"another region", []string{"r2-a", "r2-a"}, 2},
		{"other domains", []string{"r1-b", "r2-a", "r1-b"}, 3},
		// The first two only show that both domains are affected.
		{"own domain and others", []string{"r1-b", "r1-a", "r2-a", "r1-a", "r1-b"}, 1},
	}
	for _, c := range cases {
		f := newFleet(t, 1, map[string]int{"r1-a": 4, "r1-b": 4, "r2-a": 4}, 4)
		s := f.steering[0]
		v := s.service("prices")
		used := map[*server]bool{}
		for _, domain := range c.domains {
			f.now = f.now.Add(50 * time.Millisecond)
			timeOut(f, s, v, domain, used)
		}
		got := 0
		for _, srv := range v.servers {
			if srv.ejected() {
				got++
			}
		}
		if got != c.leftOut {
			t.Errorf("%s: %d servers left out, want %d", c.name, got, c.leftOut)
		}
	}
}

// timeOut ends a try at an unused server of the domain without a connection.
func timeOut(f *fleet, s *Steering, v *service, domain string, used map[*server]bool) {
	for _, srv := range v.servers {
		if srv.FailureDomain != domain || used[srv] {
			continue
		}
		used[srv] = true
		r := request("k")
		m := v.model(r.Route.Name)
		v.mu.Lock()
		try := v.begin(f.now, s, &r, m, v.assess(f.now, s, &r, m, srv, place{order: 2}))
		v.mu.Unlock()
		try.Done(f.now, Report{Outcome: Unreachable})
		return
	}
	f.t.Fatalf("no server left in %s", domain)
}

// TestLearnsWarmthElsewhere guards against requests that run late in the own region since
// servers elsewhere are presumed to lack keys that they have.
func TestLearnsWarmthElsewhere(t *testing.T) {
	m := &model{}
	for range minSamples {
		m.learn(false, presumeFirst, coldTime)
	}
	m.learn(false, presumeFirst, warmTime)
	m.warm.add(warmTime)
	before := m.coldChance(presumeFar)
	for range 40 {
		m.learn(false, presumeFar, warmTime)
	}
	if after := m.coldChance(presumeFar); after > before/2 {
		t.Errorf("servers elsewhere lack a key in %.2f of cases, %.2f before 40 fast answers", after, before)
	}
	if got := m.coldChance(presumeSecond); got != initialCold[presumeSecond] {
		t.Errorf("the second server's likelihood moved to %.2f", got)
	}
}
