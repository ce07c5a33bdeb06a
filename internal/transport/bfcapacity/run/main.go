// Command run measures the control overhead of the system and the cost of look-ups, and
// writes the capacity page.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"

	"briarferry/internal/transport/bfcapacity"
)

func main() {
	out := flag.String("out", "", "file to write the page to; empty for standard output")
	revision := flag.String("revision", "unknown", "source revision to print on the page")
	policies := flag.Bool("policies", false, "only compare the planner with the nearest-site policy and print the table")
	flag.Parse()
	if err := run(*out, *revision, *policies); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(out, revision string, policies bool) error {
	if policies {
		results, err := bfcapacity.ComparePolicies(90_000)
		if err == nil {
			bfcapacity.WritePolicies(os.Stdout, results)
		}
		return err
	}
	began := time.Now()
	m, err := bfcapacity.Measure()
	if err != nil {
		return err
	}
	w := os.Stdout
	if out != "" {
		if w, err = os.Create(out); err != nil {
			return fmt.Errorf("bfcapacity: %w", err)
		}
	}
	if err := m.WritePage(w, revision, began, time.Since(began)); err != nil {
		return err
	}
	return w.Close()
}
