package bfplan

import (
	"cmp"
	"slices"
)

// Change is the difference of one region's shares in one service between two plans.
type Change struct {
	Service string
	// Region is the index of the region of callers.
	Region int
	Shares []float64
	// Moved is the share of requests whose region changed.
	Moved  float64
	Forced bool
}

// Changes returns the rows that differ from an earlier plan, which may be nil, those that moved
// most first.
func (p *Plan) Changes(earlier *Plan) []Change {
	var out []Change
	for name, rows := range p.Services {
		var before []Row
		if earlier != nil {
			before = earlier.Services[name]
		}
		for r, row := range rows {
			c := Change{Service: name, Region: r, Shares: row.Shares, Forced: row.Forced == p.Sequence}
			if r < len(before) {
				c.Moved = Distance(before[r].Shares, row.Shares)
				if c.Moved == 0 {
					continue
				}
			}
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b Change) int {
		return cmp.Or(cmp.Compare(b.Moved, a.Moved), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Region, b.Region))
	})
	return out
}
