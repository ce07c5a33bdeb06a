// Package bfconfig generates a configuration from an operator's answers file.
package bfconfig

import (
	"fmt"

	"briarferry"
)

// AnswersFormat is the value of the format field in an answers file. It includes the
// version of the format.
const AnswersFormat = "briarferry_answers/1"

const (
	maxClasses = 4
)

type (
	// Answers is the content of an answers file: an operator's description of the regions
	// and services.
	Answers struct {
		Format   string          `json:"format"`
		Regions  []RegionAnswer  `json:"regions"`
		Delays   DelayAnswers    `json:"delays"`
		LinkMbit int             `json:"link_mbit"`
		Classes  []ClassAnswer   `json:"classes"`
		Services []ServiceAnswer `json:"services"`
		Limits   LimitAnswers    `json:"limits"`
	}

	// RegionAnswer is a region with its failure domains.
	RegionAnswer struct {
		Name           string   `json:"name"`
		FailureDomains []string `json:"failure_domains"`
	}

	// DelayAnswers holds one-way network delays.
	DelayAnswers struct {
		BetweenRegions        briarferry.Duration `json:"between_regions"`
		BetweenFailureDomains briarferry.Duration `json:"between_failure_domains"`
		ToCallers             briarferry.Duration `json:"to_callers"`
	}

	// ClassAnswer is a priority class. The list of classes is ordered, most urgent
	// first.
	ClassAnswer struct {
		Name   string              `json:"name"`
		Target briarferry.Duration `json:"target"`
		// FloorShare is optional; 0 means the default.
		FloorShare float64 `json:"floor_share,omitempty"`
	}

	// ServiceAnswer is a service with its usual number of backend servers.
	ServiceAnswer struct {
		Name            string              `json:"name"`
		Class           string              `json:"class"`
		Idempotent      bool                `json:"idempotent"`
		Servers         int                 `json:"servers"`
		Slots           int                 `json:"slots"`
		ExpectedLatency briarferry.Duration `json:"expected_latency"`
		// Regions is optional; an empty list means all regions.
		Regions []string `json:"regions,omitempty"`
	}

	// LimitAnswers holds optional limits; 0 means the default.
	LimitAnswers struct {
		CapacityShare  float64             `json:"capacity_share,omitempty"`
		ShiftCapShare  float64             `json:"shift_cap_share,omitempty"`
		ClaimRetention briarferry.Duration `json:"claim_retention,omitempty"`
		ClaimCapacity  int                 `json:"claim_capacity,omitempty"`
	}
)

// Validate reports the fields of the answers that are out of range.
func (a *Answers) Validate() briarferry.Findings {
	var f briarferry.Findings
	if a.Format != AnswersFormat {
		f.Add("format", "must be %q", AnswersFormat)
	}
	if a.LinkMbit < 1 {
		f.Add("link_mbit", "must be at least 1")
	}
	if a.Delays.BetweenRegions < 0 || a.Delays.BetweenFailureDomains < 0 || a.Delays.ToCallers < 0 {
		f.Add("delays", "must not be negative")
	}
	if n := len(a.Classes); n < 1 || n > maxClasses {
		f.Add("classes", "must have 1 to %d entries", maxClasses)
	}
	if len(f) > 0 {
		return f
	}
	// The remaining fields are validated in the generated configuration, where they have
	// the same paths.
	cfg, _ := generate(a)
	return cfg.Validate()
}

func (a *Answers) class(name string) (int, bool) {
	for i, c := range a.Classes {
		if c.Name == name {
			return i, true
		}
	}
	return 0, false
}

// fieldPath returns the path of a field of the i-th item of a list.
func fieldPath(list string, i int, field string) string {
	return fmt.Sprintf("%s[%d].%s", list, i, field)
}
