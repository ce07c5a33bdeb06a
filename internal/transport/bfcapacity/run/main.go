// Command run measures the control overhead of the system and the cost of look-ups, and
// writes the capacity page.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"briarferry/internal/transport/bfcapacity"
)

func main() {
	out := flag.String("out", "", "file to write the page to; empty for standard output")
	revision := flag.String("revision", "unknown", "source revision to print on the page")
	sweep := flag.String("sweep", "", "file with the growth of routed deployments, which is added to the page")
	policies := flag.Bool("policies", false, "only compare the planner with the nearest-site policy and print the table")
	flag.Parse()
	if err := run(*out, *revision, *sweep, *policies); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(out, revision, sweep string, policies bool) error {
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
	if err := appendFile(w, sweep); err != nil {
		return err
	}
	return w.Close()
}

// appendFile writes the content of the named file to w; without a name it writes nothing.
func appendFile(w io.Writer, name string) error {
	if name == "" {
		return nil
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return fmt.Errorf("bfcapacity: %w", err)
	}
	if _, err := fmt.Fprintf(w, "\n%s", data); err != nil {
		return fmt.Errorf("bfcapacity: %w", err)
	}
	return nil
}
