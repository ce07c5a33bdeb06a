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
	// reportInterval is well below the age at which a reading counts as missing.
	reportInterval = time.Second
	reportTimeout  = 900 * time.Millisecond
	// firstInterval lies between the calls of a started entry, which has no lease yet
	// at its first one and takes no work before it has an assignment.
	firstInterval = 100 * time.Millisecond
	// waitAtMost bounds how long a started entry waits for its first assignment. It
	// covers a leader's election and the time in which a new leader learns.
	waitAtMost = 8 * time.Second
)

// EntryAgent reports an entry's measurements to the leader and applies the leader's
// assignments. The exported fields are set before Run.
type EntryAgent struct {
	VM        briarferry.VM
	Selector  *EntrySelector
	Transport Transport
	Config    briarferry.ConfigSource
	// Capacity returns what the region's servers can take, in thousandths of a slot.
	Capacity func(cfg *briarferry.Config) Rate
	Meter    Meter
	// Reports, Failures, Deltas, FullAssignments and RejectedAssignments count calls and what they
	// brought; RefusedRequests counts requests that the assignment refuses.
	Reports, Failures, Deltas, FullAssignments, RejectedAssignments, RefusedRequests atomic.Uint64

	stranded stranded

	// waitUntil is the end of the wait for a first assignment, in Unix nanoseconds.
	waitUntil atomic.Int64

	// mu guards what the calls of Run leave for the next one.
	mu      sync.Mutex
	current *Assignment
	index   *Index
	set     *BlockSet
	whole   bool
	upload  bool
}

// Run reports until ctx ends.
func (f *EntryAgent) Run(ctx context.Context) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		if err := f.Exchange(ctx); err != nil {
			f.Failures.Add(1)
		}
		next := ticker.C
		if !f.Synced() {
			next = time.After(firstInterval)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-next:
		}
	}
}

// Exchange makes one call. A leader that asks for the assignment gets it at once.
func (f *EntryAgent) Exchange(ctx context.Context) error {
	cfg, _, ok := f.Config.Current()
	if !ok {
		return fmt.Errorf("bfplacement: no valid configuration lease")
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	read := time.Now()
	f.waitUntil.CompareAndSwap(0, read.Add(waitAtMost).UnixNano())
	reading, capacity := f.Meter.Read(read, len(cfg.Classes)), f.Capacity(cfg)
	f.stranded.setCapacity(capacity)
	for range 2 {
		r := f.report(reading, capacity)
		r.AgeMillis = uint32(time.Since(read).Milliseconds())
		reply, err := f.Transport.Placement(ctx, r)
		if err != nil {
			return fmt.Errorf("bfplacement: report: %w", err)
		}
		f.Reports.Add(1)
		if err := f.apply(reply); err != nil {
			f.RejectedAssignments.Add(1)
			return err
		}
		if !reply.Upload {
			return nil
		}
	}
	return nil
}

func (f *EntryAgent) report(m Reading, capacity Rate) Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := Report{
		Site: f.VM.Name, Region: f.VM.Region, FailureDomain: f.VM.FailureDomain, WantFull: f.whole,
		RegionCapacity: capacity, Load: m.Load, OtherDemand: m.OtherDemand, Blocks: m.Blocks,
	}
	if f.current == nil {
		return r
	}
	r.Version, r.BlockSetChecksum = f.current.Version, f.current.BlockSetChecksum
	if f.upload {
		r.Assignment, r.BlockSet, f.upload = f.current.Encode(), f.set, false
	}
	return r
}

// apply takes a reply. After a fault the next report asks for the whole assignment.
func (f *EntryAgent) apply(reply Reply) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.upload = reply.Upload && f.current != nil
	if reply.Full == nil && reply.Delta == nil {
		return nil
	}
	next, index, err := f.next(reply)
	if err == nil && f.current != nil && next.Version < f.current.Version {
		return fmt.Errorf("bfplacement: assignment %d is older than %d", next.Version, f.current.Version)
	}
	if err == nil && index == nil {
		err = fmt.Errorf("bfplacement: assignment %d without its blocks", next.Version)
	}
	if err == nil {
		err = f.Selector.SetAssignment(next, index)
	}
	if err != nil {
		f.whole = true
		return err
	}
	if reply.BlockSet != nil {
		f.set = reply.BlockSet
	}
	f.current, f.index, f.whole = next, index, false
	return nil
}

func (f *EntryAgent) next(reply Reply) (*Assignment, *Index, error) {
	if reply.Full == nil {
		if f.current == nil {
			return nil, nil, fmt.Errorf("bfplacement: delta without an assignment")
		}
		a, err := f.current.ApplyDelta(reply.Delta)
		f.Deltas.Add(1)
		return a, f.index, err
	}
	f.FullAssignments.Add(1)
	a, err := DecodeAssignment(reply.Full)
	if err != nil || reply.BlockSet == nil {
		return a, f.index, err
	}
	prefixes, err := DecodePrefixes(reply.BlockSet.Prefixes)
	if err != nil {
		return nil, nil, err
	}
	index, err := NewIndex(prefixes)
	return a, index, err
}

// Synced tells whether the entry knows an assignment. Without one it would send its
// region's callers home at once, whatever the caps say, so that a restarted entry
// waits for the first one for a limited time.
func (f *EntryAgent) Synced() bool {
	if f.Transport == nil || f.Selector.current.Load() != nil {
		return true
	}
	until := f.waitUntil.Load()
	return until != 0 && time.Now().UnixNano() >= until
}

// CountLookup counts a look-up of a client.
func (f *EntryAgent) CountLookup(client netip.Addr) { f.Meter.CountLookup(client) }

// Admits counts a request and tells whether the assignment lets its class run. A
// client outside all blocks is not steered.
func (f *EntryAgent) Admits(client netip.Addr, cfg *briarferry.Config, s briarferry.Service, class briarferry.PriorityClass) bool {
	rank := 0
	for _, c := range cfg.Classes {
		if c.Urgency < class.Urgency {
			rank++
		}
	}
	admitted := f.admits(client, cfg, s, rank)
	f.Meter.CountRequest(client, rank, s.Expected.Std(), admitted)
	if !admitted {
		f.RefusedRequests.Add(1)
	}
	return admitted
}

func (f *EntryAgent) admits(client netip.Addr, cfg *briarferry.Config, s briarferry.Service, rank int) bool {
	v := f.Selector.current.Load()
	l, ok := v.list(client)
	if !ok {
		return true
	}
	if rank >= int(l.Classes) {
		return false
	}
	now := time.Now()
	if len(l.Sites) == 0 || !f.stranded.isLost(now, v.assignment.Sites[l.Sites[0]], f.VM, f.Selector.Members) {
		return true
	}
	return f.stranded.take(now, cfg.Limits.ShiftCapShare, rank, s.Expected.Std())
}
