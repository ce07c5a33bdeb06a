package bfgateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	ossignal "os/signal"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"briarferry"
	"briarferry/internal/transport/bfcontrol"
	"briarferry/internal/transport/bfloopback"
)

// controlEnv is the variable by which a test's process is started as a control VM.
const controlEnv = "BRIARFERRY_TEST_CONTROL"

// controlProcess is a control VM in a process of its own, which can be killed and stopped.
type controlProcess struct {
	RPC, Gossip netip.AddrPort
	Seeds       []netip.Addr
	DataDir     string
	Table       *briarferry.RouteTable
	cmd         *exec.Cmd
}

func TestMain(m *testing.M) {
	if text := os.Getenv(controlEnv); text != "" {
		runControl(text)
		return
	}
	os.Exit(m.Run())
}

// runControl runs a control VM that installs its route table as the first one.
func runControl(text string) {
	var p controlProcess
	if err := json.Unmarshal([]byte(text), &p); err != nil {
		panic(err)
	}
	ctx, stop := ossignal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	n := &bfcontrol.Node{
		Address: p.RPC.Addr(), RPC: p.RPC, Gossip: p.Gossip, Bootstrap: true, Seeds: func() []netip.Addr { return p.Seeds },
		DataDir: p.DataDir, Regions: map[string]string{"a": "r"}, Log: zerolog.Nop(),
	}
	n.Setup()
	go func() {
		for ctx.Err() == nil {
			ctx, cancel := context.WithTimeout(ctx, time.Second)
			err := n.PutRoutes(ctx, 0, p.Table, []byte("first"))
			cancel()
			if err == nil {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	}()
	if err := n.Run(ctx); err != nil {
		panic(err)
	}
}

func (p *controlProcess) start(t *testing.T) {
	t.Helper()
	text, err := json.Marshal(p)
	if err != nil {
		t.Fatal(err)
	}
	p.cmd = exec.Command(os.Args[0])
	p.cmd.Env = append(os.Environ(), controlEnv+"="+string(text))
	p.cmd.Stderr = os.Stderr
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
}

func (p *controlProcess) kill() {
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

// TestQuotaOwnerKilled guards against requests beyond a quota, and against refused requests within
// one, when the owner is frozen and wakes while another one is in office, and when one is killed.
func TestQuotaOwnerKilled(t *testing.T) {
	t.Parallel()
	within, over := briarferry.Quota{Rate: 300, Burst: 300}, briarferry.Quota{Rate: 100, Burst: 100}
	seeds := []netip.Addr{netip.MustParseAddr("127.0.0.1"), netip.MustParseAddr("127.0.0.2"), netip.MustParseAddr("127.0.0.3")}
	ports, err := bfloopback.FreeAddresses(5)
	if err != nil {
		t.Fatal(err)
	}
	table := quotaTable(1, briarferry.Organisation{Name: "within", Quota: within}, briarferry.Organisation{Name: "over", Quota: over})
	controls := map[netip.Addr]*controlProcess{}
	for _, a := range seeds {
		p := &controlProcess{RPC: netip.AddrPortFrom(a, ports[0].Port()), Gossip: netip.AddrPortFrom(a, ports[1].Port()), Seeds: seeds, DataDir: t.TempDir(), Table: table}
		p.start(t)
		t.Cleanup(p.kill)
		controls[a] = p
	}
	s := &quotaSystem{t: t, table: table}
	for i := range 3 {
		s.startEntry(i, seeds, netip.AddrPortFrom(seeds[0], ports[2+i].Port()), ports[1].Port())
	}
	owner := func(not netip.Addr) (a netip.Addr) {
		t.Helper()
		waitFor(t, func() bool {
			a = s.entries[0].quotas.currentOwner()
			return a.IsValid() && a != not
		})
		return a
	}
	s.waitUntilSettled(func() netip.Addr { return s.entries[0].quotas.currentOwner() })
	loads := []*quotaLoad{{organisation: "within"}, {organisation: "over"}}
	var wg sync.WaitGroup
	const d = 20 * time.Second
	for i, e := range s.entries {
		loads[0].send(e, 100/float64(1+i), d, &wg)
		loads[1].send(e, 150/float64(1+i), d, &wg)
	}
	time.Sleep(4 * time.Second)
	frozen := owner(netip.Addr{})
	_ = controls[frozen].cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(4 * time.Second)
	second := owner(frozen)
	_ = controls[frozen].cmd.Process.Signal(syscall.SIGCONT)
	time.Sleep(4 * time.Second)
	controls[second].kill()
	wg.Wait()
	third := owner(second)
	for i, quota := range []briarferry.Quota{within, over} {
		l := loads[i]
		t.Logf("%s: %d ran, %d refused, %d otherwise, longest wait %v, excess %.1f", l.organisation, len(l.runs), l.refused, l.other, l.maxWait, l.excess(quota))
		if x := l.excess(quota); x > measurementError {
			t.Errorf("%s: quota exceeded by %.1f requests", l.organisation, x)
		}
	}
	if l := loads[0]; l.refused+l.other > len(l.runs)/100 {
		t.Errorf("%d of %d requests within the quota refused, %d failed", l.refused, len(l.runs), l.other)
	}
	t.Log(fmt.Sprint("owners: ", frozen, ", ", second, ", ", third))
}
