package bfplacement

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"briarferry"
)

const (
	// reportInterval is well below the age from which measurements count as stale.
	reportInterval = time.Second
	reportTimeout  = 900 * time.Millisecond
	// initialReportInterval is the time between reports until the first assignment. It is
	// short because a started entry has no lease yet at its first attempt and takes no
	// work before it has an assignment.
	initialReportInterval = 100 * time.Millisecond
	// maxSyncWait bounds how long a started entry waits for its first assignment. It
	// covers the election of a leader and the time in which a new leader collects
	// reports.
	maxSyncWait = 8 * time.Second
)

// EntryAgent reports an entry's measurements to the leader and applies the leader's
// assignments. The exported fields are set before Run.
type EntryAgent struct {
	VM        briarferry.VM
	Selector  *EntrySelector
	Transport Transport
	Config    briarferry.ConfigSource
	// Capacity returns the capacity of the region's servers, in thousandths of a slot.
	Capacity func(cfg *briarferry.Config) Rate
	Meter    Meter
	// Reports counts the reports that the leader answered, Failures the exchanges that
	// ended with an error. Deltas and FullAssignments count the updates received,
	// RejectedAssignments those that could not be applied. RefusedRequests counts the
	// requests that Admits refuses.
	Reports, Failures, Deltas, FullAssignments, RejectedAssignments, RefusedRequests atomic.Uint64

	limiter lostRegionLimiter

	// syncDeadline is when the wait for a first assignment ends, in Unix nanoseconds.
	syncDeadline atomic.Int64

	// mu guards the state that one exchange leaves for the next.
	mu              sync.Mutex
	current         *Assignment
	index           *Index
	blockSet        *BlockSet
	demand          *BlockDemand
	wantFull        bool
	uploadRequested bool
}

// Run sends reports until ctx ends.
func (ea *EntryAgent) Run(ctx context.Context) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		if err := ea.Exchange(ctx); err != nil {
			ea.Failures.Add(1)
		}
		next := ticker.C
		if !ea.Synced() {
			next = time.After(initialReportInterval)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-next:
		}
	}
}

// Exchange sends a report and applies the reply. If the leader asks for the entry's
// assignment, a second report carries it at once.
func (ea *EntryAgent) Exchange(ctx context.Context) error {
	cfg, _, ok := ea.Config.Current()
	if !ok {
		return fmt.Errorf("bfplacement: no valid configuration lease")
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	measuredAt := time.Now()
	ea.syncDeadline.CompareAndSwap(0, measuredAt.Add(maxSyncWait).UnixNano())
	reading, capacity := ea.Meter.Read(measuredAt, len(cfg.Classes)), ea.Capacity(cfg)
	ea.limiter.setCapacity(capacity)
	for range 2 {
		r := ea.buildReport(reading, capacity)
		r.AgeMillis = uint32(time.Since(measuredAt).Milliseconds())
		reply, err := ea.Transport.Placement(ctx, r)
		if err != nil {
			return fmt.Errorf("bfplacement: send report: %w", err)
		}
		ea.Reports.Add(1)
		if err := ea.apply(reply); err != nil {
			ea.RejectedAssignments.Add(1)
			return err
		}
		if !reply.Upload {
			return nil
		}
	}
	return nil
}

func (ea *EntryAgent) buildReport(reading Reading, capacity Rate) Report {
	ea.mu.Lock()
	defer ea.mu.Unlock()
	r := Report{
		Site: ea.VM.Name, Region: ea.VM.Region, FailureDomain: ea.VM.FailureDomain, WantFull: ea.wantFull,
		RegionCapacity: capacity, Load: reading.Load, OtherDemand: reading.OtherDemand, Blocks: reading.Blocks,
	}
	if ea.current == nil {
		return r
	}
	r.Version, r.BlockSetChecksum = ea.current.Version, ea.current.BlockSetChecksum
	if ea.uploadRequested {
		r.Assignment, r.BlockSet, r.Demand, ea.uploadRequested = ea.current.Encode(), ea.blockSet, ea.demand, false
	}
	return r
}

// apply applies a reply. After an error, except for an older assignment, the next report
// asks for the full assignment.
func (ea *EntryAgent) apply(reply Reply) error {
	ea.mu.Lock()
	defer ea.mu.Unlock()
	ea.uploadRequested = reply.Upload && ea.current != nil
	if reply.Demand != nil {
		ea.demand = reply.Demand
	}
	if reply.Full == nil && reply.Delta == nil {
		return nil
	}
	next, index, err := ea.decodeReply(reply)
	if err == nil && ea.current != nil && next.Version < ea.current.Version {
		return fmt.Errorf("bfplacement: assignment %d is older than the current one, %d", next.Version, ea.current.Version)
	}
	if err == nil && index == nil {
		err = fmt.Errorf("bfplacement: received assignment %d without its block set", next.Version)
	}
	if err == nil {
		err = ea.Selector.SetAssignment(next, index)
	}
	if err != nil {
		ea.wantFull = true
		return err
	}
	if reply.BlockSet != nil {
		ea.blockSet = reply.BlockSet
	}
	ea.current, ea.index, ea.wantFull = next, index, false
	return nil
}

func (ea *EntryAgent) decodeReply(reply Reply) (*Assignment, *Index, error) {
	if reply.Full == nil {
		if ea.current == nil {
			return nil, nil, fmt.Errorf("bfplacement: received a delta without an assignment to apply it to")
		}
		a, err := ea.current.ApplyDelta(reply.Delta)
		ea.Deltas.Add(1)
		return a, ea.index, err
	}
	ea.FullAssignments.Add(1)
	a, err := DecodeAssignment(reply.Full)
	if err != nil || reply.BlockSet == nil {
		return a, ea.index, err
	}
	prefixes, err := DecodePrefixes(reply.BlockSet.Prefixes)
	if err != nil {
		return nil, nil, err
	}
	index, err := NewIndex(prefixes)
	return a, index, err
}

// Synced reports whether the entry has an assignment or has waited long enough for
// one. Without an assignment a restarted entry would direct all callers of its region
// to that region at once, whatever the shift caps are.
func (ea *EntryAgent) Synced() bool {
	if ea.Transport == nil || ea.Selector.current.Load() != nil {
		return true
	}
	deadline := ea.syncDeadline.Load()
	return deadline != 0 && time.Now().UnixNano() >= deadline
}

// CountLookup counts a look-up of a caller.
func (ea *EntryAgent) CountLookup(caller netip.Addr) { ea.Meter.CountLookup(caller) }

// Admits counts a request and reports whether it may run: the assignment must admit its
// class, and a request of a block whose region is lost must also fit under the site's
// share of the shift cap. Callers outside all blocks are always admitted.
func (ea *EntryAgent) Admits(caller netip.Addr, cfg *briarferry.Config, s briarferry.Service, class briarferry.PriorityClass) bool {
	classIndex := 0
	for _, c := range cfg.Classes {
		if c.Urgency < class.Urgency {
			classIndex++
		}
	}
	admitted := ea.admitsClass(caller, cfg, s, classIndex)
	ea.Meter.CountRequest(caller, classIndex, s.ExpectedLatency.Std(), admitted)
	if !admitted {
		ea.RefusedRequests.Add(1)
	}
	return admitted
}

func (ea *EntryAgent) admitsClass(caller netip.Addr, cfg *briarferry.Config, s briarferry.Service, classIndex int) bool {
	v := ea.Selector.current.Load()
	l, ok := v.siteList(caller)
	if !ok {
		return true
	}
	if classIndex >= int(l.Classes) {
		return false
	}
	now := time.Now()
	if len(l.Sites) == 0 || !ea.limiter.isLost(now, v.assignment.Sites[l.Sites[0]], ea.VM, ea.Selector.Members) {
		return true
	}
	return ea.limiter.allow(now, cfg.Limits.ShiftCapShare, classIndex, s.ExpectedLatency.Std())
}
