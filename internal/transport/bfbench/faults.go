package bfbench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"briarferry/internal/protocol/bfapi"
	"briarferry/internal/transport/bfstandin"
)

var (
	halfLoad = [3]float64{0.2, 0.2, 0.1}

	// faultScenarios run at half load. Each fault is injected after a quarter of the
	// scenario and lasts until its end.
	faultScenarios = []scenario{
		{name: "frozen entry", loadFactors: halfLoad, injectFault: freezeEntry},
		{name: "killed entry", loadFactors: halfLoad, injectFault: killEntry},
		{name: "server says idle, 10 times slower", loadFactors: halfLoad, injectFault: slowServer},
		{name: "no announcements from one region", loadFactors: halfLoad, injectFault: stopAnnouncements},
		{name: "silent connections", loadFactors: halfLoad, injectFault: silenceConnections},
		{name: "killed entry, slow server", loadFactors: halfLoad, injectFault: allOf(killEntry, slowServer)},
		{name: "frozen entry, silent connections", loadFactors: halfLoad, injectFault: allOf(freezeEntry, silenceConnections)},
	}
)

// Faults measures a service at half load under each fault, each in a cluster of its own.
func Faults(ctx context.Context, w io.Writer, program string, seed uint64) error {
	writeHeader(w)
	for _, s := range faultScenarios {
		if err := runFault(ctx, w, program, s, seed); err != nil {
			return err
		}
	}
	return nil
}

func runFault(ctx context.Context, w io.Writer, program string, s scenario, seed uint64) error {
	c, err := startOverloadCluster(ctx, program)
	if err != nil {
		return err
	}
	defer c.stop()
	result, err := c.runScenario(ctx, s, seed)
	if err != nil {
		return err
	}
	result.write(w, s, "briarferry")
	return nil
}

// allOf returns a function that injects the given faults one after the other.
func allOf(list ...func(c *cluster) error) func(c *cluster) error {
	return func(c *cluster) error {
		for _, f := range list {
			if err := f(c); err != nil {
				return err
			}
		}
		return nil
	}
}

// busiestEntry returns the entry without a data directory that has answered the most
// requests. Callers of one address block use the entries of one region, so a fault of
// another entry would have no effect. Entries with a data directory are also control
// VMs, whose faults are not measured here.
func (c *cluster) busiestEntry() (*process, error) {
	busiest, maxAnswered := 0, int64(0)
	for i := controlCount; i < len(c.entries); i++ {
		var vars struct {
			Requests map[string]int64 `json:"requests"`
		}
		c.getJSON(c.entries[i], bfapi.PathVars, &vars)
		answered := int64(0)
		for name, n := range vars.Requests {
			if strings.HasSuffix(name, "/answered") {
				answered += n
			}
		}
		if answered > maxAnswered {
			busiest, maxAnswered = i, answered
		}
	}
	if maxAnswered == 0 {
		return nil, fmt.Errorf("bfbench: no entry without a data directory has answered a request")
	}
	return c.vms[busiest], nil
}

func freezeEntry(c *cluster) error {
	p, err := c.busiestEntry()
	if err == nil {
		p.freeze()
	}
	return err
}

func killEntry(c *cluster) error {
	p, err := c.busiestEntry()
	if err == nil {
		p.kill()
	}
	return err
}

func slowServer(c *cluster) error {
	server := c.servers(overloadService)[0]
	return c.changeBehaviour(bfstandin.BehaviourChange{Address: server.Address.String()},
		map[string]any{"service_time": (10 * overloadServiceTime).String(), "reported_load": 0})
}

func stopAnnouncements(c *cluster) error {
	return c.changeBehaviour(bfstandin.BehaviourChange{Region: c.config.Regions[0].Name}, map[string]any{"announce_off": true})
}

func silenceConnections(c *cluster) error {
	return c.changeBehaviour(bfstandin.BehaviourChange{}, map[string]any{"silent": true})
}

func (c *cluster) changeBehaviour(to bfstandin.BehaviourChange, behaviour map[string]any) error {
	data, err := json.Marshal(behaviour)
	if err != nil {
		return fmt.Errorf("bfbench: %w", err)
	}
	to.Behaviour = data
	return c.setBehaviour(to)
}
