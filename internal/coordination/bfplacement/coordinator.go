package bfplacement

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"briarferry"
)

const (
	tickInterval = 200 * time.Millisecond
	// reportCollectionTime is how long a new leader waits for the reports of all live
	// entries, each of which sends one per second. maxAdoptionWait bounds the wait for
	// the assignment that it adopts.
	reportCollectionTime = 2500 * time.Millisecond
	maxAdoptionWait      = 5 * time.Second
	// demandInterval is the interval at which each entry gets the demand of the blocks. With
	// maxPlannedBlocks blocks of three classes a copy has about 40 KB.
	demandInterval = 10 * time.Second
	// maxKeptVersions bounds the assignments that a delta can start from.
	maxKeptVersions = 8
)

type (
	// Coordinator runs the planner while its VM is the leader. The exported fields are
	// set before use.
	Coordinator struct {
		// Term returns the leader's term, or false if this VM is not the leader.
		Term    func() (uint64, bool)
		Config  func() *briarferry.Config
		Members briarferry.Members
		// State returns the state of the site of a live VM.
		State func(vm briarferry.VM) SiteState

		mu        sync.Mutex
		term      uint64
		termStart time.Time
		reports   map[string]*receivedReport
		// adopted is the newest assignment that an entry uploaded or, after the regions or
		// classes changed, the last one that this VM published.
		adopted    *adoptedAssignment
		planner    *Planner
		dimensions dimensions
		blocks     []plannedBlock
		net        Network
		// demandSentAt is when each site last got the demand of the blocks.
		demandSentAt map[string]time.Time
		// regionCapacity is the last known capacity of each region.
		regionCapacity map[string]Rate
		lastStep       time.Time
		plan           Plan
		stepTime       time.Duration
		published      publishedState
	}

	// receivedReport is the last report of an entry.
	receivedReport struct {
		Report
		measuredAt time.Time
	}

	adoptedAssignment struct {
		assignment *Assignment
		blockSet   *BlockSet
		// demand is nil if it is unknown or belongs to another block set.
		demand *BlockDemand
	}

	// dimensions are the properties that can't change during a planner's life.
	dimensions struct {
		regions   []string
		urgencies []int
	}

	// publishedState is what is distributed to the entries.
	publishedState struct {
		builder         *AssignmentBuilder
		demandUpdatedAt time.Time
		blockSet        *BlockSet
		// versions holds the last assignments, newest last.
		versions []*Assignment
		encoded  []byte
		deltas   map[uint64][]byte
	}
)

// Run calls Tick periodically until ctx ends.
func (c *Coordinator) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		_ = c.Tick(time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Tick runs a planning step when one is due: once per shift interval, and at once
// when a site comes up, starts to drain or goes down.
func (c *Coordinator) Tick(now time.Time) error {
	term, leads := c.Term()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !leads {
		c.reset()
		return nil
	}
	if term != c.term {
		c.reset()
		c.term, c.termStart = term, now
	}
	cfg := c.Config()
	if cfg == nil {
		return nil
	}
	if c.planner != nil && !c.dimensions.equal(dimensionsOf(cfg)) {
		c.adopted, c.planner = &adoptedAssignment{assignment: c.published.newestAssignment(), blockSet: c.published.blockSet}, nil
	}
	if c.planner == nil && !c.readyToPlan(now) {
		return nil
	}
	changed := c.updateNetwork(cfg, now)
	if c.planner == nil {
		if err := c.startPlanner(cfg, now); err != nil {
			return err
		}
		changed = true
	}
	if !changed && now.Sub(c.lastStep) < cfg.Limits.ShiftInterval.Std() {
		return nil
	}
	return c.runStep(cfg, now)
}

// reset discards all state, so that a VM that becomes leader again starts from what
// other leaders decided in the meantime.
func (c *Coordinator) reset() {
	c.term, c.planner, c.adopted, c.blocks = 0, nil, nil, nil
	c.reports, c.regionCapacity = map[string]*receivedReport{}, map[string]Rate{}
	c.demandSentAt = map[string]time.Time{}
	c.net, c.plan, c.published = Network{}, Plan{}, publishedState{}
}

// readyToPlan reports whether planning may start: the newest reported assignment is
// adopted, and all entries have reported or reportCollectionTime has passed. It may also
// start after maxAdoptionWait, or if the dimensions changed before an assignment was
// published, so that there is none to adopt.
func (c *Coordinator) readyToPlan(now time.Time) bool {
	elapsed := now.Sub(c.termStart)
	if c.adopted != nil && c.adopted.assignment == nil || elapsed >= maxAdoptionWait {
		return true
	}
	return c.newestReportedVersion() <= c.adoptedVersion() && (elapsed >= reportCollectionTime || c.allEntriesReported())
}

func (c *Coordinator) allEntriesReported() bool {
	for _, vm := range c.Members.Live() {
		if c.reports[vm.Name] == nil {
			return false
		}
	}
	return true
}

func (c *Coordinator) newestReportedVersion() uint64 {
	newest := uint64(0)
	for _, r := range c.reports {
		newest = max(newest, r.Version)
	}
	return newest
}

func (c *Coordinator) adoptedVersion() uint64 {
	if c.adopted == nil || c.adopted.assignment == nil {
		return 0
	}
	return c.adopted.assignment.Version
}

func dimensionsOf(cfg *briarferry.Config) dimensions {
	var d dimensions
	for _, r := range cfg.Regions {
		d.regions = append(d.regions, r.Name)
	}
	for _, class := range cfg.Classes {
		d.urgencies = append(d.urgencies, class.Urgency)
	}
	slices.Sort(d.urgencies)
	return d
}

func (d dimensions) equal(other dimensions) bool {
	return slices.Equal(d.regions, other.regions) && slices.Equal(d.urgencies, other.urgencies)
}

// startPlanner creates the planner from the adopted assignment. Without one it starts
// with no blocks, and updateBlocks places them where their load is now.
func (c *Coordinator) startPlanner(cfg *briarferry.Config, now time.Time) error {
	c.dimensions = dimensionsOf(cfg)
	services := make([]Service, len(c.dimensions.urgencies))
	for i, u := range c.dimensions.urgencies {
		services[i] = Service{Urgency: u, BitsPerRequest: bitsPerSlot}
	}
	p, err := NewPlanner(limitsOf(cfg), services, Blocks{}, len(c.dimensions.regions))
	if err != nil {
		return err
	}
	p.StartTerm(c.term)
	p.AdvanceVersionPast(max(c.newestReportedVersion(), c.adoptedVersion()))
	var site []int16
	var classes []int8
	c.blocks = nil
	if c.adopted != nil && c.adopted.assignment != nil {
		if site, classes, err = c.adoptBlocks(now); err != nil {
			return err
		}
	}
	c.planner, c.published = p, publishedState{}
	return c.setBlocks(cfg, site, classes)
}

// adoptBlocks appends the blocks of the adopted assignment to c.blocks and returns their
// sites and numbers of served classes. It matches sites by name and skips blocks whose
// home region no longer exists.
func (c *Coordinator) adoptBlocks(now time.Time) ([]int16, []int8, error) {
	a, blockSet := c.adopted.assignment, c.adopted.blockSet
	prefixes, err := DecodePrefixes(blockSet.Prefixes)
	if err != nil {
		return nil, nil, err
	}
	if len(prefixes) != len(a.ListIndex) || len(blockSet.HomeRegions) != len(a.ListIndex) {
		return nil, nil, fmt.Errorf("bfplacement: assignment %d belongs to another block set", a.Version)
	}
	var sites []int16
	var classes []int8
	for i, p := range prefixes {
		homeRegion := -1
		if region := int(blockSet.HomeRegions[i]); region < len(blockSet.Regions) {
			homeRegion = slices.Index(c.dimensions.regions, blockSet.Regions[region])
		}
		if homeRegion < 0 {
			continue
		}
		site, l := int16(unplaced), a.Lists[a.ListIndex[i]]
		if l.Classes > 0 && len(l.Sites) > 0 {
			site = int16(c.siteIndex(a.Sites[l.Sites[0]]))
		}
		served := int8(0)
		if site != unplaced {
			served = int8(min(int(l.Classes), len(c.dimensions.urgencies)))
		}
		sites, classes = append(sites, site), append(classes, served)
		c.blocks = append(c.blocks, plannedBlock{prefix: p, homeRegion: homeRegion, lastUsed: now, lastHigh: now, demand: c.adopted.blockDemand(i, len(c.dimensions.urgencies))})
	}
	return sites, classes, nil
}

// blockDemand returns the demand of the i-th block by class. It is zero if it is unknown.
func (a *adoptedAssignment) blockDemand(i, classes int) []Rate {
	out := make([]Rate, classes)
	if a.demand == nil || a.demand.Classes != classes || len(a.demand.Rates) < (i+1)*classes {
		return out
	}
	copy(out, a.demand.Rates[i*classes:])
	return out
}

func limitsOf(cfg *briarferry.Config) Limits {
	l := DefaultLimits()
	l.ShiftCapShare = cfg.Limits.ShiftCapShare
	l.ShiftInterval, l.LookupTTL = cfg.Limits.ShiftInterval.Std(), cfg.Limits.LookupTTL.Std()
	return l
}

func (c *Coordinator) runStep(cfg *briarferry.Config, now time.Time) error {
	start := time.Now()
	c.lastStep = now
	c.planner.limits = limitsOf(cfg)
	if err := c.updateBlocks(cfg, now); err != nil {
		return err
	}
	c.planner.FailOver(c.net)
	plan, err := c.planner.Step(now, c.net)
	if err != nil {
		return err
	}
	c.plan = plan
	err = c.publish()
	c.stepTime = time.Since(start)
	return err
}

// publish builds and encodes the planner's assignment unless the last one is still current.
func (c *Coordinator) publish() error {
	ps := &c.published
	if last := ps.newestAssignment(); last != nil && last.Version >= c.planner.version && last.BlockSetChecksum == c.planner.blockSetChecksum {
		return nil
	}
	if ps.builder == nil {
		ps.builder = NewAssignmentBuilder(c.planner)
	}
	a, err := ps.builder.Build(c.net)
	if err != nil {
		return err
	}
	ps.versions = append(ps.versions, a)
	if len(ps.versions) > maxKeptVersions {
		ps.versions = ps.versions[1:]
	}
	ps.encoded, ps.deltas = a.Encode(), map[uint64][]byte{}
	return nil
}

func (ps *publishedState) newestAssignment() *Assignment {
	if len(ps.versions) == 0 {
		return nil
	}
	return ps.versions[len(ps.versions)-1]
}

// Exchange stores an entry's report and returns the update that the entry needs.
func (c *Coordinator) Exchange(now time.Time, r Report) (Reply, error) {
	term, leads := c.Term()
	if !leads {
		return Reply{}, briarferry.ErrNotLeader
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if term != c.term {
		c.reset()
		c.term, c.termStart = term, now
	}
	c.storeReport(now, r)
	if c.planner == nil {
		newer := r.Version > 0 && r.Version >= c.newestReportedVersion() && r.Version > c.adoptedVersion()
		return Reply{Upload: newer}, nil
	}
	reply := c.published.replyTo(r)
	if now.Sub(c.demandSentAt[r.Site]) >= demandInterval {
		c.demandSentAt[r.Site], reply.Demand = now, c.demandSnapshot()
	}
	return reply, nil
}

// demandSnapshot returns the demand of all blocks.
func (c *Coordinator) demandSnapshot() *BlockDemand {
	d := &BlockDemand{BlockSetChecksum: c.planner.blockSetChecksum, Classes: len(c.dimensions.urgencies)}
	for _, b := range c.blocks {
		d.Rates = append(d.Rates, b.demand...)
	}
	return d
}

func (c *Coordinator) storeReport(now time.Time, r Report) {
	if r.Assignment != nil && r.BlockSet != nil && c.planner == nil {
		if a, err := DecodeAssignment(r.Assignment); err == nil && a.Version > c.adoptedVersion() {
			c.adopted = &adoptedAssignment{assignment: a, blockSet: r.BlockSet}
			if r.Demand != nil && r.Demand.BlockSetChecksum == a.BlockSetChecksum {
				c.adopted.demand = r.Demand
			}
		}
	}
	r.Assignment, r.BlockSet, r.Demand = nil, nil, nil
	c.reports[r.Site] = &receivedReport{r, now.Add(-time.Duration(r.AgeMillis) * time.Millisecond)}
}

// replyTo returns an empty reply if the entry needs no update, a delta if its assignment
// is among the kept versions and has the same blocks, and the full assignment otherwise.
func (ps *publishedState) replyTo(r Report) Reply {
	a := ps.newestAssignment()
	if a == nil || r.Version > a.Version || r.Version == a.Version && r.BlockSetChecksum == a.BlockSetChecksum && !r.WantFull {
		return Reply{}
	}
	if r.BlockSetChecksum == a.BlockSetChecksum && !r.WantFull {
		if d := ps.deltaFrom(r.Version); d != nil {
			return Reply{Version: a.Version, Delta: d}
		}
	}
	reply := Reply{Version: a.Version, Full: ps.encoded}
	if r.BlockSetChecksum != a.BlockSetChecksum || r.WantFull {
		reply.BlockSet = ps.blockSet
	}
	return reply
}

func (ps *publishedState) deltaFrom(from uint64) []byte {
	if d, ok := ps.deltas[from]; ok {
		return d
	}
	for _, old := range ps.versions {
		if old.Version != from {
			continue
		}
		if d, err := EncodeDelta(old, ps.newestAssignment()); err == nil {
			ps.deltas[from] = d
			return d
		}
	}
	return nil
}
