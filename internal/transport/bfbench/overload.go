package bfbench

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"briarferry/internal/transport/bfload"
)

const (
	floodService = "desk"
	floodServers = 12
	floodSlots   = 3
	floodHold    = 80 * time.Millisecond
	floodTime    = 6 * time.Second
	floodTimes   = 4
	// floodCapacity is the number of requests per second that the servers can run.
	floodCapacity = floodServers * floodSlots * float64(time.Second) / float64(floodHold)
)

type (
	// scenario is a load by class, as multiples of the capacity, with a disturbance.
	scenario struct {
		name    string
		loads   [3]float64
		disturb func(c *cluster) error
	}

	// measured is what one scenario showed.
	measured struct {
		report *bfload.Report
		runs   int64
	}
)

var floods = []scenario{
	{name: "half load", loads: [3]float64{0.2, 0.2, 0.1}},
	{name: "batch at 4 times", loads: [3]float64{0.4, 0.2, floodTimes}},
	{name: "urgent at 4 times", loads: [3]float64{floodTimes, 0.2, 0.2}},
}

// Flood floods a service through seven VMs with its least urgent class and then with
// its most urgent one, and does the same without the system.
func Flood(ctx context.Context, w io.Writer, program string, seed uint64) error {
	c, err := floodCluster(ctx, program)
	if err != nil {
		return err
	}
	defer c.stop()
	writeHead(w)
	for _, s := range floods {
		m, err := c.measure(ctx, s, seed)
		if err != nil {
			return err
		}
		m.write(w, s, "briarferry")
	}
	for _, s := range floods {
		newNaive(s, seed).run(ctx).write(w, s, "naive")
	}
	return nil
}

func floodCluster(ctx context.Context, program string) (*cluster, error) {
	cfg, err := newConfig(service(floodService, "urgent", floodServers, floodSlots, floodHold))
	if err != nil {
		return nil, err
	}
	return startCluster(ctx, program, cfg)
}

// measure runs a scenario with the callers' cached look-ups.
func (c *cluster) measure(ctx context.Context, s scenario, seed uint64) (*measured, error) {
	before := sum(c.served(floodService))
	g := &bfload.Generator{Entries: c.entries, Flows: s.flows(), For: floodTime, Seed: seed}
	var failed error
	var wg sync.WaitGroup
	if s.disturb != nil {
		wg.Go(func() {
			time.Sleep(floodTime / 4)
			failed = s.disturb(c)
		})
	}
	report, err := g.Run(ctx)
	wg.Wait()
	if err == nil {
		err = failed
	}
	return &measured{report: report, runs: sum(c.served(floodService)) - before}, err
}

func (s scenario) flows() []bfload.Flow {
	var flows []bfload.Flow
	for i, times := range s.loads {
		flows = append(flows, bfload.Flow{
			Service: floodService, Urgency: urgencies[i], Rate: times * floodCapacity, Timeout: classes[i].Target,
		})
	}
	return flows
}

// urgencies are those that the generated configuration gives the classes.
var urgencies = [3]int{1, 3, 6}

func sum(list []int64) (n int64) {
	for _, v := range list {
		n += v
	}
	return n
}

func writeHead(w io.Writer) {
	fmt.Fprintf(w, "capacity %.0f requests/s: %d servers with %d slots of %v; %v a scenario; per class: answered in time, goodput as a share of capacity, p50/p99/p99.9\n",
		floodCapacity, floodServers, floodSlots, floodHold, floodTime)
	fmt.Fprintf(w, "%-34s %-11s %-40s %-40s %-40s %8s %6s\n", "scenario", "policy", "urgent", "normal", "batch", "goodput", "extra")
}

// write prints a line: for each class the share answered in time, the goodput and the
// latencies; the goodput of all, and the runs at servers beyond the answers.
func (m *measured) write(w io.Writer, s scenario, policy string) {
	line := fmt.Sprintf("%-34s %-11s", s.name, policy)
	goodput := 0.0
	for _, f := range m.report.Flows {
		share := float64(f.Counts.InWindow) / f.Window().Seconds() / floodCapacity
		goodput += share
		line += fmt.Sprintf(" %6.2f%% %5.3f %-25s", 100*float64(f.Counts.InTime)/float64(max(1, f.Counts.Requests)), share,
			fmt.Sprintf("%v/%v/%v", f.P50.Round(time.Millisecond), f.P99.Round(time.Millisecond), f.P999.Round(time.Millisecond)))
	}
	extra := float64(m.runs)/float64(max(1, m.report.Total.OK)) - 1
	fmt.Fprintf(w, "%s %8.3f %5.1f%%\n", line, goodput, 100*extra)
	for _, f := range m.report.Flows {
		var reasons []string
		for reason, n := range f.Reasons {
			if n*50 > f.Counts.Requests {
				reasons = append(reasons, fmt.Sprintf("%d %s", n, reason))
			}
		}
		if len(reasons) > 0 && policy != "naive" {
			fmt.Fprintf(w, "    urgency %d, %d requests: %s\n", f.Flow.Urgency, f.Counts.Requests, strings.Join(reasons, ", "))
		}
	}
}

// naive is the same load on servers that queue what exceeds their slots, sent to them
// in turn, first in, first out. It runs in this process: the queue decides, not the
// transport.
type naive struct {
	scenario scenario
	seed     uint64
	slots    [floodServers]chan struct{}
	turn     atomic.Int64
}

func newNaive(s scenario, seed uint64) *naive {
	n := &naive{scenario: s, seed: seed}
	for i := range n.slots {
		n.slots[i] = make(chan struct{}, floodSlots)
	}
	return n
}

func (n *naive) run(ctx context.Context) *measured {
	began := time.Now()
	var runs atomic.Int64
	report := bfload.Simulate(ctx, n.scenario.flows(), floodTime, n.seed, func(f bfload.Flow, scheduled time.Time) bool {
		slots := n.slots[n.turn.Add(1)%floodServers]
		// Servers run what callers have given up too; only the wait is cut short.
		select {
		case slots <- struct{}{}:
		case <-time.After(time.Until(began.Add(floodTime + 2*time.Second))):
			return false
		}
		time.Sleep(floodHold)
		<-slots
		runs.Add(1)
		return time.Since(scheduled) <= f.Timeout.Std()
	})
	return &measured{report: report, runs: runs.Load()}
}
