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
	overloadService     = "desk"
	overloadServers     = 12
	overloadSlots       = 3
	overloadServiceTime = 80 * time.Millisecond
	scenarioDuration    = 6 * time.Second
	overloadFactor      = 4
	// overloadCapacity is the number of requests per second that the servers can execute.
	overloadCapacity = overloadServers * overloadSlots * float64(time.Second) / float64(overloadServiceTime)
)

type (
	// scenario is a load for each priority class, as a multiple of the capacity, with an
	// optional fault.
	scenario struct {
		name        string
		loadFactors [3]float64
		injectFault func(c *cluster) error
	}

	// scenarioResult holds the callers' report of a scenario and the number of executions
	// at the backend servers.
	scenarioResult struct {
		report     *bfload.Report
		executions int64
	}
)

var overloadScenarios = []scenario{
	{name: "half load", loadFactors: [3]float64{0.2, 0.2, 0.1}},
	{name: "batch at 4 times", loadFactors: [3]float64{0.4, 0.2, overloadFactor}},
	{name: "urgent at 4 times", loadFactors: [3]float64{overloadFactor, 0.2, 0.2}},
}

// Overload measures a service behind seven VMs at half load, then with an overload of the
// least urgent class and then of the most urgent one. It also runs the scenarios with a
// round-robin policy without the system.
func Overload(ctx context.Context, w io.Writer, program string, seed uint64) error {
	c, err := startOverloadCluster(ctx, program)
	if err != nil {
		return err
	}
	defer c.stop()
	writeHeader(w)
	for _, s := range overloadScenarios {
		result, err := c.runScenario(ctx, s, seed)
		if err != nil {
			return err
		}
		result.write(w, s, "briarferry")
	}
	for _, s := range overloadScenarios {
		newRoundRobinPolicy(s, seed).run(ctx).write(w, s, "naive")
	}
	return nil
}

func startOverloadCluster(ctx context.Context, program string) (*cluster, error) {
	cfg, err := newConfig(newService(overloadService, "urgent", overloadServers, overloadSlots, overloadServiceTime))
	if err != nil {
		return nil, err
	}
	return startCluster(ctx, program, cfg)
}

// runScenario runs a scenario with callers that cache their look-ups.
func (c *cluster) runScenario(ctx context.Context, s scenario, seed uint64) (*scenarioResult, error) {
	before := sum(c.served(overloadService))
	g := &bfload.Generator{Entries: c.entries, Flows: s.flows(), Duration: scenarioDuration, Seed: seed}
	var faultErr error
	var wg sync.WaitGroup
	if s.injectFault != nil {
		wg.Go(func() {
			time.Sleep(scenarioDuration / 4)
			faultErr = s.injectFault(c)
		})
	}
	report, err := g.Run(ctx)
	wg.Wait()
	if err == nil {
		err = faultErr
	}
	return &scenarioResult{report: report, executions: sum(c.served(overloadService)) - before}, err
}

func (s scenario) flows() []bfload.Flow {
	var flows []bfload.Flow
	for i, factor := range s.loadFactors {
		flows = append(flows, bfload.Flow{
			Service: overloadService, Urgency: urgencies[i], Rate: factor * overloadCapacity, Timeout: priorityClasses[i].Target,
		})
	}
	return flows
}

// urgencies are the urgencies of the priority classes in the generated configuration.
var urgencies = [3]int{1, 3, 6}

func sum(list []int64) (n int64) {
	for _, v := range list {
		n += v
	}
	return n
}

func writeHeader(w io.Writer) {
	fmt.Fprintf(w, "capacity %.0f requests/s: %d servers with %d slots, service time %v; %v per scenario; per class: answered in time, goodput as a share of capacity, p50/p99/p99.9\n",
		overloadCapacity, overloadServers, overloadSlots, overloadServiceTime, scenarioDuration)
	fmt.Fprintf(w, "%-34s %-11s %-40s %-40s %-40s %8s %6s\n", "scenario", "policy", "urgent", "normal", "batch", "goodput", "extra")
}

// write prints a line with the share answered in time, the goodput and the latencies of
// each class, the goodput of all classes, and the executions beyond the answered
// requests. Failure reasons of more than 2% of a class's requests follow on lines of
// their own, except for the round-robin policy.
func (result *scenarioResult) write(w io.Writer, s scenario, policy string) {
	line := fmt.Sprintf("%-34s %-11s", s.name, policy)
	goodput := 0.0
	for _, f := range result.report.Flows {
		share := float64(f.Counts.InWindow) / f.Window().Seconds() / overloadCapacity
		goodput += share
		line += fmt.Sprintf(" %6.2f%% %5.3f %-25s", 100*float64(f.Counts.InTime)/float64(max(1, f.Counts.Requests)), share,
			fmt.Sprintf("%v/%v/%v", f.P50.Round(time.Millisecond), f.P99.Round(time.Millisecond), f.P999.Round(time.Millisecond)))
	}
	extra := float64(result.executions)/float64(max(1, result.report.Total.OK)) - 1
	fmt.Fprintf(w, "%s %8.3f %5.1f%%\n", line, goodput, 100*extra)
	for _, f := range result.report.Flows {
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

// roundRobinPolicy simulates servers that get requests in turn and queue those beyond
// their slots in order of arrival. It runs in this process without a transport, as the
// queue determines the result.
type roundRobinPolicy struct {
	scenario   scenario
	seed       uint64
	slots      [overloadServers]chan struct{}
	nextServer atomic.Int64
}

func newRoundRobinPolicy(s scenario, seed uint64) *roundRobinPolicy {
	p := &roundRobinPolicy{scenario: s, seed: seed}
	for i := range p.slots {
		p.slots[i] = make(chan struct{}, overloadSlots)
	}
	return p
}

func (p *roundRobinPolicy) run(ctx context.Context) *scenarioResult {
	began := time.Now()
	var executions atomic.Int64
	report := bfload.Simulate(ctx, p.scenario.flows(), scenarioDuration, p.seed, func(f bfload.Flow, scheduled time.Time) bool {
		slots := p.slots[p.nextServer.Add(1)%overloadServers]
		// Servers also execute requests that their callers have given up. A request stops
		// waiting for a slot two seconds after the end of the scenario.
		select {
		case slots <- struct{}{}:
		case <-time.After(time.Until(began.Add(scenarioDuration + 2*time.Second))):
			return false
		}
		time.Sleep(overloadServiceTime)
		<-slots
		executions.Add(1)
		return time.Since(scheduled) <= f.Timeout.Std()
	})
	return &scenarioResult{report: report, executions: executions.Load()}
}
