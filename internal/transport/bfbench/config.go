package bfbench

import (
	"fmt"
	"time"

	"briarferry"
	"briarferry/internal/state/bfconfig"
)

// priorityClasses are the priority classes in all benchmarks, most urgent first.
var priorityClasses = []bfconfig.ClassAnswer{
	{Name: "urgent", Target: briarferry.Duration(500 * time.Millisecond)},
	{Name: "normal", Target: briarferry.Duration(time.Second), FloorShare: 0.1},
	{Name: "batch", Target: briarferry.Duration(2 * time.Second), FloorShare: 0.1},
}

// newConfig returns a configuration for three regions on loopback, whose delays are
// negligible.
func newConfig(services ...bfconfig.ServiceAnswer) (*briarferry.Config, error) {
	a := &bfconfig.Answers{
		Format: bfconfig.AnswersFormat, LinkMbit: 4000, Classes: priorityClasses, Services: services,
		Delays: bfconfig.DelayAnswers{
			BetweenRegions:        briarferry.Duration(time.Millisecond),
			BetweenFailureDomains: briarferry.Duration(time.Millisecond),
			ToCallers:             briarferry.Duration(time.Millisecond),
		},
	}
	for _, name := range []string{"Recife", "Fortaleza", "Salvador"} {
		a.Regions = append(a.Regions, bfconfig.RegionAnswer{Name: name, FailureDomains: []string{name + "-a", name + "-b"}})
	}
	cfg, _, err := bfconfig.Generate(a)
	if err != nil {
		return nil, fmt.Errorf("bfbench: %w", err)
	}
	return cfg, nil
}

func newService(name, class string, servers, slots int, expected time.Duration) bfconfig.ServiceAnswer {
	return bfconfig.ServiceAnswer{
		Name: name, Class: class, Idempotent: true, Servers: servers, Slots: slots,
		ExpectedLatency: briarferry.Duration(expected),
	}
}
