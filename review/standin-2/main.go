// Command standin-2 plays the script cases of the second review. It starts the programs of the
// deploy file as processes on loopback addresses, and is their callers, backend servers,
// operator and platform.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// longestRun is the time after which a case is given up.
const longestRun = 110 * time.Second

// verdict is the result of a case that ran.
type verdict struct {
	broken bool
	text   string
}

var cases = map[string]func(rec *record, trouble bool) (verdict, error){
	"crash-request": crashRequestCase,
	"first-start":   firstStartCase,
	"refused-route": refusedRouteCase,
	"replacement":   replacementCase,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		return exitNotRun
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	go giveUp(rec)
	v, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)
		return exitNotRun
	case v.broken:
		rec.say("RULE BROKEN: %s", v.text)
		return exitBroken
	}
	rec.say("rule held: %s", v.text)
	return exitHeld
}

// giveUp ends the case, with all processes that it started, on a signal or after longestRun.
func giveUp(rec *record) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(longestRun):
	}
	rec.say("given up")
	running.Load().close()
	rec.close()
	os.Exit(exitNotRun)
}
