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

const fromPlacement = "`bfplacement`"

// placementFits holds the measured lines of the planner and the look-up tables.
type placementFits struct {
	plan, planMemory, idle, lost        Fit
	prefixBytes, fullBytes, fullCPU     Fit
	deltaBytes, deltaCPU                Fit
	indexMemory, tableMemory, blockCost Fit
	entriesCPU, lookupCPU               Fit
}

// columns collects one row of measurements for each size.
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
		return NewFit(name, unit, "block", fromPlacement, x, c[column])
	}
	p.plan = fit("planner, full plan", "ms", "plan")
	p.planMemory = fit("planner, memory after a plan", "MB", "memory")
	p.idle = fit("planner, step without a move", "ms", "idle")
	p.lost = fit("planner, step after a lost site", "ms", "lost")
	p.prefixBytes = fit("block set, size", "B", "prefixes")
	p.fullBytes = fit("assignment, size", "B", "full")
	p.fullCPU = fit("assignment, encode and decode", "ms", "codec")
	p.indexMemory = fit("look-up index, memory", "MB", "index")
	p.tableMemory = fit("look-up index and assignment, memory", "MB", "table")
	p.blockCost = fit("ranked list by address", "ns", "find")
	var err error
	if p.deltaBytes, p.deltaCPU, err = deltaFits(); err != nil {
		return nil, err
	}
	p.entriesCPU, p.lookupCPU, err = lookupFits()
	return p, err
}

func measureBlocks(n int, c columns) error {
	now := time.Unix(1_767_225_600, 0)
	w := NewWorld(n)
	var p *bfplacement.Planner
	var err error
	c.add("plan", 1e3*wall(func() { p, err = firstPlan(w, now) }))
	if err != nil {
		return err
	}
	// The world is dropped here, as the planner does not keep its prefixes and demand.
	_, memory := heap(func() any {
		kept, _ := firstPlan(NewWorld(n), now)
		return kept
	})
	c.add("memory", memory/1e6)
	c.add("idle", 1e3*wall(func() { _, err = p.Step(now.Add(10*time.Second), w.Net) }))
	a, err := bfplacement.NewAssignmentBuilder(p).Build(w.Net)
	if err != nil {
		return err
	}
	measureAssignment(w, a, c)
	lost := w.Net
	lost.Sites = slices.Clone(lost.Sites)
	lost.Sites[5].State = bfplacement.SiteDown
	c.add("lost", 1e3*wall(func() { _, err = p.Step(now.Add(20*time.Second), lost) }))
	runtime.KeepAlive(w)
	return err
}

func firstPlan(w *World, now time.Time) (*bfplacement.Planner, error) {
	p, err := w.Planner()
	if err == nil {
		_, err = p.Step(now, w.Net)
	}
	return p, err
}

func measureAssignment(w *World, a *bfplacement.Assignment, c columns) {
	c.add("prefixes", float64(len(bfplacement.EncodePrefixes(w.Blocks.Prefixes))))
	data := a.Encode()
	c.add("full", float64(len(data)))
	c.add("codec", 1e3*cost(50*time.Millisecond, func() {
		if _, err := bfplacement.DecodeAssignment(a.Encode()); err != nil {
			panic(err)
		}
	}))
	var e bfplacement.EntrySelector
	v, index := heap(func() any {
		x, err := bfplacement.NewIndex(w.Blocks.Prefixes)
		if err != nil {
			panic(err)
		}
		return x
	})
	_, table := heap(func() any {
		own, err := bfplacement.DecodeAssignment(data)
		if err != nil {
			panic(err)
		}
		if err := e.SetAssignment(own, v.(*bfplacement.Index)); err != nil {
			panic(err)
		}
		return &e
	})
	runtime.KeepAlive(data)
	c.add("index", index/1e6)
	c.add("table", (index+table)/1e6)
	i, n := 0, len(w.Blocks.Prefixes)
	c.add("find", 1e9*cost(50*time.Millisecond, func() {
		for range 1000 {
			if _, ok := e.ListFor(w.Blocks.Prefixes[i].Addr()); !ok {
				panic("bfcapacity: no list")
			}
			i = (i + 7919) % n
		}
	})/1000)
}

// deltaFits measures deltas that change the lists of scattered blocks at random, which
// compresses worse than the shifts of the simulated events.
func deltaFits() (bytes, cpu Fit, err error) {
	const lists = 900
	from := &bfplacement.Assignment{Version: 1, Sites: make([]string, targetSites), ListIndex: make([]uint16, targetBlocks)}
	for range lists {
		from.Lists = append(from.Lists, bfplacement.SiteList{Classes: 3, Sites: []uint16{1, 2, 3}})
	}
	var x, length, seconds []float64
	for _, changed := range []int{300, 1500, 6000, 24_000} {
		to := *from
		to.Version, to.ListIndex = 2, slices.Clone(from.ListIndex)
		rng := rand.New(rand.NewPCG(worldSeed, uint64(changed)))
		for _, b := range rng.Perm(targetBlocks)[:changed] {
			to.ListIndex[b] = uint16(1 + rng.IntN(lists-1))
		}
		delta, err := bfplacement.EncodeDelta(from, &to)
		if err != nil {
			return bytes, cpu, err
		}
		x, length = append(x, float64(changed)), append(length, float64(len(delta)))
		seconds = append(seconds, 1e3*cost(codecTime, func() {
			if _, err := from.ApplyDelta(delta); err != nil {
				panic(err)
			}
		}))
	}
	return NewFit("assignment delta, size", "B", "changed block", fromPlacement, x, length),
		NewFit("assignment delta, apply at 270,000 blocks", "ms", "changed block", fromPlacement, x, seconds), nil
}

// fixedMembers is a membership of the given VMs.
type fixedMembers []briarferry.VM

func (m fixedMembers) Self() briarferry.VM   { return m[0] }
func (m fixedMembers) Live() []briarferry.VM { return m }
func (m fixedMembers) Connected() bool       { return true }

// lookupFits measures a look-up's answer against the number of live VMs.
func lookupFits() (entries, lookup Fit, err error) {
	w := NewWorld(30_000)
	p, err := w.Planner()
	if err != nil {
		return entries, lookup, err
	}
	if _, err = p.Step(time.Unix(1_767_225_600, 0), w.Net); err != nil {
		return entries, lookup, err
	}
	a, err := bfplacement.NewAssignmentBuilder(p).Build(w.Net)
	if err != nil {
		return entries, lookup, err
	}
	x, err := bfplacement.NewIndex(w.Blocks.Prefixes)
	if err != nil {
		return entries, lookup, err
	}
	var sizes, own, whole []float64
	for _, perSite := range []int{1, 3, 6, 10} {
		var vms fixedMembers
		for i := range perSite * targetSites {
			s := w.Net.Sites[i%targetSites]
			// The name carries the site, as the VM type has no field for it.
			vms = append(vms, briarferry.VM{Name: s.Name, Region: w.Net.Regions[s.Region].Name, FailureDomain: s.FailureDomain})
		}
		e := &bfplacement.EntrySelector{Members: vms}
		if err = e.SetAssignment(a, x); err != nil {
			return entries, lookup, err
		}
		sizes = append(sizes, float64(len(vms)))
		client, i := w.Blocks.Prefixes, 0
		own = append(own, 1e6*cost(codecTime, func() {
			e.Entries("service-0001", client[i].Addr())
			i = (i + 7919) % len(client)
		}))
		whole = append(whole, 1e6*httpCost(&bfentry.Entry{Config: bfentry.FixedConfig{Config: newConfig(10)}, Members: vms, Placement: e}))
	}
	return NewFit("entries of a look-up", "µs", "VM", fromPlacement, sizes, own),
		NewFit("GET /v1/lookup without a network", "µs", "VM", "`bfentry`, `bfplacement`", sizes, whole), nil
}

func httpCost(e *bfentry.Entry) float64 {
	h := e.Handler()
	return cost(codecTime, func() {
		r := httptest.NewRequest(http.MethodGet, "/v1/lookup?service=service-0001", nil)
		r.RemoteAddr = "11.0.7.9:4711"
		rec := httptest.NewRecorder()
		h.ServeHTTP(rec, r)
		if rec.Code != http.StatusOK {
			panic(rec.Body.String())
		}
	})
}
