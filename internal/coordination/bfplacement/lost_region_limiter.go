package bfplacement

import (
	"sync"
	"time"

	"briarferry"
)

// lostSitesInterval is the interval at which the set of lost sites is recomputed.
const lostSitesInterval = 100 * time.Millisecond

// lostRegionLimiter is a token bucket for the requests of blocks whose region is lost and
// that the leader has not placed again. Until the leader places them, look-ups for these
// blocks name sites of other regions, and no plan keeps this shift below the cap. Each
// entry admits its site's share of its region's cap.
type lostRegionLimiter struct {
	mu sync.Mutex
	// regionOfSite includes sites that are no longer live.
	regionOfSite map[string]string
	lostSites    map[string]bool
	// regionSiteCount is the number of live sites in the local region.
	regionSiteCount int
	updatedAt       time.Time
	capacity        Rate
	// tokens is the work that may be admitted now, in thousandths of a slot-second.
	tokens     float64
	refilledAt time.Time
}

// isLost reports whether no site in the region of the given site is live.
func (l *lostRegionLimiter) isLost(now time.Time, site string, self briarferry.VM, members briarferry.Members) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.regionOfSite == nil || now.Sub(l.updatedAt) >= lostSitesInterval {
		l.update(now, self, members)
	}
	return l.lostSites[site]
}

func (l *lostRegionLimiter) update(now time.Time, self briarferry.VM, members briarferry.Members) {
	if l.regionOfSite == nil {
		l.regionOfSite = map[string]string{}
	}
	l.updatedAt, l.lostSites, l.regionSiteCount = now, map[string]bool{}, 0
	liveRegions := map[string]bool{}
	for _, vm := range members.Live() {
		l.regionOfSite[vm.Name], liveRegions[vm.Region] = vm.Region, true
		if vm.Region == self.Region {
			l.regionSiteCount++
		}
	}
	for site, region := range l.regionOfSite {
		l.lostSites[site] = !liveRegions[region]
	}
}

// allow reports whether a request fits under the site's share of the cap. All classes but
// the most urgent one leave half of a second's tokens to that class.
func (l *lostRegionLimiter) allow(now time.Time, capShare float64, classIndex int, slotTime time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	rate := float64(l.capacity) * capShare / float64(max(1, l.regionSiteCount))
	l.tokens = min(rate, l.tokens+rate*now.Sub(l.refilledAt).Seconds())
	l.refilledAt = now
	reserve := 0.0
	if classIndex > 0 {
		reserve = rate / 2
	}
	slotMillis := float64(slotTime.Microseconds()) / 1000
	if l.tokens-slotMillis < reserve {
		return false
	}
	l.tokens -= slotMillis
	return true
}

func (l *lostRegionLimiter) setCapacity(c Rate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.capacity = c
}
