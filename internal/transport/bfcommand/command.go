// Package bfcommand implements the subcommands of the briarferry program: it reads flags
// and environment variables, validates them and runs the subcommand.
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
	exitOK     subcommands.ExitStatus = 0
	exitFailed subcommands.ExitStatus = 1
	// exitUsage is the exit code for invalid flags, environment variables and input files.
	exitUsage subcommands.ExitStatus = 2
)

// command implements subcommands.Command. Flags on the command line take precedence over
// environment variables. A command reports all invalid settings together before it does
// any work.
type command struct {
	name     string
	synopsis string
	flags    func(fs *flag.FlagSet)
	run      func(ctx context.Context, args []string) error
}

// Main runs the subcommand that args select and returns the exit code. args[0] is the name
// of the program.
func Main(args []string) int {
	fs := flag.NewFlagSet(args[0], flag.ContinueOnError)
	c := subcommands.NewCommander(fs, args[0])
	c.Register(c.HelpCommand(), "")
	for _, cmd := range []*command{serveCommand(), entryCommand(), controlCommand(), explainCommand(), standinCommand(), loadCommand(), lookupCommand(),
		answersCommand(), generateCommand(), checkCommand(), applyCommand(), drainCommand(), statusCommand(),
		certificatesCommand(), keysCommand(),
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

// Name returns the name of the subcommand.
func (c *command) Name() string { return c.name }

// Synopsis returns the one-line description that the list of subcommands shows.
func (c *command) Synopsis() string { return c.synopsis }

// Usage returns the help text that precedes the list of flags.
func (c *command) Usage() string {
	return fmt.Sprintf("%s: %s\nA flag that is not given is read from the environment variable %s_FLAG, where FLAG is its name in upper case with underscores for dashes.\n",
		c.name, c.synopsis, envPrefix)
}

// SetFlags registers the flags of the subcommand.
func (c *command) SetFlags(fs *flag.FlagSet) { c.flags(fs) }

// Execute sets the remaining flags from environment variables and runs the subcommand.
func (c *command) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := ff.Parse(fs, fs.Args(), ff.WithEnvVarPrefix(envPrefix)); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	err := c.run(ctx, fs.Args())
	var findings briarferry.Findings
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &findings):
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	default:
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
}
