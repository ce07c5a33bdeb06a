package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// inFlight is the number of requests that the entry handles when it is stopped.
	inFlight = 12
	// runTime is how long a server works on a request. It is well below the grace period and
	// the route's timeout.
	runTime = 2 * time.Second
)

// runStopReload stops an entry as planned while servers run its requests. The settings
// change at the same time, which a second signal tells it.
func runStopReload(c *cluster, trouble bool) error {
	if err := c.form(2); err != nil {
		return err
	}
	if err := c.firstConfiguration(nonIdempotent, 6); err != nil {
		return err
	}
	for _, zone := range zones {
		if _, err := c.addServer("price-book", zone, 9, runTime); err != nil {
			return err
		}
	}
	if err := c.ready(); err != nil {
		return err
	}
	time.Sleep(time.Second)
	entry, caller := c.entries[0], c.newCaller()
	var group sync.WaitGroup
	var mu sync.Mutex
	unanswered := map[string]bool{}
	for i := range inFlight {
		group.Go(func() {
			id, status := caller.send(entry, http.MethodPost, routePrefix+"order", fmt.Sprintf("basket %d", i), 5*time.Second)
			mu.Lock()
			defer mu.Unlock()
			unanswered[id] = status == 0
		})
	}
	if err := waitFor("all requests reach a server", 2*time.Second, func() bool { return c.arrived() == inFlight }); err != nil {
		return err
	}
	c.logf("%s gets SIGTERM", entry.name)
	entry.signal(syscall.SIGTERM)
	time.Sleep(300 * time.Millisecond)
	if trouble {
		// The operator's list has changed: the seeds stand in another order.
		c.seeds = append(c.seeds[1:], c.seeds[0])
		if err := entry.writeSettings(false); err != nil {
			return err
		}
		c.logf("%s gets SIGHUP", entry.name)
		entry.signal(syscall.SIGHUP)
	}
	group.Wait()
	select {
	case <-entry.exited:
		c.logf("%s has ended", entry.name)
	case <-time.After(6 * time.Second):
		return errors.New("the entry did not end")
	}
	lost := 0
	for _, s := range c.servers {
		for _, a := range s.got() {
			if id := a.what[:16]; unanswered[id] {
				lost++
				c.logf("LOST: request %s was passed on to %s, and its connection ended without an answer", id, s.ID)
			}
		}
	}
	c.logf("LOST: %d of %d requests", lost, inFlight)
	if lost > 0 {
		return errBroken
	}
	return nil
}

// arrived returns the number of requests that reached a server.
func (c *cluster) arrived() int {
	n := 0
	for _, s := range c.servers {
		n += len(s.got())
	}
	return n
}
