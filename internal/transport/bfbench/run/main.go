// Command run measures the request path through running processes of the system.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"briarferry/internal/transport/bfbench"
)

// benchmarks lists the benchmarks in the order in which they run.
var benchmarks = []struct {
	name string
	run  func(ctx context.Context, w io.Writer, program string, seed uint64) error
}{
	{"spread", bfbench.LoadSpread},
	{"entry", bfbench.EntryOverhead},
	{"flood", bfbench.Overload},
	{"claims", bfbench.Claims},
	{"faults", bfbench.Faults},
}

func main() {
	program := flag.String("program", "bin/briarferry", "path of the briarferry executable")
	only := flag.String("parts", "", "comma-separated list of benchmarks to run; empty for all")
	repeat := flag.Int("repeat", 1, "number of runs of each benchmark")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, *program, *only, *repeat); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, program, only string, repeat int) error {
	for _, p := range benchmarks {
		if only != "" && !slices.Contains(strings.Split(only, ","), p.name) {
			continue
		}
		for i := range repeat {
			fmt.Printf("-- %s, run %d, %s, load average %s\n", p.name, i+1, time.Now().UTC().Format(time.DateTime), bfbench.LoadAverage())
			if err := p.run(ctx, os.Stdout, program, uint64(i+1)); err != nil {
				return err
			}
		}
	}
	return nil
}
