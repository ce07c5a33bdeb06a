package bfcontrol

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// highUtilization is the mean link utilization of a failure domain or region above
	// which the share of its callers that are sent elsewhere grows. Below lowUtilization
	// the share shrinks. Only entries below lowUtilization receive these callers.
	highUtilization = 0.7
	lowUtilization  = 0.55
	// stepInterval is the time between two adjustments of the shares.
	stepInterval = time.Second
	// domainStep is the change of a failure domain's share in one step. A region's share
	// changes by regionStepShare of Node.MaxShift. MaxShift applies to 2 s, so the two steps
	// in that time use half of it; the other half is left for callers that use cached
	// look-ups and for requests that entries send to backend servers of other regions.
	domainStep      = 0.1
	regionStepShare = 0.25
	// unlimitedRegionStep is the change of a region's share in one step if MaxShift sets no
	// limit.
	unlimitedRegionStep = 0.1
	// maxShare is the largest share of callers that are sent elsewhere.
	maxShare = 0.7
	// maxSpilloverEntries limits the entries in the answer to a caller that is sent
	// elsewhere.
	maxSpilloverEntries = 3
)

type (
	// spillover directs a share of the callers to entries in other failure domains or
	// regions while the links of the entries near them are busy.
	spillover struct {
		maxShift float64
		log      zerolog.Logger
		// randomFloat returns a random number in [0, 1); nil means rand.Float64.
		randomFloat func() float64

		mu        sync.Mutex
		steppedAt time.Time
		// regionShares holds the share of callers that each region sends to other regions,
		// and domainShares the share that each failure domain sends to others of its region.
		regionShares, domainShares map[string]float64
	}

	// entryGroup is a set of entries with their mean utilization.
	entryGroup struct {
		entries     []*entryState
		utilization float64
	}
)

func (g *entryGroup) add(e *entryState) {
	g.utilization = (g.utilization*float64(len(g.entries)) + e.utilization) / float64(len(g.entries)+1)
	g.entries = append(g.entries, e)
}

func (s *spillover) random() float64 {
	if s.randomFloat != nil {
		return s.randomFloat()
	}
	return rand.Float64()
}

// step adjusts all shares to the utilization of the entries, once in each stepInterval.
func (s *spillover) step(now time.Time, ready []*entryState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.steppedAt) < stepInterval {
		return
	}
	s.steppedAt = now
	if s.regionShares == nil {
		s.regionShares, s.domainShares = map[string]float64{}, map[string]float64{}
	}
	regions, domains, regionOf := map[string]*entryGroup{}, map[string]*entryGroup{}, map[string]string{}
	for _, e := range ready {
		groupOf(regions, e.info.Region).add(e)
		groupOf(domains, e.info.FailureDomain).add(e)
		regionOf[e.info.FailureDomain] = e.info.Region
	}
	regionStep := unlimitedRegionStep
	if s.maxShift > 0 {
		regionStep = regionStepShare * s.maxShift
	}
	for region, g := range regions {
		s.adjust(s.regionShares, region, g.utilization, g.utilization, regionStep)
	}
	for domain, g := range domains {
		s.adjust(s.domainShares, domain, g.utilization, regions[regionOf[domain]].utilization, domainStep)
	}
}

func groupOf(m map[string]*entryGroup, name string) *entryGroup {
	g := m[name]
	if g == nil {
		g = &entryGroup{}
		m[name] = g
	}
	return g
}

// adjust changes the share of one failure domain or region by a step. The share of a failure
// domain below its region's mean utilization does not grow. Otherwise busy failure domains
// would only exchange callers.
func (s *spillover) adjust(shares map[string]float64, name string, utilization, regionMean, step float64) {
	old := shares[name]
	switch {
	case utilization > highUtilization && utilization >= regionMean:
		shares[name] = min(maxShare, old+step)
	case utilization < lowUtilization:
		shares[name] = max(0, old-step)
	}
	if (old > 0) != (shares[name] > 0) {
		s.log.Info().Str("near", name).Bool("spread", shares[name] > 0).Float64("utilization", utilization).Float64("around", regionMean).Msg("share of callers sent to other entries")
	}
}

// entries returns entries in other failure domains or regions for a share of the callers,
// and nil for the others. If regionOnly is set, it excludes other regions.
func (s *spillover) entries(ready []*entryState, region, domain string, regionOnly bool) []netip.AddrPort {
	s.mu.Lock()
	regionShare, domainShare := s.regionShares[region], s.domainShares[domain]
	s.mu.Unlock()
	switch {
	case !regionOnly && regionShare > 0 && s.random() < regionShare:
		return s.randomEntries(ready, func(e *entryState) bool { return e.info.Region != region })
	case domainShare > 0 && s.random() < domainShare:
		return s.randomEntries(ready, func(e *entryState) bool { return e.info.Region == region && e.info.FailureDomain != domain })
	}
	return nil
}

// randomEntries returns a random choice of the matching entries with low utilization.
func (s *spillover) randomEntries(ready []*entryState, match func(e *entryState) bool) []netip.AddrPort {
	var out []netip.AddrPort
	for _, e := range ready {
		if match(e) && e.utilization < lowUtilization {
			out = append(out, e.info.HTTP)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), maxSpilloverEntries)]
}
