package bfplacement

import (
	"sync"
	"time"

	"briarferry"
)

// lostEvery is the age at which the set of lost sites is computed again.
const lostEvery = 100 * time.Millisecond

// stranded limits the requests of blocks whose region is lost and that the leader has
// not placed again: until then their look-ups name sites of other regions, and no plan
// holds this shift under its cap. The entry takes its site's part of the cap.
type stranded struct {
	mu sync.Mutex
	// region remembers where sites are, also those that are gone.
	region map[string]string
	lost   map[string]bool
	// peers is the number of live sites in the entry's own region.
	peers    int
	at       time.Time
	capacity Rate
	// room is the work that may still be taken now, in thousandths of a slot-second.
	room   float64
	filled time.Time
}

// isLost tells whether a site is gone with all others of its region.
func (t *stranded) isLost(now time.Time, site string, self briarferry.VM, members briarferry.Members) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.region == nil || now.Sub(t.at) >= lostEvery {
		t.update(now, self, members)
	}
	return t.lost[site]
}

func (t *stranded) update(now time.Time, self briarferry.VM, members briarferry.Members) {
	if t.region == nil {
		t.region = map[string]string{}
	}
	t.at, t.lost, t.peers = now, map[string]bool{}, 0
	up := map[string]bool{}
	for _, vm := range members.Live() {
		t.region[vm.Name], up[vm.Region] = vm.Region, true
		if vm.Region == self.Region {
			t.peers++
		}
	}
	for site, region := range t.region {
		t.lost[site] = !up[region]
	}
}

// take tells whether a request fits under the site's part of the cap. The less urgent
// classes leave half of a second's room to the most urgent one.
func (t *stranded) take(now time.Time, capShare float64, rank int, holds time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	rate := float64(t.capacity) * capShare / float64(max(1, t.peers))
	t.room = min(rate, t.room+rate*now.Sub(t.filled).Seconds())
	t.filled = now
	reserve := 0.0
	if rank > 0 {
		reserve = rate / 2
	}
	work := float64(holds.Microseconds()) / 1000
	if t.room-work < reserve {
		return false
	}
	t.room -= work
	return true
}

func (t *stranded) setCapacity(c Rate) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.capacity = c
}
