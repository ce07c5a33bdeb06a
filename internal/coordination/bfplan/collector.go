package bfplan

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxReporters limits the entries whose reports are kept.
	maxReporters = 4096
	// spreadVariance is the variance of the number of requests of an entry with one service
	// that run in a region, as its draws make up for requests that a region lacks. It is up to
	// twice as large with many services.
	spreadVariance = 1.1
	// defaultRTT is assumed between regions that no entry has measured.
	defaultRTT = 100 * time.Millisecond
)

type (
	// Collector keeps the latest reports of entries. Its exported field must be set before
	// use.
	Collector struct {
		Regions []string

		entries map[string]*reporter
		rtt     [][]time.Duration
	}

	reporter struct {
		incarnation, sequence uint64
		region                int
		at                    time.Time
		rows                  map[string]reportedRow
	}

	reportedRow struct {
		ReportRow
		at time.Time
	}
)

// Add records a report. It returns false for one that is outdated or ignored.
func (c *Collector) Add(now time.Time, r *Report) bool {
	if int(r.Region) >= len(c.Regions) || r.RegionSet != RegionSet(c.Regions) {
		return false
	}
	if c.entries == nil {
		c.entries = map[string]*reporter{}
	}
	e := c.entries[r.Entry]
	switch {
	case e == nil && len(c.entries) >= maxReporters:
		return false
	case e != nil && now.Sub(e.at) <= ReportLifetime && (r.Incarnation < e.incarnation || r.Incarnation == e.incarnation && r.Sequence < e.sequence):
		return false
	case e == nil || r.Incarnation != e.incarnation:
		e = &reporter{rows: map[string]reportedRow{}}
		c.entries[r.Entry] = e
	}
	e.incarnation, e.sequence, e.region, e.at = r.Incarnation, r.Sequence, int(r.Region), now
	maps.DeleteFunc(e.rows, func(_ string, row reportedRow) bool { return now.Sub(row.at) > ReportLifetime })
	for _, row := range r.Rows {
		if _, known := e.rows[row.Service]; known || len(e.rows) < MaxServices {
			e.rows[row.Service] = reportedRow{row, now}
		}
	}
	c.addRTT(int(r.Region), r.RTTMillis)
	return true
}

// addRTT records round trip times that an entry measured. The lowest one of each pair counts,
// as queues only make them longer.
func (c *Collector) addRTT(from int, millis []uint16) {
	if c.rtt == nil {
		c.rtt = make([][]time.Duration, len(c.Regions))
		for r := range c.rtt {
			c.rtt[r] = make([]time.Duration, len(c.Regions))
		}
	}
	if len(millis) != len(c.Regions) {
		return
	}
	for to, ms := range millis {
		d := time.Duration(ms) * time.Millisecond
		if old := c.rtt[from][to]; d > 0 && (old == 0 || d < old) {
			c.rtt[from][to], c.rtt[to][from] = d, d
		}
	}
}

// RTT returns the round trip times between regions.
func (c *Collector) RTT() [][]time.Duration {
	out := make([][]time.Duration, len(c.Regions))
	for a := range out {
		out[a] = make([]time.Duration, len(c.Regions))
		for b := range out[a] {
			switch {
			case a == b:
			case c.rtt != nil && c.rtt[a][b] > 0:
				out[a][b] = c.rtt[a][b]
			default:
				out[a][b] = defaultRTT
			}
		}
	}
	return out
}

// Observe returns what the reports of the last ReportLifetime say. Slots holds the usable
// slots of each service by region, according to the registry; services without any there
// aren't planned.
func (c *Collector) Observe(now time.Time, slots map[string][]float64) *Observation {
	o := &Observation{Services: map[string]*Service{}, RTT: c.RTT(), Heard: make([]bool, len(c.Regions)), Variance: make([]float64, len(c.Regions))}
	sums := map[string]*serviceSum{}
	for _, name := range slices.Sorted(maps.Keys(slots)) {
		if len(sums) < MaxServices {
			sums[name] = newServiceSum(len(c.Regions), slots[name])
		}
	}
	maps.DeleteFunc(c.entries, func(_ string, e *reporter) bool { return now.Sub(e.at) > ReportLifetime })
	for _, e := range c.entries {
		o.Heard[e.region] = true
		requests, services := 0.0, 0.0
		for name, row := range e.rows {
			if s := sums[name]; s != nil && now.Sub(row.at) <= ReportLifetime {
				s.add(e.region, &row.ReportRow)
				requests += float64(row.Rate) / RateScale * Window.Seconds()
				services++
			}
		}
		o.Variance[e.region] += min(spreadVariance*2*services/(services+1), requests/4)
	}
	for name, s := range sums {
		o.Services[name] = s.service()
	}
	return o
}

// serviceSum adds up the reports about a service.
type serviceSum struct {
	out Service
	// slotTime and weight give the mean slot time, weighted by requests.
	slotTime, weight float64
	// inForceWeight is the weight of the shares in force by region of callers.
	inForceWeight []float64
	usable        [][]uint8
}

func newServiceSum(regions int, slots []float64) *serviceSum {
	s := &serviceSum{inForceWeight: make([]float64, regions), usable: make([][]uint8, regions)}
	s.out = Service{Demand: make([]float64, regions), Fixed: make([]float64, regions), Slots: slices.Clone(slots), InForce: make([][]float64, regions)}
	for r := range s.out.InForce {
		s.out.InForce[r] = make([]float64, regions)
	}
	return s
}

func (s *serviceSum) add(region int, row *ReportRow) {
	rate := float64(row.Rate) / RateScale
	s.out.Demand[region] += rate
	all := rate
	for r, v := range row.Fixed {
		if r < len(s.out.Fixed) {
			s.out.Fixed[r] += float64(v) / RateScale
			all += float64(v) / RateScale
		}
	}
	if row.SlotMillis > 0 {
		s.slotTime += all * float64(row.SlotMillis)
		s.weight += all
	}
	if shares := DecodeShares(row.InForce); len(shares) == len(s.inForceWeight) {
		// An entry without requests at the moment counts a little, so that its shares are
		// known before the first requests.
		weight := rate + 1.0/RateScale
		for r, share := range shares {
			s.out.InForce[region][r] += weight * share
		}
		s.inForceWeight[region] += weight
	}
	s.usable[region] = append(s.usable[region], row.UsablePercent)
}

func (s *serviceSum) service() *Service {
	if s.weight > 0 {
		s.out.SlotTime = time.Duration(s.slotTime / s.weight * float64(time.Millisecond))
	}
	for r := range s.out.InForce {
		if s.inForceWeight[r] == 0 {
			s.out.InForce[r] = nil
			continue
		}
		s.out.InForce[r] = normalized(s.out.InForce[r], r)
	}
	for r, list := range s.usable {
		// Single entries may be unable to reach servers that others reach.
		if len(list) > 0 {
			slices.SortFunc(list, cmp.Compare[uint8])
			s.out.Slots[r] *= float64(list[len(list)/2]) / maxPercent
		}
	}
	return &s.out
}
