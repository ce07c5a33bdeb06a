package bfgateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"briarferry"
	"briarferry/internal/coordination/bfquota"
	"briarferry/internal/transport/bfcontrol"
	"briarferry/internal/transport/bfgossip"
	"briarferry/internal/transport/bfloopback"
)

type (
	// quotaSystem is a group of control VMs and entries that take tokens of quotas.
	quotaSystem struct {
		t        *testing.T
		controls []*quotaControl
		entries  []*quotaEntry
		table    *briarferry.RouteTable
	}

	quotaControl struct {
		*bfcontrol.Node
		stop  context.CancelFunc
		ended chan error
	}

	quotaEntry struct {
		*Node
		// cut drops all datagrams of the entry.
		cut atomic.Bool
	}
)

func newQuotaSystem(t *testing.T, entries int, quota briarferry.Quota) *quotaSystem {
	s := &quotaSystem{t: t}
	seeds := []netip.Addr{netip.MustParseAddr("127.0.0.1"), netip.MustParseAddr("127.0.0.2"), netip.MustParseAddr("127.0.0.3")}
	ports, err := bfloopback.FreeAddresses(2 + entries)
	if err != nil {
		t.Fatal(err)
	}
	for _, a := range seeds {
		n := &quotaControl{ended: make(chan error, 1), Node: &bfcontrol.Node{
			Address: a, RPC: netip.AddrPortFrom(a, ports[0].Port()), Gossip: netip.AddrPortFrom(a, ports[1].Port()), Bootstrap: true,
			Seeds: func() []netip.Addr { return seeds }, DataDir: t.TempDir(), Regions: map[string]string{"a": "r"}, Log: zerolog.Nop(),
		}}
		n.Setup()
		var ctx context.Context
		ctx, n.stop = context.WithCancel(context.Background())
		go func() { n.ended <- n.Run(ctx) }()
		s.controls = append(s.controls, n)
	}
	t.Cleanup(func() {
		for _, n := range s.controls {
			n.stop()
		}
		for _, n := range s.controls {
			<-n.ended
		}
	})
	s.setQuota(1, quota)
	s.waitUntilSettled(func() netip.Addr { return s.waitForOwner().Address })
	for i := range entries {
		s.startEntry(i, seeds, netip.AddrPortFrom(seeds[0], ports[2+i].Port()), ports[1].Port())
	}
	return s
}

// setQuota installs a route table in which the organisation "o" has the quota.
func (s *quotaSystem) setQuota(version uint64, quota briarferry.Quota) {
	s.t.Helper()
	s.table = quotaTable(version, briarferry.Organisation{Name: "o", Quota: quota})
	var err error
	for range 30 {
		ctx, cancel := context.WithTimeout(s.t.Context(), time.Second)
		err = s.controls[0].PutRoutes(ctx, version-1, s.table, []byte(fmt.Sprint(version)))
		cancel()
		if !errors.Is(err, bfcontrol.ErrUnavailable) {
			break
		}
	}
	if err != nil {
		s.t.Fatal(err)
	}
	for _, e := range s.entries {
		e.quotas.update(s.table)
	}
}

func quotaTable(version uint64, organisations ...briarferry.Organisation) *briarferry.RouteTable {
	return &briarferry.RouteTable{
		Version: version, Services: []briarferry.RouteService{{Name: "s", ConnectionLimit: 1}},
		KeySalt: make([]byte, briarferry.KeySaltBytes), Organisations: organisations,
	}
}

// startEntry starts the parts of an entry that exchange quotas.
func (s *quotaSystem) startEntry(i int, seeds []netip.Addr, address netip.AddrPort, controlPort uint16) {
	e := &quotaEntry{Node: &Node{
		VM:    briarferry.VM{Name: fmt.Sprint("e", i), Region: "r", FailureDomain: "a", Gossip: address, Incarnation: 1},
		Seeds: func() []netip.Addr { return seeds }, ControlGossipPort: controlPort, Dialect: testDialect, Log: zerolog.Nop(),
	}}
	e.setup()
	e.fleet.gossip = &bfgossip.UDPNetwork{Listen: address, Log: zerolog.Nop(), Receive: func(data []byte) {
		if !e.cut.Load() {
			e.fleet.receive(data)
		}
	}}
	stop, err := e.fleet.gossip.Start()
	if err != nil {
		s.t.Fatal(err)
	}
	send := e.quotas.send
	e.quotas.send = func(to netip.Addr, data []byte) {
		if !e.cut.Load() {
			send(to, data)
		}
	}
	e.quotas.update(s.table)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { e.quotas.run(ctx) })
	s.t.Cleanup(func() {
		cancel()
		wg.Wait()
		stop()
	})
	s.entries = append(s.entries, e)
}

// quotaLoad sends requests of the organisation through an entry and records those that may run.
type quotaLoad struct {
	organisation   string
	mu             sync.Mutex
	runs           []time.Time
	refused, other int
	maxWait        time.Duration
}

// send sends requests at the rate until the time has passed.
func (l *quotaLoad) send(e *quotaEntry, rate float64, d time.Duration, wg *sync.WaitGroup) {
	wg.Go(func() {
		ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
		defer ticker.Stop()
		var requests sync.WaitGroup
		for end := time.Now().Add(d); time.Now().Before(end); <-ticker.C {
			requests.Go(func() { l.request(e) })
		}
		requests.Wait()
	})
}

func (l *quotaLoad) request(e *quotaEntry) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	started := time.Now()
	_, err := e.quotas.Acquire(ctx, l.organisation)
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	var r *briarferry.Refusal
	switch {
	case err == nil:
		l.runs = append(l.runs, now)
		l.maxWait = max(l.maxWait, now.Sub(started))
	case errors.As(err, &r) && r.Status == http.StatusTooManyRequests:
		l.refused++
	default:
		l.other++
	}
}

// excess returns the highest number of requests beyond the quota in any window.
func (l *quotaLoad) excess(q briarferry.Quota) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	slices.SortFunc(l.runs, time.Time.Compare)
	level, worst := q.Burst, 0.0
	for i, at := range l.runs {
		if i > 0 {
			level = min(q.Burst, level+q.Rate*at.Sub(l.runs[i-1]).Seconds())
		}
		level--
		worst = max(worst, -level)
	}
	return worst
}

// after counts the requests that ran from the time on.
func (l *quotaLoad) after(at time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, run := range l.runs {
		if run.After(at) {
			n++
		}
	}
	return n
}

// measurementError is the number of requests by which the times at which requests are recorded may
// make windows look fuller: they are recorded late by the time until their goroutine runs.
const measurementError = 15

// waitUntilSettled waits until one VM has owned the quotas for longer than leases last: until then,
// a new owner grants little.
func (s *quotaSystem) waitUntilSettled(owner func() netip.Addr) {
	s.t.Helper()
	var last netip.Addr
	since := time.Now()
	for end := since.Add(time.Minute); time.Since(since) < bfquota.LeaseDuration+bfquota.LeaseDuration/5; time.Sleep(20 * time.Millisecond) {
		if a := owner(); a != last {
			last, since = a, time.Now()
		}
		if !last.IsValid() {
			since = time.Now()
		}
		if time.Now().After(end) {
			s.t.Fatal("no owner has stayed for long enough")
		}
	}
}

// waitForOwner waits until a control VM owns the quotas and returns it.
func (s *quotaSystem) waitForOwner() (owner *quotaControl) {
	s.t.Helper()
	waitFor(s.t, func() bool {
		for _, n := range s.controls {
			if n.OwnsQuotas() {
				owner = n
			}
		}
		return owner != nil
	})
	return owner
}

// stopOwner ends the process of the owner. It doesn't wait until the others have a new leader.
func (s *quotaSystem) stopOwner() {
	n := s.waitForOwner()
	n.stop()
	n.ended <- <-n.ended
}

// TestQuotaOverload guards against requests beyond the quota, and against an unused quota, while
// the owner leaves and an entry is cut off under a load above the quota.
func TestQuotaOverload(t *testing.T) {
	t.Parallel()
	quota := briarferry.Quota{Rate: 200, Burst: 200}
	s := newQuotaSystem(t, 3, quota)
	load := quotaLoad{organisation: "o"}
	var wg sync.WaitGroup
	const d = 14 * time.Second
	end := time.Now().Add(d)
	load.send(s.entries[0], 300, d, &wg)
	load.send(s.entries[1], 100, d, &wg)
	load.send(s.entries[2], 40, d, &wg)
	time.Sleep(3 * time.Second)
	s.stopOwner()
	time.Sleep(6 * time.Second)
	s.entries[1].cut.Store(true)
	settled := time.Now()
	wg.Wait()
	t.Logf("%d ran, %d refused, %d otherwise, longest wait %v, excess %.1f, %d after the failures", len(load.runs), load.refused, load.other, load.maxWait, load.excess(quota), load.after(settled))
	if x := load.excess(quota); x > measurementError {
		t.Errorf("quota exceeded by %.1f requests", x)
	}
	if n, want := load.after(settled), 0.85*quota.Rate*end.Sub(settled).Seconds(); float64(n) < want {
		t.Errorf("%d requests ran after the failures, want %.0f", n, want)
	}
}

// TestQuotaOwnerLost guards against requests within the quota that are refused while the owner is
// replaced.
func TestQuotaOwnerLost(t *testing.T) {
	t.Parallel()
	quota := briarferry.Quota{Rate: 300, Burst: 300}
	s := newQuotaSystem(t, 3, quota)
	load := quotaLoad{organisation: "o"}
	var wg sync.WaitGroup
	const d = 9 * time.Second
	for i, e := range s.entries {
		load.send(e, 100/float64(1+i), d, &wg)
	}
	time.Sleep(4 * time.Second)
	s.stopOwner()
	wg.Wait()
	t.Logf("%d ran, %d refused, %d otherwise, longest wait %v, excess %.1f", len(load.runs), load.refused, load.other, load.maxWait, load.excess(quota))
	if load.refused+load.other > len(load.runs)/100 {
		t.Errorf("%d of %d requests refused, %d failed", load.refused, len(load.runs), load.other)
	}
	if x := load.excess(quota); x > measurementError {
		t.Errorf("quota exceeded by %.1f requests", x)
	}
}

// TestQuotaChange guards against a lower quota that binds late and a raised one that can't be used.
func TestQuotaChange(t *testing.T) {
	t.Parallel()
	s := newQuotaSystem(t, 2, briarferry.Quota{Rate: 100, Burst: 100})
	load := quotaLoad{organisation: "o"}
	var wg sync.WaitGroup
	for _, e := range s.entries {
		load.send(e, 100, 10*time.Second, &wg)
	}
	time.Sleep(2 * time.Second)
	lower := briarferry.Quota{Rate: 20, Burst: 20}
	s.setQuota(2, lower)
	time.Sleep(3 * time.Second)
	before := load.after(time.Time{})
	time.Sleep(2 * time.Second)
	if n := load.after(time.Time{}) - before; float64(n) > 2*lower.Rate+lower.Burst || n < 30 {
		t.Errorf("%d requests ran in 2 s of the lower quota", n)
	}
	s.setQuota(3, briarferry.Quota{Rate: 150, Burst: 150})
	raised := time.Now()
	wg.Wait()
	if n, want := load.after(raised), 0.8*150*time.Since(raised).Seconds(); float64(n) < want {
		t.Errorf("%d requests ran after the quota was raised, want %.0f", n, want)
	}
}

// TestQuotaRefusals guards against refusals without their time, tokens that are lost with requests
// that certainly didn't run, and requests that wait after their callers have left.
func TestQuotaRefusals(t *testing.T) {
	e := newTestEntry(t, answer(200, "X-Signature"))
	next := *e.state
	table := *e.state.Routes
	table.Version, table.Organisations = 2, []briarferry.Organisation{{Name: "o", Quota: briarferry.Quota{Rate: 1, Burst: 2}}}
	next.Revision, next.Routes = 2, &table
	e.node.update(&next)
	now := time.Minute
	e.node.quotas.clock = func() time.Duration { return now }
	newCall := func() *call {
		r := httptest.NewRequest(http.MethodPost, "/order/1", strings.NewReader(""))
		r.Host, r.RequestURI = "shop.example", "/order/1"
		c, refusal := e.node.readRequest(httptest.NewRecorder(), r, time.Now())
		if refusal != nil {
			t.Fatal(refusal)
		}
		c.request.Organisation = "o"
		return c
	}
	// Without an owner, a request waits until its caller leaves.
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := e.node.forwardWithinQuota(ctx, newCall())
	if r := asRefusal(err); r.Status != http.StatusServiceUnavailable || r.Outcome != briarferry.OutcomeNotRun {
		t.Fatalf("without an owner: %v", err)
	}
	grant := func(tokens, retry uint32) {
		owner := netip.MustParseAddr("127.0.0.1")
		e.node.quotas.receive(&bfquota.Grant{Sequence: 1, Owner: owner, Term: 5})
		reports := e.node.quotas.holder.Reports(now, true)
		if len(reports) != 1 {
			t.Fatalf("%d reports", len(reports))
		}
		e.node.quotas.receive(&bfquota.Grant{Sequence: reports[0].Sequence, Owner: owner, Term: 5, Items: []bfquota.Granted{{
			Key: reports[0].Items[0].Key, Rate: 1, Burst: 2, Tokens: tokens, TokenMillis: 1000, RetryMillis: retry,
		}}})
	}
	grant(1, 0)
	if answer, err := e.node.forwardWithinQuota(t.Context(), newCall()); err != nil || answer.Status != 200 {
		t.Fatalf("with a token: %v", err)
	}
	now += 100 * time.Millisecond
	waiting := make(chan error)
	go func() {
		_, err := e.node.forwardWithinQuota(t.Context(), newCall())
		waiting <- err
	}()
	waitFor(t, func() bool { return e.node.quotas.holder.Due(now) })
	grant(0, 700)
	if r := asRefusal(<-waiting); r.Status != http.StatusTooManyRequests || r.RetryAfter != 700*time.Millisecond {
		t.Errorf("quota used up: %+v", r)
	}
	w := httptest.NewRecorder()
	_, err = e.node.forwardWithinQuota(t.Context(), newCall())
	e.node.writeRefusal(w, newCall(), asRefusal(err))
	if after := w.Header().Get("Retry-After"); w.Code != http.StatusTooManyRequests || after != "0.70" {
		t.Errorf("status %d, Retry-After %q", w.Code, after)
	}
	// A request for which there is no server didn't run, and its token is there again.
	now += time.Second
	go func() {
		c := newCall()
		c.service = "none"
		_, err := e.node.forwardWithinQuota(t.Context(), c)
		waiting <- err
	}()
	waitFor(t, func() bool { return e.node.quotas.holder.Due(now) })
	grant(1, 0)
	if r := asRefusal(<-waiting); r.Outcome != briarferry.OutcomeNotRun {
		t.Fatalf("without a server: %+v", r)
	}
	now += time.Second
	reports := e.node.quotas.holder.Reports(now, true)
	if len(reports) != 1 || reports[0].Items[0].Returned != 1 {
		t.Errorf("the token wasn't given back: %+v", reports)
	}
}
