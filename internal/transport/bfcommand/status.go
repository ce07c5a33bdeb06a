package bfcommand

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"briarferry/internal/protocol/bfapi"
)

const watchInterval = time.Second

func statusCommand() *command {
	var entries string
	var security clientFlags
	var asJSON, watch bool
	return &command{
		name:     "status",
		synopsis: "show VMs, services, drains, placement and degraded functions",
		flags: func(fs *flag.FlagSet) {
			fs.StringVar(&entries, "entries", "127.0.0.1:7000", "HTTP addresses (IP:port) of entries, comma separated; tried in this order")
			security.register(fs)
			fs.BoolVar(&asJSON, "json", false, "print JSON instead of tables")
			fs.BoolVar(&watch, "watch", false, "print the status every second until interrupted")
		},
		run: func(ctx context.Context, _ []string) error {
			var v validator
			client := security.newOperatorClient(&v, entries)
			if err := v.findings.Err(); err != nil {
				return err
			}
			for {
				s, err := client.status(ctx)
				if err != nil {
					return err
				}
				if err := printStatus(os.Stdout, s, asJSON); err != nil || !watch {
					return err
				}
				select {
				case <-ctx.Done():
					return nil
				case <-time.After(watchInterval):
					fmt.Println()
				}
			}
		},
	}
}

func printStatus(w io.Writer, s *bfapi.Status, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(w).Encode(s)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "VM\tREGION\tFAILURE DOMAIN\tROLE\tREADY\tVERSION\tCHECKSUM\tLEASE")
	for _, vm := range s.VMs {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%t\t%d\t%s\t%.1fs\n", vm.Name, vm.Region, vm.FailureDomain, vm.Role,
			vm.Ready, vm.ConfigVersion, vm.ConfigChecksum, vm.LeaseSeconds)
	}
	fmt.Fprintln(t, "\nSERVICE\tREGION\tSERVERS\tDRAINING\tSLOTS\tIN FLIGHT\tQUEUE\tREFUSED")
	for _, service := range s.Services {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\n", service.Service, service.Region, service.Servers,
			service.Draining, service.Slots, service.InFlight, service.Queue, formatCounts(service.Refused))
	}
	if len(s.Drains) > 0 {
		fmt.Fprintln(t, "\nDRAIN\tKIND\tTARGET\tSTATE\tIN FLIGHT")
	}
	for _, d := range s.Drains {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\n", d.ID, d.Kind, d.Target, d.State, d.InFlight)
	}
	printPlacement(t, s.Placement)
	for _, reason := range s.Degraded {
		fmt.Fprintf(t, "degraded: %s\n", reason)
	}
	return t.Flush()
}

func printPlacement(w io.Writer, p *bfapi.PlacementStatus) {
	if p == nil {
		return
	}
	fmt.Fprintf(w, "\nplacement %d: %d blocks, %d above a shift cap, planned in %.1f ms\n", p.Version, p.Blocks, p.OversizeBlocks, p.StepMillis)
	fmt.Fprintln(w, "REGION\tCAPACITY\tPLANNED\tMEASURED\tSHIFTED\tCAP\tSILENT")
	for _, r := range p.Regions {
		fmt.Fprintf(w, "%s\t%.1f\t%.1f\t%.1f\t%.2f\t%.2f\t%d\n", r.Region, r.Capacity, r.Planned, r.Measured, r.Shifted, r.ShiftCap, r.StaleSites)
	}
	for _, h := range p.Held {
		fmt.Fprintf(w, "held back: %s: %s (%d blocks, %.1f slots)\n", h.Region, h.Reason, h.Blocks, h.Load)
	}
	for _, h := range p.Refused {
		fmt.Fprintf(w, "refused: %s: class %s (%.1f slots)\n", h.Region, h.Reason, h.Load)
	}
}

func formatCounts(counts map[string]int64) string {
	parts := make([]string, 0, len(counts))
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s=%d", name, counts[name]))
	}
	return strings.Join(parts, " ")
}
