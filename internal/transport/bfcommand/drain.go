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
	drainPoll = 500 * time.Millisecond
)

type drainFlags struct {
	entries, kind, target, remove string
	client                        clientFlags
	wait                          time.Duration
}

func drainCommand() *command {
	var f drainFlags
	return &command{
		name:     "drain",
		synopsis: "announce a drain, follow it until empty, or end it",
		flags: func(fs *flag.FlagSet) {
			fs.StringVar(&f.entries, "entries", "127.0.0.1:7000", "HTTP addresses of entries, comma separated")
			fs.StringVar(&f.kind, "kind", "backend_server", "backend_server, vm, failure_domain or region")
			fs.StringVar(&f.target, "target", "", "address of the backend server, or name of the VM, failure domain or region")
			fs.StringVar(&f.remove, "remove", "", "id of a drain to end")
			f.client.registerToken(fs)
			fs.DurationVar(&f.wait, "wait", 0, "how long to wait until the target is empty; 0 for not at all")
		},
		run: func(ctx context.Context, _ []string) error { return f.run(ctx) },
	}
}

func (f *drainFlags) run(ctx context.Context) error {
	var v values
	client := f.client.operator(&v, f.entries)
	if err := v.findings.Err(); err != nil {
		return err
	}
	header := map[string]string{bfapi.HeaderIdempotencyKey: bfapi.NewRequestID()}
	if f.remove != "" {
		a, err := client.call(ctx, http.MethodDelete, bfapi.PathDrains+"/"+f.remove, header, nil)
		if err == nil && a.status >= http.StatusBadRequest {
			err = problemError(a)
		}
		return err
	}
	order := briarferry.Drain{Kind: briarferry.DrainKind(f.kind), Target: f.target}
	if err := order.Validate().Err(); err != nil {
		return err
	}
	a, err := client.call(ctx, http.MethodPost, bfapi.PathDrains, header, order)
	if err != nil {
		return err
	}
	if a.status >= http.StatusBadRequest {
		return problemError(a)
	}
	if err := json.Unmarshal(a.body, &order); err != nil {
		return fmt.Errorf("bfcommand: read drain: %w", err)
	}
	fmt.Printf("drain %s: %s %s\n", order.ID, order.Kind, order.Target)
	if f.wait <= 0 {
		return nil
	}
	return waitEmpty(ctx, client, order.ID, f.wait)
}

// waitEmpty follows a drain until its target has no request in flight.
func waitEmpty(ctx context.Context, client *operatorClient, id string, within time.Duration) error {
	start := time.Now()
	for time.Since(start) < within {
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
		time.Sleep(drainPoll)
	}
	return fmt.Errorf("bfcommand: drain %s is not empty after %s", id, within)
}
