package bfcommand

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"time"

	"briarferry"
	"briarferry/internal/coordination/bfdrain"
	"briarferry/internal/protocol/bfapi"
)

const (
	drainPollInterval = 500 * time.Millisecond
)

type drainFlags struct {
	entries, kind, target, remove string
	security                      clientFlags
	wait                          time.Duration
}

func drainCommand() *command {
	var f drainFlags
	return &command{
		name:     "drain",
		synopsis: "start draining a backend server, VM, failure domain or region, or remove a drain",
		flags: func(fs *flag.FlagSet) {
			fs.StringVar(&f.entries, "entries", "127.0.0.1:7000", "HTTP addresses (IP:port) of entries, comma separated; tried in this order")
			fs.StringVar(&f.kind, "kind", "backend_server", "kind of the target: backend_server, vm, failure_domain or region")
			fs.StringVar(&f.target, "target", "", "address (IP:port) of the backend server, or name of the VM, failure domain or region")
			fs.StringVar(&f.remove, "remove", "", "ID of a drain to remove; --kind, --target and --wait are ignored")
			f.security.registerToken(fs)
			fs.DurationVar(&f.wait, "wait", 0, "maximum time to wait until the target has no requests in flight, such as 2m; 0 does not wait")
		},
		run: func(ctx context.Context, _ []string) error { return f.run(ctx) },
	}
}

func (f *drainFlags) run(ctx context.Context) error {
	var v validator
	client := f.security.newOperatorClient(&v, f.entries)
	if err := v.findings.Err(); err != nil {
		return err
	}
	header := map[string]string{bfapi.HeaderIdempotencyKey: bfapi.NewRequestID()}
	if f.remove != "" {
		resp, err := client.call(ctx, http.MethodDelete, bfapi.PathDrains+"/"+f.remove, header, nil)
		if err == nil && resp.status >= http.StatusBadRequest {
			err = problemError(resp)
		}
		return err
	}
	drain := briarferry.Drain{Kind: briarferry.DrainKind(f.kind), Target: f.target}
	if err := drain.Validate().Err(); err != nil {
		return err
	}
	resp, err := client.call(ctx, http.MethodPost, bfapi.PathDrains, header, drain)
	if err != nil {
		return err
	}
	if resp.status >= http.StatusBadRequest {
		return problemError(resp)
	}
	if err := json.Unmarshal(resp.body, &drain); err != nil {
		return fmt.Errorf("bfcommand: decode drain: %w", err)
	}
	fmt.Printf("drain %s: %s %s\n", drain.ID, drain.Kind, drain.Target)
	if f.wait <= 0 {
		return nil
	}
	return waitUntilEmpty(ctx, client, drain.ID, f.wait)
}

// waitUntilEmpty prints the state of a drain until its target has no requests in flight, and
// returns an error if that takes longer than timeout.
func waitUntilEmpty(ctx context.Context, client *operatorClient, id string, timeout time.Duration) error {
	start := time.Now()
	for time.Since(start) < timeout {
		s, err := client.status(ctx)
		if err != nil {
			return err
		}
		for _, d := range s.Drains {
			if d.ID != id {
				continue
			}
			fmt.Fprintf(os.Stdout, "%5.1fs %s, %d in flight\n", time.Since(start).Seconds(), d.State, d.InFlight)
			if d.State == string(bfdrain.StateEmpty) {
				return nil
			}
		}
		time.Sleep(drainPollInterval)
	}
	return fmt.Errorf("bfcommand: drain %s is not empty after %s; it stays in force, see \"briarferry status\"", id, timeout)
}
