package bfconfig

import (
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"

	"briarferry"
)

func example(t *testing.T, name string) *Answers {
	t.Helper()
	data, err := os.ReadFile("../../../examples/" + name + ".answers.json")
	if err != nil {
		t.Fatal(err)
	}
	a := &Answers{}
	if err := json.Unmarshal(data, a); err != nil {
		t.Fatal(err)
	}
	return a
}

// TestExamplesGenerate guards against example answers that no longer generate a valid
// configuration.
func TestExamplesGenerate(t *testing.T) {
	for _, name := range []string{"mantas", "khetbari"} {
		cfg, explanations, err := Generate(example(t, name))
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if len(cfg.Regions) != 3 || len(cfg.Links) != 3 || len(cfg.Services) != 3 || len(explanations) == 0 {
			t.Errorf("%s: got %d regions, %d links, %d services, %d explanations", name,
				len(cfg.Regions), len(cfg.Links), len(cfg.Services), len(explanations))
		}
	}
}

// TestFindingsAreCollected guards against a validation that stops at the first finding.
func TestFindingsAreCollected(t *testing.T) {
	a := example(t, "mantas")
	a.Services[2].Slots = 0
	a.Services[0].Class = "gold"
	a.Regions[1].Name = "Recife"
	got := a.Validate().Error()
	for _, want := range []string{"services[2].slots: must be at least 1", "services[0].class: names no class", "regions[1].name: stands twice"} {
		if !strings.Contains(got, want) {
			t.Errorf("findings lack %q:\n%s", want, got)
		}
	}
}

// TestDiffMatchesItemsByName guards against a diff in which an inserted item makes other
// items differ.
func TestDiffMatchesItemsByName(t *testing.T) {
	from, _, err := Generate(example(t, "mantas"))
	if err != nil {
		t.Fatal(err)
	}
	to, _, _ := Generate(example(t, "mantas"))
	to.Services[2].Slots = 4
	to.Services = append([]briarferry.Service{{Name: "new", Class: "quotes", Slots: 1, ExpectedLatency: briarferry.Duration(time.Second)}}, to.Services...)
	diff, err := Diff(from, to)
	if err != nil {
		t.Fatal(err)
	}
	for _, d := range diff {
		if d.Place != "services[order-desk].slots" && !strings.HasPrefix(d.Place, "services[new].") {
			t.Errorf("unexpected difference at %s", d.Place)
		}
	}
	if len(diff) < 2 {
		t.Errorf("got %d differences, want at least 2", len(diff))
	}
}
