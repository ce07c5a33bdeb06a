package bfcommand

import (
	"context"
	"flag"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"briarferry"
	"briarferry/internal/state/bfconfig"
)

const (
	spreadWithin = 15 * time.Second
	spreadPoll   = 200 * time.Millisecond
)

type applyFlags struct {
	entries, answers string
	client           clientFlags
	yes              bool
}

func applyCommand() *command {
	var f applyFlags
	return &command{
		name:     "apply",
		synopsis: "put the configuration made from an answers file in force, and show it spread",
		flags: func(fs *flag.FlagSet) {
			fs.StringVar(&f.entries, "entries", "127.0.0.1:7000", "HTTP addresses of entries, comma separated")
			fs.StringVar(&f.answers, "answers", "answers.json", "answers file")
			f.client.registerToken(fs)
			fs.BoolVar(&f.yes, "yes", false, "apply without showing the difference first")
		},
		run: func(ctx context.Context, _ []string) error { return f.run(ctx) },
	}
}

func (f *applyFlags) run(ctx context.Context) error {
	var v values
	client := f.client.operator(&v, f.entries)
	if err := v.findings.Err(); err != nil {
		return err
	}
	next, _, err := generateFrom(f.answers)
	if err != nil {
		return err
	}
	current, etag, err := client.config(ctx)
	if err != nil {
		return err
	}
	if !f.yes {
		if err := printDiff(current, next); err != nil {
			return err
		}
	}
	next.Version = current.Version
	if err := client.putConfig(ctx, next, etag); err != nil {
		return err
	}
	return waitSpread(ctx, client)
}

func printDiff(current, next *briarferry.Config) error {
	diff, err := bfconfig.Diff(current, next)
	if err != nil {
		return err
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, d := range diff {
		fmt.Fprintf(t, "%s\t%s\t->\t%s\n", d.Place, d.From, d.To)
	}
	return t.Flush()
}

// waitSpread prints each VM's version until all agree.
func waitSpread(ctx context.Context, client *operatorClient) error {
	deadline := time.Now().Add(spreadWithin)
	last := ""
	for {
		s, err := client.status(ctx)
		if err == nil {
			line, agree := "", true
			for _, vm := range s.VMs {
				line += fmt.Sprintf("%s=%d ", vm.Name, vm.ConfigVersion)
				agree = agree && vm.ConfigVersion == s.VMs[0].ConfigVersion
			}
			if line != last {
				fmt.Println(line)
				last = line
			}
			if agree && len(s.VMs) > 0 {
				return nil
			}
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("bfcommand: not every VM shows the new version after %s", spreadWithin)
		}
		time.Sleep(spreadPoll)
	}
}
