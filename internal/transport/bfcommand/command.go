// Package bfcommand is the command line.
package bfcommand

import (
	"context"
	"flag"

	"github.com/google/subcommands"
)

// Main runs the command that args name and returns the exit code.
func Main(args []string) int {
	fs := flag.NewFlagSet(args[0], flag.ContinueOnError)
	c := subcommands.NewCommander(fs, args[0])
	c.Register(c.HelpCommand(), "")
	if err := fs.Parse(args[1:]); err != nil {
		return int(subcommands.ExitUsageError)
	}
	return int(c.Execute(context.Background()))
}
