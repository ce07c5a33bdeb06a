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

	// faults run at half load; each starts after a quarter of the time and lasts.
	faults = []scenario{
		{name: "frozen entry", loads: halfLoad, disturb: freezeEntry},
		{name: "killed entry", loads: halfLoad, disturb: killEntry},
		{name: "server says idle, 10 times slower", loads: halfLoad, disturb: slowServer},
		{name: "no announcements from one region", loads: halfLoad, disturb: stopAnnouncements},
		{name: "silent connections", loads: halfLoad, disturb: silenceConnections},
		{name: "killed entry, slow server", loads: halfLoad, disturb: both(killEntry, slowServer)},
		{name: "frozen entry, silent connections", loads: halfLoad, disturb: both(freezeEntry, silenceConnections)},
	}
)

// Faults runs half load through each fault in a system of its own.
func Faults(ctx context.Context, w io.Writer, program string, seed uint64) error {
	writeHead(w)
	for _, s := range faults {
		if err := runFault(ctx, w, program, s, seed); err != nil {
			return err
		}
	}
	return nil
}

func runFault(ctx context.Context, w io.Writer, program string, s scenario, seed uint64) error {
	c, err := floodCluster(ctx, program)
	if err != nil {
		return err
	}
	defer c.stop()
	m, err := c.measure(ctx, s, seed)
	if err != nil {
		return err
	}
	m.write(w, s, "briarferry")
	return nil
}

func both(list ...func(c *cluster) error) func(c *cluster) error {
	return func(c *cluster) error {
		for _, f := range list {
			if err := f(c); err != nil {
				return err
			}
		}
		return nil
	}
}

// victim returns the entry without a data directory that has answered the most requests:
// callers of one block use the entries of one region, and a fault elsewhere would show
// nothing. The control group is not what these faults are about.
func (c *cluster) victim() (*process, error) {
	best, most := 0, int64(0)
	for i := controlCount; i < len(c.entries); i++ {
		var vars struct {
			Requests map[string]int64 `json:"requests"`
		}
		c.get(c.entries[i], bfapi.PathVars, &vars)
		answered := int64(0)
		for name, n := range vars.Requests {
			if strings.HasSuffix(name, "/answered") {
				answered += n
			}
		}
		if answered > most {
			best, most = i, answered
		}
	}
	if most == 0 {
		return nil, fmt.Errorf("bfbench: no entry without a data directory has answered a request")
	}
	return c.vms[best], nil
}

func freezeEntry(c *cluster) error {
	p, err := c.victim()
	if err == nil {
		p.freeze()
	}
	return err
}

func killEntry(c *cluster) error {
	p, err := c.victim()
	if err == nil {
		p.kill()
	}
	return err
}

func slowServer(c *cluster) error {
	server := c.servers(floodService)[0]
	return c.change(bfstandin.BehaviourChange{Address: server.Address.String()},
		map[string]any{"service_time": (10 * floodHold).String(), "reported_load": 0})
}

func stopAnnouncements(c *cluster) error {
	return c.change(bfstandin.BehaviourChange{Region: c.config.Regions[0].Name}, map[string]any{"announce_off": true})
}

func silenceConnections(c *cluster) error {
	return c.change(bfstandin.BehaviourChange{}, map[string]any{"silent": true})
}

func (c *cluster) change(to bfstandin.BehaviourChange, behaviour map[string]any) error {
	data, err := json.Marshal(behaviour)
	if err != nil {
		return fmt.Errorf("bfbench: %w", err)
	}
	to.Behaviour = data
	return c.behave(to)
}
