// Package bfcommand is the command line.
package bfcommand

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
	"github.com/peterbourgon/ff/v3"

	"briarferry"
)

const envPrefix = "BRIARFERRY"

const (
	exitDone   subcommands.ExitStatus = 0
	exitFailed subcommands.ExitStatus = 1
	// exitUsage stands for bad flags, bad environment variables and bad input files.
	exitUsage subcommands.ExitStatus = 2
)

// command adapts one subcommand: flags come from the command line, then from the
// environment, and every finding is reported before anything runs.
type command struct {
	name     string
	synopsis string
	flags    func(fs *flag.FlagSet)
	run      func(ctx context.Context, args []string) error
}

// Main runs the command that args name and returns the exit code.
func Main(args []string) int {
	fs := flag.NewFlagSet(args[0], flag.ContinueOnError)
	c := subcommands.NewCommander(fs, args[0])
	c.Register(c.HelpCommand(), "")
	for _, cmd := range []*command{serveCommand(), entryCommand(), controlCommand(), explainCommand(), standinCommand(), loadCommand(), lookupCommand(),
		answersCommand(), generateCommand(), checkCommand(), applyCommand(), drainCommand(), statusCommand(),
		certificatesCommand(),
	} {
		c.Register(cmd, "")
	}
	if err := fs.Parse(args[1:]); err != nil {
		return int(exitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return int(c.Execute(ctx))
}

// Name returns the command's name.
func (c *command) Name() string { return c.name }

// Synopsis returns one line of help.
func (c *command) Synopsis() string { return c.synopsis }

// Usage returns the help text above the flags.
func (c *command) Usage() string {
	return fmt.Sprintf("%s: %s\nEach flag can be set by the environment variable %s_NAME (upper case, dashes as underscores).\n",
		c.name, c.synopsis, envPrefix)
}

// SetFlags registers the command's flags.
func (c *command) SetFlags(fs *flag.FlagSet) { c.flags(fs) }

// Execute reads the environment and runs the command.
func (c *command) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := ff.Parse(fs, fs.Args(), ff.WithEnvVarPrefix(envPrefix)); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	err := c.run(ctx, fs.Args())
	var findings briarferry.Findings
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &findings):
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	default:
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
}
