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
	blockBits4 = 24
	blockBits6 = 48
	// maxCells bounds a meter's table, and maxReadings what one report carries.
	maxCells    = 4096
	maxReadings = 256
	maxClasses  = 8
	// smoothFor is the time constant of the measured rates. It is about the life of a
	// cached look-up, which is how fast load can change place.
	smoothFor = 5 * time.Second
)

type (
	// BlockReading is the measured use of one block at one entry.
	BlockReading struct {
		_      struct{} `cbor:",toarray"`
		Prefix netip.Prefix
		// Lookups is a rate; Demand has a column for each class, most urgent first, in
		// thousandths of a busy slot.
		Lookups Rate
		Demand  []Rate
	}

	// Reading is what a meter measured.
	Reading struct {
		Blocks []BlockReading
		// OtherDemand is the demand of the default block, into which the least used blocks
		// are merged.
		OtherDemand Rate
		// Load is the demand of the requests that the entry did not refuse.
		Load Rate
	}

	// Meter counts the use of an entry by client block.
	Meter struct {
		mu    sync.Mutex
		cells map[netip.Prefix]*cell
		other cell
		load  gauge
		last  time.Time
	}

	// gauge is a smoothed rate; sum is what came since the last reading.
	gauge struct {
		sum, rate float64
		// age is the time that the rate is the mean of, until it reaches smoothFor.
		age float64
	}

	cell struct {
		lookups gauge
		demand  [maxClasses]gauge
	}
)

// BlockOf returns the client block of an address.
func BlockOf(a netip.Addr) netip.Prefix {
	a = a.Unmap().WithZone("")
	bits := blockBits6
	if a.Is4() {
		bits = blockBits4
	}
	p, _ := a.Prefix(bits)
	return p
}

// CountLookup counts a look-up.
func (m *Meter) CountLookup(client netip.Addr) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cell(client).lookups.sum++
}

// CountRequest counts a request of the class with the given index, most urgent first,
// which holds a slot for the given time.
func (m *Meter) CountRequest(client netip.Addr, class int, holds time.Duration, served bool) {
	work := float64(holds.Microseconds()) / 1000
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cell(client).demand[min(max(class, 0), maxClasses-1)].sum += work
	if served {
		m.load.sum += work
	}
}

// cell returns the counts of a client's block, or the default block's where the
// table is full; mu is held.
func (m *Meter) cell(client netip.Addr) *cell {
	if !client.IsValid() {
		return &m.other
	}
	p := BlockOf(client)
	c := m.cells[p]
	if c != nil {
		return c
	}
	if len(m.cells) >= maxCells {
		return &m.other
	}
	if m.cells == nil {
		m.cells = map[netip.Prefix]*cell{}
	}
	c = &cell{}
	m.cells[p] = c
	return c
}

// Read ends a period of measurement and returns the rates by then, for the given
// number of classes. Blocks that are hardly used any more are forgotten.
func (m *Meter) Read(now time.Time, classes int) Reading {
	m.mu.Lock()
	defer m.mu.Unlock()
	elapsed := now.Sub(m.last).Seconds()
	if m.last.IsZero() || elapsed <= 0 {
		elapsed = 1
	}
	m.last = now
	r := Reading{Load: m.load.read(elapsed)}
	for p, c := range m.cells {
		b := c.read(elapsed, classes)
		if b.Lookups == 0 && sum(b.Demand) == 0 {
			delete(m.cells, p)
			continue
		}
		b.Prefix = p
		r.Blocks = append(r.Blocks, b)
	}
	r.OtherDemand = sum(m.other.read(elapsed, classes).Demand)
	slices.SortFunc(r.Blocks, func(a, b BlockReading) int {
		return cmp.Or(cmp.Compare(sum(b.Demand), sum(a.Demand)), cmp.Compare(b.Lookups, a.Lookups), a.Prefix.Addr().Compare(b.Prefix.Addr()))
	})
	for len(r.Blocks) > maxReadings {
		r.OtherDemand += sum(r.Blocks[len(r.Blocks)-1].Demand)
		r.Blocks = r.Blocks[:len(r.Blocks)-1]
	}
	return r
}

func (c *cell) read(elapsed float64, classes int) BlockReading {
	b := BlockReading{Lookups: 1000 * c.lookups.read(elapsed), Demand: make([]Rate, min(classes, maxClasses))}
	for i := range b.Demand {
		b.Demand[i] = c.demand[i].read(elapsed)
	}
	return b
}

func (g *gauge) read(elapsed float64) Rate {
	now := g.sum / elapsed
	g.sum = 0
	g.age = min(g.age+elapsed, smoothFor.Seconds())
	g.rate += min(1, max(elapsed/g.age, 1-math.Exp(-elapsed/smoothFor.Seconds()))) * (now - g.rate)
	return Rate(math.Round(g.rate))
}

func sum(rates []Rate) Rate {
	total := Rate(0)
	for _, r := range rates {
		total += r
	}
	return total
}
