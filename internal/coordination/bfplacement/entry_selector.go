package bfplacement

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"sync/atomic"

	"briarferry"
)

const (
	// primaryWeight is the weight of the entries that should get the requests, and
	// fallbackWeight that of the entries that replace them if they fail. Callers that
	// choose at random by weight stay within 0.3% of the plan.
	primaryWeight  = 1000
	fallbackWeight = 1

	// Constants of the 64-bit FNV-1a hash.
	fnvOffset uint64 = 14695981039346656037
	fnvPrime  uint64 = 1099511628211

	// maxEntriesPerLookup bounds the entries in the answer to a look-up.
	maxEntriesPerLookup = 5
)

type (
	// EntrySelector answers look-ups from the last known assignment, or from the live VMs
	// if it has none. Its exported fields are set before use.
	EntrySelector struct {
		Members briarferry.Members
		// SiteOf returns the name of a VM's site; by default it is the VM's name.
		SiteOf func(briarferry.VM) string
		// MayTakeRequests reports whether a VM may get new requests; by default all live VMs may.
		MayTakeRequests func(briarferry.VM) bool

		current atomic.Pointer[assignmentView]
	}

	// assignmentView is an assignment with the index of its blocks.
	assignmentView struct {
		assignment *Assignment
		index      *Index
	}
)

// SetAssignment replaces the assignment in use. It refuses an older version, unless it
// is for another block set, for which the leader has recomputed everything.
func (e *EntrySelector) SetAssignment(a *Assignment, index *Index) error {
	if index.blockCount != len(a.ListIndex) || index.checksum != a.BlockSetChecksum {
		return fmt.Errorf("bfplacement: assignment %d belongs to another block set", a.Version)
	}
	next := &assignmentView{assignment: a, index: index}
	for {
		old := e.current.Load()
		if old != nil && old.assignment.BlockSetChecksum == a.BlockSetChecksum && old.assignment.Version > a.Version {
			return fmt.Errorf("bfplacement: assignment %d is older than the current one, %d", a.Version, old.assignment.Version)
		}
		if e.current.CompareAndSwap(old, next) {
			return nil
		}
	}
}

// Version returns the version of the assignment in use, or 0 without one.
func (e *EntrySelector) Version() uint64 {
	if v := e.current.Load(); v != nil {
		return v.assignment.Version
	}
	return 0
}

// ListFor returns the ranked list of a caller's block, or false if none is known.
func (e *EntrySelector) ListFor(caller netip.Addr) (SiteList, bool) {
	return e.current.Load().siteList(caller)
}

func (v *assignmentView) siteList(caller netip.Addr) (SiteList, bool) {
	if v == nil {
		return SiteList{}, false
	}
	b, ok := v.index.Block(caller)
	if !ok {
		return SiteList{}, false
	}
	return v.assignment.Lists[v.assignment.ListIndex[b]], true
}

// Entries returns the entries for a caller address, best first.
func (e *EntrySelector) Entries(_ string, caller netip.Addr) []briarferry.WeightedEntry {
	live := e.usableVMs()
	v := e.current.Load()
	l, ok := v.siteList(caller)
	if !ok {
		return e.fallbackEntries(live, caller)
	}
	var out []briarferry.WeightedEntry
	for _, vms := range e.vmsBySite(live, v.assignment.Sites, l.Sites) {
		weight := fallbackWeight
		if len(out) == 0 {
			weight = primaryWeight
		}
		if len(out) == maxEntriesPerLookup {
			break
		}
		for _, i := range rankVMs(live, vms, caller) {
			// The last place is reserved for a site other than the first.
			if len(out) < maxEntriesPerLookup-1 || (weight == fallbackWeight && len(out) < maxEntriesPerLookup) {
				out = append(out, briarferry.WeightedEntry{VM: live[i], Weight: weight})
			}
		}
	}
	if len(out) == 0 {
		return e.fallbackEntries(live, caller)
	}
	return out
}

func (e *EntrySelector) usableVMs() []briarferry.VM {
	live := e.Members.Live()
	if e.MayTakeRequests == nil {
		return live
	}
	out := make([]briarferry.VM, 0, len(live))
	for i := range live {
		if e.MayTakeRequests(live[i]) {
			out = append(out, live[i])
		}
	}
	return out
}

// vmsBySite returns the indexes of the live VMs for each site of a list.
func (e *EntrySelector) vmsBySite(live []briarferry.VM, names []string, list []uint16) [maxSitesPerList][]int {
	var out [maxSitesPerList][]int
	for i := range live {
		site := live[i].Name
		if e.SiteOf != nil {
			site = e.SiteOf(live[i])
		}
		for j, s := range list {
			if site == names[s] {
				out[j] = append(out[j], i)
			}
		}
	}
	return out
}

// fallbackEntries returns entries of the local region first, spread over
// failure domains. The caller's address determines the order of the VMs, so that
// callers spread evenly over them.
func (e *EntrySelector) fallbackEntries(live []briarferry.VM, caller netip.Addr) []briarferry.WeightedEntry {
	ownRegion := e.Members.Self().Region
	all := make([]int, len(live))
	for i := range all {
		all[i] = i
	}
	ranked := rankVMs(live, all, caller)
	slices.SortStableFunc(ranked, func(a, b int) int {
		return cmp.Compare(boolInt(live[a].Region != ownRegion), boolInt(live[b].Region != ownRegion))
	})
	var out []briarferry.WeightedEntry
	for _, i := range spreadFailureDomains(live, ranked) {
		weight := fallbackWeight
		if live[i].Region == ownRegion || live[ranked[0]].Region != ownRegion {
			weight = primaryWeight
		}
		out = append(out, briarferry.WeightedEntry{VM: live[i], Weight: weight})
	}
	// spreadFailureDomains may have put a VM of another region before one of this entry's
	// region.
	slices.SortStableFunc(out, func(a, b briarferry.WeightedEntry) int { return cmp.Compare(b.Weight, a.Weight) })
	return out
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// spreadFailureDomains returns the first VM of each failure domain, followed by the others.
func spreadFailureDomains(vms []briarferry.VM, ranked []int) []int {
	type domain struct{ region, name string }
	seen := map[domain]bool{}
	var out, rest []int
	for _, i := range ranked {
		d := domain{vms[i].Region, vms[i].FailureDomain}
		if seen[d] {
			rest = append(rest, i)
			continue
		}
		seen[d] = true
		out = append(out, i)
	}
	out = append(out, rest...)
	return out[:min(len(out), maxEntriesPerLookup)]
}

// rankVMs orders a subset of the VMs by rendezvous hashing of their names with the
// caller's network, so that a caller keeps its order when another VM leaves.
func rankVMs(vms []briarferry.VM, subset []int, caller netip.Addr) []int {
	bits := 56
	if caller = caller.Unmap(); caller.Is4() {
		bits = 24
	}
	network, _ := caller.Prefix(bits)
	seed := fnvOffset
	for _, c := range network.Addr().As16() {
		seed = (seed ^ uint64(c)) * fnvPrime
	}
	score := make([]uint64, len(vms))
	for _, i := range subset {
		h := seed
		for _, c := range []byte(vms[i].Name) {
			h = (h ^ uint64(c)) * fnvPrime
		}
		score[i] = mixHash(h)
	}
	slices.SortFunc(subset, func(a, b int) int {
		if c := cmp.Compare(score[b], score[a]); c != 0 {
			return c
		}
		return cmp.Compare(vms[a].Name, vms[b].Name)
	})
	return subset
}

// mixHash finalizes an FNV hash, whose upper bits differ little between names that differ
// in their last letter only.
func mixHash(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	return h
}
