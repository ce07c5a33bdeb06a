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
	rolloutTimeout      = 15 * time.Second
	rolloutPollInterval = 200 * time.Millisecond
)

type applyFlags struct {
	entries, answers string
	security         clientFlags
	yes              bool
}

func applyCommand() *command {
	var f applyFlags
	return &command{
		name:     "apply",
		synopsis: "generate the configuration from an answers file, apply it, and wait until all VMs have it",
		flags: func(fs *flag.FlagSet) {
			fs.StringVar(&f.entries, "entries", "127.0.0.1:7000", "HTTP addresses (IP:port) of entries, comma separated; tried in this order")
			fs.StringVar(&f.answers, "answers", "answers.json", "answers file to read")
			f.security.registerToken(fs)
			fs.BoolVar(&f.yes, "yes", false, "do not print the changes before applying them")
		},
		run: func(ctx context.Context, _ []string) error { return f.run(ctx) },
	}
}

func (f *applyFlags) run(ctx context.Context) error {
	var v validator
	client := f.security.newOperatorClient(&v, f.entries)
	if err := v.findings.Err(); err != nil {
		return err
	}
	next, _, err := generateFromFile(f.answers)
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
	return waitForRollout(ctx, client)
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

// waitForRollout prints the configuration versions of the VMs each time one changes. It
// returns when all are the same, or an error after rolloutTimeout.
func waitForRollout(ctx context.Context, client *operatorClient) error {
	deadline := time.Now().Add(rolloutTimeout)
	last := ""
	for {
		s, err := client.status(ctx)
		if err == nil {
			line, same := "", true
			for _, vm := range s.VMs {
				line += fmt.Sprintf("%s=%d ", vm.Name, vm.ConfigVersion)
				same = same && vm.ConfigVersion == s.VMs[0].ConfigVersion
			}
			if line != last {
				fmt.Println(line)
				last = line
			}
			if same && len(s.VMs) > 0 {
				return nil
			}
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("bfcommand: the VMs did not report the same configuration version within %s; check them with \"briarferry status\"", rolloutTimeout)
		}
		time.Sleep(rolloutPollInterval)
	}
}
