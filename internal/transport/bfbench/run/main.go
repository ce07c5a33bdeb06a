// Command run measures the request path through the system's real processes.
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

// parts are the measurements by name, in the order in which they run.
var parts = []struct {
	name string
	run  func(ctx context.Context, w io.Writer, program string, seed uint64) error
}{
	{"spread", bfbench.Spread},
	{"entry", bfbench.Entry},
	{"flood", bfbench.Flood},
	{"claims", bfbench.Claims},
	{"faults", bfbench.Faults},
}

func main() {
	program := flag.String("program", "bin/briarferry", "the system's program")
	only := flag.String("parts", "", "parts to run, comma separated; empty for all")
	repeat := flag.Int("repeat", 1, "how often to run each part")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, *program, *only, *repeat); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, program, only string, repeat int) error {
	for _, p := range parts {
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
