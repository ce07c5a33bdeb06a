package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// drainBound is drainS of the settings.
const drainBound = 2500 * time.Millisecond

// servesOn is how long a draining server serves after the confirmation: drainS and 4.5 s.
const servesOn = 7 * time.Second

// runLateSend crashes a server while it runs a request. Later two callers send the same
// order, and the servers are replaced by others while the first one runs.
func runLateSend(c *cluster, trouble bool) error {
	const path, body = routePrefix + "order", "1 basket of greens"
	if err := c.form(1); err != nil {
		return err
	}
	if err := c.firstConfiguration(nonIdempotent, 12); err != nil {
		return err
	}
	for range 3 {
		if _, err := c.addServer("price-book", zones[0], 9, 300*time.Millisecond); err != nil {
			return err
		}
	}
	if err := c.ready(); err != nil {
		return err
	}
	time.Sleep(time.Second)
	caller, entry := c.newCaller(), c.entries[0]
	if _, status := caller.send(entry, http.MethodPost, path, body, 6*time.Second); status != http.StatusOK {
		return fmt.Errorf("the first request got %d", status)
	}
	remaining := append([]*server(nil), c.servers...)
	if trouble {
		crashed, err := c.crashDuringRequest(caller, entry, path, body)
		if err != nil {
			return err
		}
		remaining = nil
		for _, s := range c.servers {
			if s != crashed {
				remaining = append(remaining, s)
			}
		}
	}
	time.Sleep(3 * time.Second)

	// The servers turn slow, and two callers send the same order.
	for _, s := range remaining {
		if err := s.tell("work/6000"); err != nil {
			return err
		}
	}
	done := make(chan int, 2)
	for range 2 {
		go func() {
			_, status := c.newCaller().send(entry, http.MethodPost, path, body, 12*time.Second)
			done <- status
		}()
		time.Sleep(200 * time.Millisecond)
	}
	// A release: the new servers start first, the old ones drain.
	for range 2 {
		if _, err := c.addServer("price-book", zones[0], 9, 300*time.Millisecond); err != nil {
			return err
		}
	}
	for _, s := range remaining {
		if err := s.tell(fmt.Sprintf("drain/%d", servesOn.Milliseconds())); err != nil {
			return err
		}
	}
	for _, s := range remaining {
		if err := waitFor("confirmation that "+s.ID+" drains", 5*time.Second, func() bool { _, ok := s.confirmed("draining"); return ok }); err != nil {
			return err
		}
	}
	<-done
	<-done
	late := 0
	for _, s := range remaining {
		at, _ := s.confirmed("draining")
		for _, a := range s.got() {
			if after := a.at - at; after > drainBound {
				late++
				c.logf("DRAIN: request %s reached %s %.3f s after the confirmation that it drains", strings.Fields(a.what)[0], s.ID, after.Seconds())
			}
		}
	}
	if late > 0 {
		return errBroken
	}
	return nil
}

// crashDuringRequest sends a request and lets the server that runs it crash. It returns the
// server.
func (c *cluster) crashDuringRequest(caller *caller, entry *node, path, body string) (*server, error) {
	before := map[*server]int{}
	for _, s := range c.servers {
		before[s] = len(s.got())
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		caller.send(entry, http.MethodPost, path, body, 6*time.Second)
	}()
	var crashed *server
	err := waitFor("the request reaches a server", 3*time.Second, func() bool {
		for _, s := range c.servers {
			if len(s.got()) > before[s] {
				crashed = s
			}
		}
		return crashed != nil
	})
	if err != nil {
		return nil, err
	}
	// The process ends before it answers this call.
	_ = crashed.tell("crash")
	<-crashed.exited
	<-done
	return crashed, nil
}
