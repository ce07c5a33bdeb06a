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
	// Explanation gives the reason for one derived value.
	Explanation struct {
		Place  string `json:"place"`
		Value  string `json:"value"`
		Reason string `json:"reason"`
	}

	builder struct {
		answers      *Answers
		explanations []Explanation
	}
)

// Generate makes the configuration and explains each derived value. Its version is
// 0; the version in force is given when the configuration is applied.
func Generate(a *Answers) (*briarferry.Config, []Explanation, error) {
	if err := a.Validate().Err(); err != nil {
		return nil, nil, err
	}
	cfg, explanations := build(a)
	return cfg, explanations, nil
}

func build(a *Answers) (*briarferry.Config, []Explanation) {
	b := &builder{answers: a}
	cfg := &briarferry.Config{
		Regions:  b.regions(),
		Links:    b.links(),
		Classes:  b.classes(),
		Services: b.services(),
		Limits:   b.limits(),
	}
	return cfg, b.explanations
}

func (b *builder) explain(place string, value any, reason string) {
	b.explanations = append(b.explanations, Explanation{Place: place, Value: fmt.Sprint(value), Reason: reason})
}

func (b *builder) regions() []briarferry.Region {
	share := b.answers.Limits.CapacityShare
	reason := "given in the answers"
	if share == 0 {
		share, reason = defaultCapacityShare, "default: leaves a tenth of a region's slots for bursts"
	}
	out := []briarferry.Region{}
	for i, r := range b.answers.Regions {
		out = append(out, briarferry.Region{Name: r.Name, FailureDomains: r.FailureDomains, CapacityShare: share})
		b.explain(place("regions", i, "capacity_share"), share, reason)
	}
	return out
}

func (b *builder) links() []briarferry.Link {
	out := []briarferry.Link{}
	for i, from := range b.answers.Regions {
		for _, to := range b.answers.Regions[i+1:] {
			l := briarferry.Link{
				Regions: [2]string{from.Name, to.Name}, Mbit: b.answers.LinkMbit, OneWayDelay: b.answers.Delays.BetweenRegions,
			}
			b.explain(place("links", len(out), "mbit"), l.Mbit, "each pair of regions has the link of the answers")
			out = append(out, l)
		}
	}
	return out
}

func (b *builder) classes() []briarferry.PriorityClass {
	out := []briarferry.PriorityClass{}
	for i, c := range b.answers.Classes {
		class := briarferry.PriorityClass{
			Name: c.Name, Urgency: firstUrgency + urgencyStep*i, Target: c.Target, FloorShare: c.FloorShare,
		}
		if class.FloorShare == 0 && i > 0 {
			class.FloorShare = defaultFloorShare
			b.explain(place("classes", i, "floor_share"), class.FloorShare, "default for a class below the most urgent one")
		}
		b.explain(place("classes", i, "urgency"), class.Urgency, "order of the classes; the steps leave room for callers who lower theirs")
		out = append(out, class)
	}
	return out
}

func (b *builder) services() []briarferry.Service {
	out := []briarferry.Service{}
	for i, s := range b.answers.Services {
		rank, known := b.answers.class(s.Class)
		service := briarferry.Service{
			Name: s.Name, Class: s.Class, Idempotent: s.Idempotent, Hedge: s.Idempotent && known && rank == 0,
			Slots: s.Slots, Servers: s.Servers, Expected: s.ExpectedLatency, Regions: s.Regions,
		}
		b.explain(place("services", i, "hedge"), service.Hedge, "hedging is for idempotent services of the most urgent class")
		out = append(out, service)
	}
	return out
}

func (b *builder) limits() briarferry.Limits {
	l, a := briarferry.DefaultLimits(), b.answers.Limits
	if a.ShiftCapShare != 0 {
		l.ShiftCapShare = a.ShiftCapShare
	}
	if a.ClaimRetention != 0 {
		l.ClaimRetention = a.ClaimRetention
	}
	if a.ClaimCapacity != 0 {
		l.ClaimCapacity = a.ClaimCapacity
	}
	b.explain("limits.shift_cap_share", l.ShiftCapShare, "share of a region's capacity that may move in one interval")
	b.explain("limits.claim_retention", l.ClaimRetention.Std(), "resends of overnight settlements must still find their claim")
	b.explain("limits.claim_capacity", l.ClaimCapacity, "bounds the memory of the control replicas")
	return l
}
