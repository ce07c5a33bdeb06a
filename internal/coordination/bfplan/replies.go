package bfplan

import (
	"maps"
	"slices"
)

// Replies returns the messages that answer a report: all rows of its region, or a short message
// if the entry has the plan as a whole.
func (p *Plan) Replies(r *Report, regionSet uint32) []Reply {
	head := Reply{Term: p.Term, Sequence: p.Sequence, RegionSet: regionSet}
	if r.Term == p.Term && r.PlanSequence == p.Sequence {
		return []Reply{head}
	}
	var rows []ReplyRow
	for _, name := range slices.Sorted(maps.Keys(p.Services)) {
		if int(r.Region) >= len(p.Services[name]) {
			continue
		}
		row := p.Services[name][r.Region]
		rows = append(rows, ReplyRow{Service: name, Shares: EncodeShares(row.Shares), Forced: row.Forced})
	}
	var out []Reply
	for part := range slices.Chunk(rows, MaxRows) {
		m := head
		m.Part, m.Parts, m.Rows = uint8(len(out)), uint8((len(rows)+MaxRows-1)/MaxRows), part
		out = append(out, m)
	}
	if out == nil {
		head.Parts = 1
		out = append(out, head)
	}
	return out
}
