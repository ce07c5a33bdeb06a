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
	// learnFor is how long a new leader waits for the reports of all live entries, of
	// which each sends one a second; learnAtMost bounds the wait for the assignment
	// that it adopts.
	learnFor    = 2500 * time.Millisecond
	learnAtMost = 5 * time.Second
	// keepVersions is the number of assignments that deltas can start from.
	keepVersions = 8
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

		mu       sync.Mutex
		term     uint64
		since    time.Time
		received map[string]*received
		// adopted is the newest assignment that an entry sent.
		adopted *adopted
		planner *Planner
		shape   shape
		blocks  []block
		net     Network
		// capacity is the last known one of each region.
		capacity map[string]Rate
		lastStep time.Time
		plan     Plan
		took     time.Duration
		output   output
	}

	// received is the last report of an entry.
	received struct {
		Report
		at time.Time
	}

	adopted struct {
		assignment *Assignment
		set        *BlockSet
	}

	// shape is what can't change during a planner's life.
	shape struct {
		regions   []string
		urgencies []int
	}

	// output is what entries are sent.
	output struct {
		publisher  *AssignmentBuilder
		measuredAt time.Time
		set        *BlockSet
		// versions holds the last assignments, newest last.
		versions []*Assignment
		full     []byte
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
		c.stop()
		return nil
	}
	if term != c.term {
		c.stop()
		c.term, c.since = term, now
	}
	cfg := c.Config()
	if cfg == nil {
		return nil
	}
	if c.planner != nil && !c.shape.equal(shapeOf(cfg)) {
		c.adopted, c.planner = &adopted{c.output.newest(), c.output.set}, nil
	}
	if c.planner == nil && !c.hasLearned(now) {
		return nil
	}
	changed := c.updateNetwork(cfg, now)
	if c.planner == nil {
		if err := c.begin(cfg, now); err != nil {
			return err
		}
		changed = true
	}
	if !changed && now.Sub(c.lastStep) < cfg.Limits.ShiftInterval.Std() {
		return nil
	}
	return c.step(cfg, now)
}

// stop forgets everything, so that a VM that leads again learns what others decided.
func (c *Coordinator) stop() {
	c.term, c.planner, c.adopted, c.blocks = 0, nil, nil, nil
	c.received, c.capacity = map[string]*received{}, map[string]Rate{}
	c.net, c.plan, c.output = Network{}, Plan{}, output{}
}

// hasLearned tells whether the reports since the start of the term suffice.
func (c *Coordinator) hasLearned(now time.Time) bool {
	passed := now.Sub(c.since)
	if c.adopted != nil && c.adopted.assignment == nil || passed >= learnAtMost {
		return true
	}
	return c.newestKnown() <= c.adoptedVersion() && (passed >= learnFor || c.allReported())
}

func (c *Coordinator) allReported() bool {
	for _, vm := range c.Members.Live() {
		if c.received[vm.Name] == nil {
			return false
		}
	}
	return true
}

func (c *Coordinator) newestKnown() uint64 {
	newest := uint64(0)
	for _, r := range c.received {
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

func shapeOf(cfg *briarferry.Config) shape {
	var s shape
	for _, r := range cfg.Regions {
		s.regions = append(s.regions, r.Name)
	}
	for _, class := range cfg.Classes {
		s.urgencies = append(s.urgencies, class.Urgency)
	}
	slices.Sort(s.urgencies)
	return s
}

func (s shape) equal(o shape) bool {
	return slices.Equal(s.regions, o.regions) && slices.Equal(s.urgencies, o.urgencies)
}

// begin starts the planner from the adopted assignment, or from where load is now.
func (c *Coordinator) begin(cfg *briarferry.Config, now time.Time) error {
	c.shape = shapeOf(cfg)
	services := make([]Service, len(c.shape.urgencies))
	for i, u := range c.shape.urgencies {
		services[i] = Service{Urgency: u, BitsPerRequest: bitsPerSlot}
	}
	p, err := NewPlanner(limitsOf(cfg), services, Blocks{}, len(c.shape.regions))
	if err != nil {
		return err
	}
	p.StartTerm(c.term)
	p.AdvanceVersionPast(max(c.newestKnown(), c.adoptedVersion()))
	var site []int16
	var level []int8
	c.blocks = nil
	if c.adopted != nil && c.adopted.assignment != nil {
		if site, level, err = c.takeBlocks(now); err != nil {
			return err
		}
	}
	c.planner, c.output = p, output{}
	return c.setBlocks(cfg, site, level)
}

// takeBlocks reads the blocks of the adopted assignment; sites are matched by name.
func (c *Coordinator) takeBlocks(now time.Time) ([]int16, []int8, error) {
	a, set := c.adopted.assignment, c.adopted.set
	prefixes, err := DecodePrefixes(set.Prefixes)
	if err != nil {
		return nil, nil, err
	}
	if len(prefixes) != len(a.ListIndex) || len(set.HomeRegions) != len(a.ListIndex) {
		return nil, nil, fmt.Errorf("bfplacement: assignment %d is about another block set", a.Version)
	}
	var site []int16
	var level []int8
	for i, p := range prefixes {
		home := -1
		if at := int(set.HomeRegions[i]); at < len(set.Regions) {
			home = slices.Index(c.shape.regions, set.Regions[at])
		}
		if home < 0 {
			continue
		}
		at, l := int16(unplaced), a.Lists[a.ListIndex[i]]
		if l.Classes > 0 && len(l.Sites) > 0 {
			at = int16(c.siteNumber(a.Sites[l.Sites[0]]))
		}
		classes := int8(0)
		if at != unplaced {
			classes = int8(min(int(l.Classes), len(c.shape.urgencies)))
		}
		site, level = append(site, at), append(level, classes)
		c.blocks = append(c.blocks, block{prefix: p, home: home, used: now, high: now, demand: make([]Rate, len(c.shape.urgencies))})
	}
	return site, level, nil
}

func limitsOf(cfg *briarferry.Config) Limits {
	l := DefaultLimits()
	l.ShiftCapShare = cfg.Limits.ShiftCapShare
	l.ShiftInterval, l.LookupTTL = cfg.Limits.ShiftInterval.Std(), cfg.Limits.LookupTTL.Std()
	return l
}

func (c *Coordinator) step(cfg *briarferry.Config, now time.Time) error {
	start := time.Now()
	c.lastStep = now
	c.planner.limits = limitsOf(cfg)
	if err := c.measure(cfg, now); err != nil {
		return err
	}
	c.planner.FailOver(c.net)
	plan, err := c.planner.Step(now, c.net)
	if err != nil {
		return err
	}
	c.plan = plan
	err = c.publish()
	c.took = time.Since(start)
	return err
}

// publish keeps the planner's assignment for distribution where it is a new one.
func (c *Coordinator) publish() error {
	o := &c.output
	if last := o.newest(); last != nil && last.Version >= c.planner.version && last.BlockSetChecksum == c.planner.blockSet {
		return nil
	}
	if o.publisher == nil {
		o.publisher = NewAssignmentBuilder(c.planner)
	}
	a, err := o.publisher.Build(c.net)
	if err != nil {
		return err
	}
	o.versions = append(o.versions, a)
	if len(o.versions) > keepVersions {
		o.versions = o.versions[1:]
	}
	o.full, o.deltas = a.Encode(), map[uint64][]byte{}
	return nil
}

func (o *output) newest() *Assignment {
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
		c.stop()
		c.term, c.since = term, now
	}
	c.take(now, r)
	if c.planner == nil {
		newer := r.Version > 0 && r.Version >= c.newestKnown() && r.Version > c.adoptedVersion()
		return Reply{Upload: newer}, nil
	}
	return c.output.reply(r), nil
}

func (c *Coordinator) take(now time.Time, r Report) {
	if r.Assignment != nil && r.BlockSet != nil && c.planner == nil {
		if a, err := DecodeAssignment(r.Assignment); err == nil && a.Version > c.adoptedVersion() {
			c.adopted = &adopted{a, r.BlockSet}
		}
	}
	r.Assignment, r.BlockSet = nil, nil
	c.received[r.Site] = &received{r, now.Add(-time.Duration(r.AgeMillis) * time.Millisecond)}
}

// reply sends a delta where the entry has a kept assignment of the same blocks, and
// the whole one otherwise.
func (o *output) reply(r Report) Reply {
	a := o.newest()
	if a == nil || r.Version > a.Version || r.Version == a.Version && r.BlockSetChecksum == a.BlockSetChecksum && !r.WantFull {
		return Reply{}
	}
	if r.BlockSetChecksum == a.BlockSetChecksum && !r.WantFull {
		if d := o.delta(r.Version); d != nil {
			return Reply{Version: a.Version, Delta: d}
		}
	}
	reply := Reply{Version: a.Version, Full: o.full}
	if r.BlockSetChecksum != a.BlockSetChecksum || r.WantFull {
		reply.BlockSet = o.set
	}
	return reply
}

func (o *output) delta(from uint64) []byte {
	if d, ok := o.deltas[from]; ok {
		return d
	}
	for _, old := range o.versions {
		if old.Version != from {
			continue
		}
		if d, err := EncodeDelta(old, o.newest()); err == nil {
			o.deltas[from] = d
			return d
		}
	}
	return nil
}
