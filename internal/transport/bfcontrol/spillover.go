package bfcontrol

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// fullLoad is the utilization of links from which on callers are sent farther away,
	// and freeLoad the one below which they come back and entries take callers from afar.
	fullLoad = 0.7
	freeLoad = 0.55
	// spreadInterval is the time between two steps of the shares.
	spreadInterval = time.Second
	// nearStep is the change of a share inside a region. The step between regions is
	// shiftShare of the limit on shifts, which counts over 2 s; the rest is for callers
	// that act on older answers and for the choice of backend servers.
	nearStep   = 0.1
	shiftShare = 0.25
	// unlimitedStep is the step between regions where no limit on shifts is set.
	unlimitedStep = 0.1
	// maxShare bounds the callers that are sent away.
	maxShare = 0.7
	// maxSpread is the number of entries that are named to a caller that is sent away.
	maxSpread = 3
)

type (
	// spread decides which part of the callers is named entries farther away, since the
	// links of the near ones fill up.
	spread struct {
		maxShift float64
		log      zerolog.Logger
		// roll returns a random number from 0 to 1; nil stands for the usual one.
		roll func() float64

		mu sync.Mutex
		at time.Time
		// regions holds the shares that leave a region, and domains those that go to
		// other failure domains of their region.
		regions, domains map[string]float64
	}

	// choice is one group of entries with its mean utilization.
	choice struct {
		list []*entryState
		load float64
	}
)

func (c *choice) add(e *entryState) {
	c.load = (c.load*float64(len(c.list)) + e.load) / float64(len(c.list)+1)
	c.list = append(c.list, e)
}

func (s *spread) random() float64 {
	if s.roll != nil {
		return s.roll()
	}
	return rand.Float64()
}

// step adjusts all shares to the utilization of the entries.
func (s *spread) step(now time.Time, ready []*entryState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.at) < spreadInterval {
		return
	}
	s.at = now
	if s.regions == nil {
		s.regions, s.domains = map[string]float64{}, map[string]float64{}
	}
	regions, domains, home := map[string]*choice{}, map[string]*choice{}, map[string]string{}
	for _, e := range ready {
		group(regions, e.info.Region).add(e)
		group(domains, e.info.FailureDomain).add(e)
		home[e.info.FailureDomain] = e.info.Region
	}
	farStep := unlimitedStep
	if s.maxShift > 0 {
		farStep = shiftShare * s.maxShift
	}
	for region, c := range regions {
		s.adjust(s.regions, region, c.load, c.load, farStep)
	}
	for domain, c := range domains {
		s.adjust(s.domains, domain, c.load, regions[home[domain]].load, nearStep)
	}
}

func group(m map[string]*choice, name string) *choice {
	c := m[name]
	if c == nil {
		c = &choice{}
		m[name] = c
	}
	return c
}

// adjust moves one share. A group that is hardly busier than those around it keeps its
// callers: sending them there would only exchange them.
func (s *spread) adjust(shares map[string]float64, name string, load, around, step float64) {
	old := shares[name]
	switch {
	case load > fullLoad && load >= around:
		shares[name] = min(maxShare, old+step)
	case load < freeLoad:
		shares[name] = max(0, old-step)
	}
	if (old > 0) != (shares[name] > 0) {
		s.log.Info().Str("near", name).Bool("spread", shares[name] > 0).Float64("utilization", load).Float64("around", around).Msg("callers of busy entries")
	}
}

// away returns entries farther away for a share of the callers, or nil. Other regions are
// left out where stay is set.
func (s *spread) away(ready []*entryState, region, domain string, stay bool) []netip.AddrPort {
	s.mu.Lock()
	far, near := s.regions[region], s.domains[domain]
	s.mu.Unlock()
	switch {
	case !stay && far > 0 && s.random() < far:
		return s.pick(ready, func(e *entryState) bool { return e.info.Region != region })
	case near > 0 && s.random() < near:
		return s.pick(ready, func(e *entryState) bool { return e.info.Region == region && e.info.FailureDomain != domain })
	}
	return nil
}

// pick returns some of the matching entries that have room.
func (s *spread) pick(ready []*entryState, match func(e *entryState) bool) []netip.AddrPort {
	var out []netip.AddrPort
	for _, e := range ready {
		if match(e) && e.load < freeLoad {
			out = append(out, e.info.HTTP)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), maxSpread)]
}
