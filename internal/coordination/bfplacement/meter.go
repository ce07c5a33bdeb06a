package bfplacement

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	ipv4BlockBits = 24
	ipv6BlockBits = 48
	// maxMeteredBlocks bounds a meter's table, and maxReportedBlocks the blocks of a report.
	maxMeteredBlocks  = 4096
	maxReportedBlocks = 256
	maxClasses        = 8
	// smoothingTime is the time constant of the measured rates. It is about the life of a
	// cached look-up, which determines how fast load can move between sites.
	smoothingTime = 5 * time.Second
)

type (
	// BlockReading is the measured load of one block at one entry.
	BlockReading struct {
		_      struct{} `cbor:",toarray"`
		Prefix netip.Prefix
		// Lookups is the rate of look-ups. Demand has a column for each class, most urgent
		// first, in thousandths of a busy slot.
		Lookups Rate
		Demand  []Rate
	}

	// Reading is the result of one measurement period.
	Reading struct {
		Blocks []BlockReading
		// OtherDemand is the demand outside the reported blocks: of unattributed requests
		// and of the least used blocks.
		OtherDemand Rate
		// Load is the demand of the requests that the entry admitted.
		Load Rate
	}

	// Meter measures the load of an entry by caller block.
	Meter struct {
		mu           sync.Mutex
		blocks       map[netip.Prefix]*blockCounters
		unattributed blockCounters
		load         smoothedRate
		lastRead     time.Time
	}

	// smoothedRate is an exponentially smoothed rate. pending is the sum since the last read.
	smoothedRate struct {
		pending, rate float64
		// window is the period that rate averages over; it grows up to smoothingTime.
		window float64
	}

	blockCounters struct {
		lookups smoothedRate
		demand  [maxClasses]smoothedRate
	}
)

// BlockOf returns the caller block that contains an address.
func BlockOf(a netip.Addr) netip.Prefix {
	a = a.Unmap().WithZone("")
	bits := ipv6BlockBits
	if a.Is4() {
		bits = ipv4BlockBits
	}
	p, _ := a.Prefix(bits)
	return p
}

// CountLookup counts a look-up of a caller.
func (m *Meter) CountLookup(caller netip.Addr) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.countersOf(caller).lookups.pending++
}

// CountRequest counts a request that holds a slot for slotTime. classIndex is the index
// of its class, most urgent first.
func (m *Meter) CountRequest(caller netip.Addr, classIndex int, slotTime time.Duration, served bool) {
	slotMillis := float64(slotTime.Microseconds()) / 1000
	m.mu.Lock()
	defer m.mu.Unlock()
	m.countersOf(caller).demand[min(max(classIndex, 0), maxClasses-1)].pending += slotMillis
	if served {
		m.load.pending += slotMillis
	}
}

// countersOf returns the counters of a caller's block, or the unattributed ones if its
// address is invalid or the table is full. mu must be held.
func (m *Meter) countersOf(caller netip.Addr) *blockCounters {
	if !caller.IsValid() {
		return &m.unattributed
	}
	p := BlockOf(caller)
	c := m.blocks[p]
	if c != nil {
		return c
	}
	if len(m.blocks) >= maxMeteredBlocks {
		return &m.unattributed
	}
	if m.blocks == nil {
		m.blocks = map[netip.Prefix]*blockCounters{}
	}
	c = &blockCounters{}
	m.blocks[p] = c
	return c
}

// Read ends a measurement period and returns the rates for the given number of classes.
// Blocks whose rates round to zero are removed.
func (m *Meter) Read(now time.Time, classes int) Reading {
	m.mu.Lock()
	defer m.mu.Unlock()
	elapsed := now.Sub(m.lastRead).Seconds()
	if m.lastRead.IsZero() || elapsed <= 0 {
		elapsed = 1
	}
	m.lastRead = now
	r := Reading{Load: m.load.read(elapsed)}
	for p, c := range m.blocks {
		b := c.read(elapsed, classes)
		if b.Lookups == 0 && sumRates(b.Demand) == 0 {
			delete(m.blocks, p)
			continue
		}
		b.Prefix = p
		r.Blocks = append(r.Blocks, b)
	}
	r.OtherDemand = sumRates(m.unattributed.read(elapsed, classes).Demand)
	slices.SortFunc(r.Blocks, func(a, b BlockReading) int {
		return cmp.Or(cmp.Compare(sumRates(b.Demand), sumRates(a.Demand)), cmp.Compare(b.Lookups, a.Lookups), a.Prefix.Addr().Compare(b.Prefix.Addr()))
	})
	for len(r.Blocks) > maxReportedBlocks {
		r.OtherDemand += sumRates(r.Blocks[len(r.Blocks)-1].Demand)
		r.Blocks = r.Blocks[:len(r.Blocks)-1]
	}
	return r
}

func (c *blockCounters) read(elapsed float64, classes int) BlockReading {
	b := BlockReading{Lookups: 1000 * c.lookups.read(elapsed), Demand: make([]Rate, min(classes, maxClasses))}
	for i := range b.Demand {
		b.Demand[i] = c.demand[i].read(elapsed)
	}
	return b
}

func (s *smoothedRate) read(elapsed float64) Rate {
	current := s.pending / elapsed
	s.pending = 0
	s.window = min(s.window+elapsed, smoothingTime.Seconds())
	s.rate += min(1, max(elapsed/s.window, 1-math.Exp(-elapsed/smoothingTime.Seconds()))) * (current - s.rate)
	return Rate(math.Round(s.rate))
}

func sumRates(rates []Rate) Rate {
	total := Rate(0)
	for _, r := range rates {
		total += r
	}
	return total
}
