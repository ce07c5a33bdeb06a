package main

import (
	"fmt"
	"net/http"
	"time"
)

// runLateRefusal lets a full server refuse a request, and send a second copy of that refusal
// where the answer to the next request on the connection is expected.
func runLateRefusal(c *cluster, trouble bool) error {
	if err := c.form(2); err != nil {
		return err
	}
	if err := c.firstConfiguration(nonIdempotent, 4); err != nil {
		return err
	}
	s, err := c.addServer("price-book", zones[0], 1, 1500*time.Millisecond)
	if err != nil {
		return err
	}
	if err := c.ready(); err != nil {
		return err
	}
	time.Sleep(time.Second)
	if err := s.tell("full"); err != nil {
		return err
	}
	if trouble {
		if err := s.tell("copies"); err != nil {
			return err
		}
	}
	path := routePrefix + "order"
	busy := make(chan int, 1)
	go func() {
		_, status := c.newCaller().send(c.entries[1], http.MethodPost, path, "basket 1", 3*time.Second)
		busy <- status
	}()
	if err := waitFor("the first request runs", 2*time.Second, func() bool { return len(s.got()) == 1 }); err != nil {
		return err
	}
	caller := c.newCaller()
	if _, status := caller.send(c.entries[0], http.MethodPost, path, "basket 2", 3*time.Second); status != http.StatusServiceUnavailable {
		return fmt.Errorf("the full server's request got %d", status)
	}
	if status := <-busy; status != http.StatusOK {
		return fmt.Errorf("the first request got %d", status)
	}
	// The caller comes back after the entry has forgotten how full the server was.
	time.Sleep(2 * time.Second)
	id, status := caller.send(c.entries[0], http.MethodPost, path, "basket 2", 3*time.Second)
	time.Sleep(2 * time.Second)
	if status == http.StatusServiceUnavailable {
		for _, a := range s.got() {
			if a.what[:16] == id {
				c.logf("REFUSED: request %s was answered 503 and ran", id)
				return errBroken
			}
		}
	}
	if status != http.StatusOK && status != http.StatusServiceUnavailable && status != http.StatusBadGateway {
		return fmt.Errorf("the last request got %d", status)
	}
	return nil
}
