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
	// reportCollectionTime is how long a new leader waits for the reports of all live entries, of
	// which each sends one a second; learnAtMost bounds the wait for the assignment
	// that it adopts.
	reportCollectionTime = 2500 * time.Millisecond
	maxAdoptionWait      = 5 * time.Second
	// maxKeptVersions is the number of assignments that deltas can start from.
	maxKeptVersions = 8
)

type (
	// Coordinator runs the planner while its VM leads. The exported fields are set
	// before use.
	Coordinator struct {
		// Term returns the leader's term, or false where this VM doesn't lead.
		Term    func() (uint64, bool)
		Config  func() *briarferry.Config
		Members briarferry.Members
		// State returns the state of the site of a live VM.
		State func(vm briarferry.VM) SiteState

		mu        sync.Mutex
		term      uint64
		termStart time.Time
		reports   map[string]*receivedReport
		// adoptedAssignment is the newest assignment that an entry sent.
		adopted    *adoptedAssignment
		planner    *Planner
		dimensions dimensions
		blocks     []plannedBlock
		net        Network
		// regionCapacity is the last known one of each region.
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
	}

	// dimensions is what can't change during a planner's life.
	dimensions struct {
		regions   []string
		urgencies []int
	}

	// publishedState is what entries are sent.
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

// Run plans until ctx ends.
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

// Tick makes a step where one is due: each shift interval, and at once when a site
// comes up, starts to drain or is lost.
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
		c.adopted, c.planner = &adoptedAssignment{c.published.newestAssignment(), c.published.blockSet}, nil
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

// reset forgets everything, so that a VM that leads again learns what others decided.
func (c *Coordinator) reset() {
	c.term, c.planner, c.adopted, c.blocks = 0, nil, nil, nil
	c.reports, c.regionCapacity = map[string]*receivedReport{}, map[string]Rate{}
	c.net, c.plan, c.published = Network{}, Plan{}, publishedState{}
}

// readyToPlan tells whether the reports since the start of the term suffice.
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

// startPlanner starts the planner from the adopted assignment, or from where load is now.
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

// adoptBlocks reads the blocks of the adopted assignment; sites are matched by name.
func (c *Coordinator) adoptBlocks(now time.Time) ([]int16, []int8, error) {
	a, blockSet := c.adopted.assignment, c.adopted.blockSet
	prefixes, err := DecodePrefixes(blockSet.Prefixes)
	if err != nil {
		return nil, nil, err
	}
	if len(prefixes) != len(a.ListIndex) || len(blockSet.HomeRegions) != len(a.ListIndex) {
		return nil, nil, fmt.Errorf("bfplacement: assignment %d is about another block set", a.Version)
	}
	var site []int16
	var level []int8
	for i, p := range prefixes {
		home := -1
		if at := int(blockSet.HomeRegions[i]); at < len(blockSet.Regions) {
			home = slices.Index(c.dimensions.regions, blockSet.Regions[at])
		}
		if home < 0 {
			continue
		}
		at, l := int16(unplaced), a.Lists[a.ListIndex[i]]
		if l.Classes > 0 && len(l.Sites) > 0 {
			at = int16(c.siteIndex(a.Sites[l.Sites[0]]))
		}
		classes := int8(0)
		if at != unplaced {
			classes = int8(min(int(l.Classes), len(c.dimensions.urgencies)))
		}
		site, level = append(site, at), append(level, classes)
		c.blocks = append(c.blocks, plannedBlock{prefix: p, homeRegion: home, lastUsed: now, lastHigh: now, demand: make([]Rate, len(c.dimensions.urgencies))})
	}
	return site, level, nil
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

// publish keeps the planner's assignment for distribution where it is a new one.
func (c *Coordinator) publish() error {
	o := &c.published
	if last := o.newestAssignment(); last != nil && last.Version >= c.planner.version && last.BlockSetChecksum == c.planner.blockSetChecksum {
		return nil
	}
	if o.builder == nil {
		o.builder = NewAssignmentBuilder(c.planner)
	}
	a, err := o.builder.Build(c.net)
	if err != nil {
		return err
	}
	o.versions = append(o.versions, a)
	if len(o.versions) > maxKeptVersions {
		o.versions = o.versions[1:]
	}
	o.encoded, o.deltas = a.Encode(), map[uint64][]byte{}
	return nil
}

func (o *publishedState) newestAssignment() *Assignment {
	if len(o.versions) == 0 {
		return nil
	}
	return o.versions[len(o.versions)-1]
}

// Exchange takes an entry's report and returns what the entry lacks.
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
	return c.published.replyTo(r), nil
}

func (c *Coordinator) storeReport(now time.Time, r Report) {
	if r.Assignment != nil && r.BlockSet != nil && c.planner == nil {
		if a, err := DecodeAssignment(r.Assignment); err == nil && a.Version > c.adoptedVersion() {
			c.adopted = &adoptedAssignment{a, r.BlockSet}
		}
	}
	r.Assignment, r.BlockSet = nil, nil
	c.reports[r.Site] = &receivedReport{r, now.Add(-time.Duration(r.AgeMillis) * time.Millisecond)}
}

// replyTo sends a delta where the entry has a kept assignment of the same blocks, and
// the whole one otherwise.
func (o *publishedState) replyTo(r Report) Reply {
	a := o.newestAssignment()
	if a == nil || r.Version > a.Version || r.Version == a.Version && r.BlockSetChecksum == a.BlockSetChecksum && !r.WantFull {
		return Reply{}
	}
	if r.BlockSetChecksum == a.BlockSetChecksum && !r.WantFull {
		if d := o.deltaFrom(r.Version); d != nil {
			return Reply{Version: a.Version, Delta: d}
		}
	}
	reply := Reply{Version: a.Version, Full: o.encoded}
	if r.BlockSetChecksum != a.BlockSetChecksum || r.WantFull {
		reply.BlockSet = o.blockSet
	}
	return reply
}

func (o *publishedState) deltaFrom(from uint64) []byte {
	if d, ok := o.deltas[from]; ok {
		return d
	}
	for _, old := range o.versions {
		if old.Version != from {
			continue
		}
		if d, err := EncodeDelta(old, o.newestAssignment()); err == nil {
			o.deltas[from] = d
			return d
		}
	}
	return nil
}
