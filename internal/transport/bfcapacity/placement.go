package bfcapacity

import (
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"time"

	"briarferry"
	"briarferry/internal/coordination/bfplacement"
	"briarferry/internal/transport/bfentry"
)

const sourcePlacement = "`bfplacement`"

// placementFits holds the fits of the planner and the look-up tables.
type placementFits struct {
	planTime, planMemory, idleStepTime, siteLossTime Fit
	blockSetBytes, assignmentBytes, assignmentCPU    Fit
	deltaBytes, deltaCPU                             Fit
	// lookupTablesMemory is the memory of the index and the assignment together, and
	// listLookupTime the time to find the ranked list of an address.
	indexMemory, lookupTablesMemory, listLookupTime Fit
	// entriesTime is the time to choose the entries of a look-up, and lookupTime that of
	// the whole HTTP request.
	entriesTime, lookupTime Fit
}

// columns holds the measured values by quantity, one value for each size.
type columns map[string][]float64

func (c columns) add(name string, v float64) { c[name] = append(c[name], v) }

func measurePlacement() (*placementFits, error) {
	p, x, c := &placementFits{}, []float64{}, columns{}
	for _, n := range []int{30_000, 90_000, 270_000} {
		x = append(x, float64(n))
		if err := measureBlocks(n, c); err != nil {
			return nil, err
		}
	}
	fit := func(name, unit, column string) Fit {
		return NewFit(name, unit, "block", sourcePlacement, x, c[column])
	}
	p.planTime = fit("planner, full plan", "ms", "plan")
	p.planMemory = fit("planner, memory after a plan", "MB", "memory")
	p.idleStepTime = fit("planner, step without a move", "ms", "idle")
	p.siteLossTime = fit("planner, step after a lost site", "ms", "lost")
	p.blockSetBytes = fit("block set, size", "B", "prefixes")
	p.assignmentBytes = fit("assignment, size", "B", "full")
	p.assignmentCPU = fit("assignment, encode and decode", "ms", "codec")
	p.indexMemory = fit("look-up index, memory", "MB", "index")
	p.lookupTablesMemory = fit("look-up index and assignment, memory", "MB", "table")
	p.listLookupTime = fit("ranked list by address", "ns", "find")
	var err error
	if p.deltaBytes, p.deltaCPU, err = deltaFits(); err != nil {
		return nil, err
	}
	p.entriesTime, p.lookupTime, err = lookupFits()
	return p, err
}

func measureBlocks(n int, c columns) error {
	now := time.Unix(1_767_225_600, 0)
	topo := NewTopology(n)
	var p *bfplacement.Planner
	var err error
	c.add("plan", 1e3*elapsedSeconds(func() { p, err = planOnce(topo, now) }))
	if err != nil {
		return err
	}
	// The topology is not retained, as the planner keeps neither its prefixes nor its
	// demand.
	_, memory := retainedHeap(func() any {
		planner, _ := planOnce(NewTopology(n), now)
		return planner
	})
	c.add("memory", memory/1e6)
	c.add("idle", 1e3*elapsedSeconds(func() { _, err = p.Step(now.Add(10*time.Second), topo.Net) }))
	a, err := bfplacement.NewAssignmentBuilder(p).Build(topo.Net)
	if err != nil {
		return err
	}
	measureAssignment(topo, a, c)
	lost := topo.Net
	lost.Sites = slices.Clone(lost.Sites)
	lost.Sites[5].State = bfplacement.SiteDown
	c.add("lost", 1e3*elapsedSeconds(func() { _, err = p.Step(now.Add(20*time.Second), lost) }))
	runtime.KeepAlive(topo)
	return err
}

func planOnce(topo *Topology, now time.Time) (*bfplacement.Planner, error) {
	p, err := topo.Planner()
	if err == nil {
		_, err = p.Step(now, topo.Net)
	}
	return p, err
}

func measureAssignment(topo *Topology, a *bfplacement.Assignment, c columns) {
	c.add("prefixes", float64(len(bfplacement.EncodePrefixes(topo.Blocks.Prefixes))))
	data := a.Encode()
	c.add("full", float64(len(data)))
	c.add("codec", 1e3*cpuSeconds(50*time.Millisecond, func() {
		if _, err := bfplacement.DecodeAssignment(a.Encode()); err != nil {
			panic(err)
		}
	}))
	var e bfplacement.EntrySelector
	v, index := retainedHeap(func() any {
		x, err := bfplacement.NewIndex(topo.Blocks.Prefixes)
		if err != nil {
			panic(err)
		}
		return x
	})
	_, table := retainedHeap(func() any {
		decoded, err := bfplacement.DecodeAssignment(data)
		if err != nil {
			panic(err)
		}
		if err := e.SetAssignment(decoded, v.(*bfplacement.Index)); err != nil {
			panic(err)
		}
		return &e
	})
	runtime.KeepAlive(data)
	c.add("index", index/1e6)
	c.add("table", (index+table)/1e6)
	i, n := 0, len(topo.Blocks.Prefixes)
	c.add("find", 1e9*cpuSeconds(50*time.Millisecond, func() {
		for range 1000 {
			if _, ok := e.ListFor(topo.Blocks.Prefixes[i].Addr()); !ok {
				panic("bfcapacity: no ranked list for a block's address")
			}
			i = (i + 7919) % n
		}
	})/1000)
}

// deltaFits measures deltas that give randomly chosen blocks other lists. They compress
// worse than the shifts of the simulated events.
func deltaFits() (bytes, cpu Fit, err error) {
	const lists = 900
	from := &bfplacement.Assignment{Version: 1, Sites: make([]string, targetSites), ListIndex: make([]uint16, targetBlocks)}
	for range lists {
		from.Lists = append(from.Lists, bfplacement.SiteList{Classes: 3, Sites: []uint16{1, 2, 3}})
	}
	var x, length, millis []float64
	for _, changed := range []int{300, 1500, 6000, 24_000} {
		to := *from
		to.Version, to.ListIndex = 2, slices.Clone(from.ListIndex)
		rng := rand.New(rand.NewPCG(topologySeed, uint64(changed)))
		for _, b := range rng.Perm(targetBlocks)[:changed] {
			to.ListIndex[b] = uint16(1 + rng.IntN(lists-1))
		}
		delta, err := bfplacement.EncodeDelta(from, &to)
		if err != nil {
			return bytes, cpu, err
		}
		x, length = append(x, float64(changed)), append(length, float64(len(delta)))
		millis = append(millis, 1e3*cpuSeconds(measureTime, func() {
			if _, err := from.ApplyDelta(delta); err != nil {
				panic(err)
			}
		}))
	}
	return NewFit("assignment delta, size", "B", "changed block", sourcePlacement, x, length),
		NewFit("assignment delta, apply at 270,000 blocks", "ms", "changed block", sourcePlacement, x, millis), nil
}

// fixedMembers is a membership in which the given VMs are always live. The first is the
// VM itself.
type fixedMembers []briarferry.VM

func (m fixedMembers) Self() briarferry.VM   { return m[0] }
func (m fixedMembers) Live() []briarferry.VM { return m }
func (m fixedMembers) Connected() bool       { return true }

// lookupFits measures the processor time of a look-up by the number of live VMs.
func lookupFits() (entries, lookup Fit, err error) {
	topo := NewTopology(30_000)
	p, err := topo.Planner()
	if err != nil {
		return entries, lookup, err
	}
	if _, err = p.Step(time.Unix(1_767_225_600, 0), topo.Net); err != nil {
		return entries, lookup, err
	}
	a, err := bfplacement.NewAssignmentBuilder(p).Build(topo.Net)
	if err != nil {
		return entries, lookup, err
	}
	x, err := bfplacement.NewIndex(topo.Blocks.Prefixes)
	if err != nil {
		return entries, lookup, err
	}
	var sizes, entriesTimes, requestTimes []float64
	for _, perSite := range []int{1, 3, 6, 10} {
		var vms fixedMembers
		for i := range perSite * targetSites {
			s := topo.Net.Sites[i%targetSites]
			// The VM's name is the site's, as the VM type has no field for the site.
			vms = append(vms, briarferry.VM{Name: s.Name, Region: topo.Net.Regions[s.Region].Name, FailureDomain: s.FailureDomain})
		}
		e := &bfplacement.EntrySelector{Members: vms}
		if err = e.SetAssignment(a, x); err != nil {
			return entries, lookup, err
		}
		sizes = append(sizes, float64(len(vms)))
		prefixes, i := topo.Blocks.Prefixes, 0
		entriesTimes = append(entriesTimes, 1e6*cpuSeconds(measureTime, func() {
			e.Entries("service-0001", prefixes[i].Addr())
			i = (i + 7919) % len(prefixes)
		}))
		requestTimes = append(requestTimes, 1e6*lookupSeconds(&bfentry.Entry{Config: bfentry.FixedConfig{Config: newConfig(10)}, Members: vms, Placement: e}))
	}
	return NewFit("entries of a look-up", "µs", "VM", sourcePlacement, sizes, entriesTimes),
		NewFit("GET /v1/lookup without a network", "µs", "VM", "`bfentry`, `bfplacement`", sizes, requestTimes), nil
}

func lookupSeconds(e *bfentry.Entry) float64 {
	h := e.Handler()
	return cpuSeconds(measureTime, func() {
		r := httptest.NewRequest(http.MethodGet, "/v1/lookup?service=service-0001", nil)
		r.RemoteAddr = "11.0.7.9:4711"
		rec := httptest.NewRecorder()
		h.ServeHTTP(rec, r)
		if rec.Code != http.StatusOK {
			panic(rec.Body.String())
		}
	})
}
