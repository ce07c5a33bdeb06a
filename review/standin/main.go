// Command standin plays the cases of the review: it starts control and entry processes with
// the commands of the deploy file on loopback addresses, and stand-ins of backend servers,
// callers and an operator that keep to the pages of the platform.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRun is how long a case may run before all its processes are ended.
const maxRun = 110 * time.Second

// errBroken is returned by a case that saw the rule broken.
var errBroken = errors.New("the rule was broken")

var cases = map[string]func(c *cluster, trouble bool) error{
	"dead-voters":  runDeadVoters,
	"stop-reload":  runStopReload,
	"late-refusal": runLateRefusal,
	"withdrawal":   runWithdrawal,
}

func main() {
	if len(os.Args) == 3 && os.Args[1] == "server" {
		runServer(os.Args[2])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play runs a case and returns the exit code of the script.
func play(name, recordPath string) int {
	c, err := newCluster(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer c.close()
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, syscall.SIGINT, syscall.SIGTERM)
	trouble := os.Getenv("TROUBLE") != "0"
	c.logf("case %s, disruption: %v", name, trouble)
	done := make(chan error, 1)
	go func() { done <- cases[name](c, trouble) }()
	select {
	case err = <-done:
	case <-time.After(maxRun):
		err = errors.New("the case did not end in time")
	case <-interrupts:
		err = errors.New("interrupted")
	}
	switch {
	case err == nil:
		c.logf("result: the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		c.logf("result: %v", err)
		return exitBroken
	}
	c.logf("result: the case could not run: %v", err)
	return exitNotRun
}
