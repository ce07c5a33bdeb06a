package bfsteering

import "testing"

// TestLargeAnswersStayInDomain guards against large answers that cross failure domains
// because all entries of a region share one primary server for a key.
func TestLargeAnswersStayInDomain(t *testing.T) {
	f := newFleet(t, 2, map[string]int{"r1-a": 4, "r1-b": 4, "r2-a": 4}, 4)
	primaries := func(r Request) (out [2]*server) {
		for i, s := range f.steering {
			v := s.service("prices")
			p := v.positions(s, &r)
			for _, srv := range v.servers {
				if pos := p.of(srv); pos.missClass == missPrimary {
					out[i] = srv
				}
			}
		}
		return out
	}
	for _, key := range []string{"k1", "k2", "k3", "k4", "k5"} {
		r := request(key)
		if p := primaries(r); p[0].ID != p[1].ID {
			t.Errorf("%s: entries of a region use %s and %s", key, p[0].ID, p[1].ID)
		}
		r.Route.LargeAnswers = true
		for i, srv := range primaries(r) {
			if domain := f.steering[i].FailureDomain; srv.FailureDomain != domain {
				t.Errorf("%s: primary server %s for large answers in %s is in %s", key, srv.ID, domain, srv.FailureDomain)
			}
		}
	}
	for i := range f.state.Servers {
		f.state.Servers[i].Draining = f.state.Servers[i].FailureDomain == "r1-a"
	}
	f.updateEntries()
	r := request("k1")
	r.Route.LargeAnswers = true
	if p := primaries(r); p[0] == nil || p[0].region != "r1" {
		t.Error("an entry without servers in its domain has no primary server in its region")
	}
}
