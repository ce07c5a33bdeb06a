package bfplacement

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// TestMain sets and prints the seed of the property tests, so that a run can be repeated.
// -rapid.seed and -rapid.checks override the defaults.
func TestMain(m *testing.M) {
	set := func(name, defaultValue, value string) {
		if f := flag.Lookup(name); f.Value.String() == defaultValue {
			_ = flag.Set(name, value)
		}
	}
	set("rapid.seed", "0", "20261204")
	set("rapid.checks", "100", "1000")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	fmt.Printf("rapid seed %s, %s cases\n", flag.Lookup("rapid.seed").Value, flag.Lookup("rapid.checks").Value)
	os.Exit(m.Run())
}
