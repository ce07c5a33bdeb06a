package bfgateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"briarferry"
	"briarferry/internal/coordination/bfsteering"
	"briarferry/internal/transport/bfcontrol"
	"briarferry/internal/transport/bfloopback"
)

// TestPlanReachesEntry guards against an entry of few requests that gets no plan from a real
// control VM, or doesn't follow it.
func TestPlanReachesEntry(t *testing.T) {
	free, err := bfloopback.FreeAddresses(7)
	if err != nil {
		t.Fatal(err)
	}
	regions := map[string]string{"a": "r1", "b": "r2"}
	seeds := func() []netip.Addr { return []netip.Addr{free[0].Addr()} }
	control := &bfcontrol.Node{
		Address: free[0].Addr(), RPC: free[0], Gossip: netip.AddrPortFrom(free[0].Addr(), free[1].Port()), Bootstrap: true, Seeds: seeds,
		DataDir: t.TempDir(), Regions: regions, MaxShift: 0.15, FailureDomain: "a", Log: zerolog.Nop(),
	}
	control.Setup()
	entry := &Node{
		VM:      briarferry.VM{Name: "entry", Region: "r1", FailureDomain: "a", HTTP: free[2], RPC: free[3], Gossip: free[4], Incarnation: 1},
		Regions: regions, Seeds: seeds, ControlGossipPort: free[1].Port(), ReadyAddress: free[5], ReadyPath: "/ready", Dialect: testDialect,
		Limits: bfsteering.Limits{RetryShare: 0.2, RetrySlack: 64, RetryWindow: 10 * time.Second, MaxShift: 0.15}, GracePeriod: time.Second, Log: zerolog.Nop(),
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 2)
	go func() { ended <- control.Run(ctx) }()
	go func() { ended <- entry.Run(ctx) }()
	defer func() {
		cancel()
		for range 2 {
			if err := <-ended; err != nil {
				t.Error(err)
			}
		}
	}()
	table := &briarferry.RouteTable{
		Version: 1, Services: []briarferry.RouteService{{Name: "s", ConnectionLimit: 100}}, Limits: briarferry.EntryLimits{MaxBodyBytes: 1000},
		Routes: []briarferry.Route{route("read", true)},
	}
	confirm(t, func(ctx context.Context) error { return control.PutRoutes(ctx, 0, table, []byte("table")) })
	for i, domain := range []string{"a", "b"} {
		backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { answer(http.StatusOK, "X-Signature")(w, r) }))
		defer backend.Close()
		in := briarferry.Instance{
			ID: fmt.Sprint("i-", i), Service: "s", FailureDomain: domain, Slots: 2 + 6*i, Started: 5, Sequence: 1,
			Address: netip.MustParseAddrPort(backend.Listener.Addr().String()),
		}
		confirm(t, func(ctx context.Context) error { return control.Report(ctx, in) })
	}
	var status bfsteering.PlanStatus
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		sendPlanned(t, free[2])
		status = entry.steering.PlanStatus(time.Now())
		if status.Term > 0 && status.Follows && len(status.Shares["s"]) == 2 && status.Followed > 3 {
			return
		}
	}
	t.Errorf("the entry doesn't follow a plan after 20 s: %+v", status)
}

// confirm repeats a call to a control VM until it has a leader.
func confirm(t *testing.T, call func(ctx context.Context) error) {
	t.Helper()
	var err error
	for range 20 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		err = call(ctx)
		cancel()
		if !errors.Is(err, bfcontrol.ErrUnavailable) {
			break
		}
	}
	if err != nil {
		t.Fatal(err)
	}
}

func sendPlanned(t *testing.T, to netip.AddrPort) {
	t.Helper()
	r, err := http.NewRequest(http.MethodGet, "http://"+to.String()+"/read/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "shop.example"
	r.Header.Set("X-Id", "q1")
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
}
