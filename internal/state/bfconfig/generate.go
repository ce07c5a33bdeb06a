package bfconfig

import (
	"fmt"

	"briarferry"
)

const (
	defaultFloorShare    = 0.1
	defaultCapacityShare = 0.9
	firstUrgency         = 1
	urgencyStep          = 2
)

type (
	// Explanation gives the reason for a derived value. Place is the path of the value.
	Explanation struct {
		Place  string `json:"place"`
		Value  string `json:"value"`
		Reason string `json:"reason"`
	}

	generator struct {
		answers      *Answers
		explanations []Explanation
	}
)

// Generate generates a configuration from the answers and explains each derived value.
// The version of the configuration is 0; it is assigned when the configuration is applied.
func Generate(a *Answers) (*briarferry.Config, []Explanation, error) {
	if err := a.Validate().Err(); err != nil {
		return nil, nil, err
	}
	cfg, explanations := generate(a)
	return cfg, explanations, nil
}

func generate(a *Answers) (*briarferry.Config, []Explanation) {
	g := &generator{answers: a}
	cfg := &briarferry.Config{
		Regions:  g.regions(),
		Links:    g.links(),
		Classes:  g.classes(),
		Services: g.services(),
		Limits:   g.limits(),
	}
	return cfg, g.explanations
}

func (g *generator) explain(path string, value any, reason string) {
	g.explanations = append(g.explanations, Explanation{Place: path, Value: fmt.Sprint(value), Reason: reason})
}

func (g *generator) regions() []briarferry.Region {
	share := g.answers.Limits.CapacityShare
	reason := "given in the answers"
	if share == 0 {
		share, reason = defaultCapacityShare, "default: leaves a tenth of a region's slots for bursts"
	}
	out := []briarferry.Region{}
	for i, r := range g.answers.Regions {
		out = append(out, briarferry.Region{Name: r.Name, FailureDomains: r.FailureDomains, CapacityShare: share})
		g.explain(fieldPath("regions", i, "capacity_share"), share, reason)
	}
	return out
}

func (g *generator) links() []briarferry.Link {
	out := []briarferry.Link{}
	for i, from := range g.answers.Regions {
		for _, to := range g.answers.Regions[i+1:] {
			l := briarferry.Link{
				Regions: [2]string{from.Name, to.Name}, Mbit: g.answers.LinkMbit, OneWayDelay: g.answers.Delays.BetweenRegions,
			}
			g.explain(fieldPath("links", len(out), "mbit"), l.Mbit, "the answers give one link capacity for all pairs of regions")
			out = append(out, l)
		}
	}
	return out
}

func (g *generator) classes() []briarferry.PriorityClass {
	out := []briarferry.PriorityClass{}
	for i, c := range g.answers.Classes {
		class := briarferry.PriorityClass{
			Name: c.Name, Urgency: firstUrgency + urgencyStep*i, Target: c.Target, FloorShare: c.FloorShare,
		}
		if class.FloorShare == 0 && i > 0 {
			class.FloorShare = defaultFloorShare
			g.explain(fieldPath("classes", i, "floor_share"), class.FloorShare, "default for a class below the most urgent one")
		}
		g.explain(fieldPath("classes", i, "urgency"), class.Urgency, "follows the order of the classes; the steps leave room for callers that lower their urgency")
		out = append(out, class)
	}
	return out
}

func (g *generator) services() []briarferry.Service {
	out := []briarferry.Service{}
	for i, s := range g.answers.Services {
		rank, known := g.answers.class(s.Class)
		service := briarferry.Service{
			Name: s.Name, Class: s.Class, Idempotent: s.Idempotent, Hedge: s.Idempotent && known && rank == 0,
			Slots: s.Slots, Servers: s.Servers, ExpectedLatency: s.ExpectedLatency, Regions: s.Regions,
		}
		g.explain(fieldPath("services", i, "hedge"), service.Hedge, "hedging is for idempotent services of the most urgent class")
		out = append(out, service)
	}
	return out
}

func (g *generator) limits() briarferry.Limits {
	l, a := briarferry.DefaultLimits(), g.answers.Limits
	if a.ShiftCapShare != 0 {
		l.ShiftCapShare = a.ShiftCapShare
	}
	if a.ClaimRetention != 0 {
		l.ClaimRetention = a.ClaimRetention
	}
	if a.ClaimCapacity != 0 {
		l.ClaimCapacity = a.ClaimCapacity
	}
	g.explain("limits.shift_cap_share", l.ShiftCapShare, "share of a region's capacity that may move in one interval")
	g.explain("limits.claim_retention", l.ClaimRetention.Std(), "resends of overnight settlements must still find their claim")
	g.explain("limits.claim_capacity", l.ClaimCapacity, "bounds the memory of the control replicas")
	return l
}
