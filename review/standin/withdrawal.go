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
	// evacuateBound is evacuateS of the settings.
	evacuateBound = 5 * time.Second
	// rounds is how often the disruption comes, as it depends on the order in which the woken
	// process handles its events.
	rounds = 4
)

// runWithdrawal freezes a control VM while the operator withdraws two evacuations there. The
// operator withdraws them at another one and evacuates the failure domains again. Then the
// frozen control VM wakes.
func runWithdrawal(c *cluster, trouble bool) error {
	if err := c.form(1); err != nil {
		return err
	}
	if err := c.firstConfiguration(idempotent, 4); err != nil {
		return err
	}
	for _, zone := range zones {
		if _, err := c.addServer("price-book", zone, 9, 50*time.Millisecond); err != nil {
			return err
		}
	}
	if err := c.ready(); err != nil {
		return err
	}
	evacuated := c.servers[:2]
	leader := c.leader()
	if leader == nil {
		return errors.New("no leader is known")
	}
	var followers []*node
	for _, n := range c.controls {
		if n != leader {
			followers = append(followers, n)
		}
	}
	for range rounds {
		if err := c.withdrawAndRepeat(evacuated, followers[0], []*node{followers[1], leader}, trouble); err != nil {
			return err
		}
	}
	return nil
}

// withdrawAndRepeat evacuates, freezes a control VM, withdraws the evacuations, evacuates again, wakes
// the control VM and looks where requests run.
func (c *cluster) withdrawAndRepeat(evacuated []*server, frozen *node, others []*node, trouble bool) error {
	if !c.orderAll(http.MethodPost, evacuated, append([]*node{frozen}, others...)) {
		return errors.New("the evacuations were not confirmed")
	}
	time.Sleep(time.Second)
	if trouble {
		c.logf("%s freezes", frozen.name)
		frozen.signal(syscall.SIGSTOP)
		time.Sleep(50 * time.Millisecond)
	}
	if !c.orderAll(http.MethodDelete, evacuated, append([]*node{frozen}, others...)) {
		return errors.New("the withdrawals were not confirmed")
	}
	time.Sleep(500 * time.Millisecond)
	if !c.orderAll(http.MethodPost, evacuated, others) {
		return errors.New("the second evacuations were not confirmed")
	}
	confirmed := c.now()
	time.Sleep(500 * time.Millisecond)
	if trouble {
		frozen.signal(syscall.SIGCONT)
		c.logf("%s wakes", frozen.name)
	}
	time.Sleep(time.Until(c.start.Add(confirmed + evacuateBound + 500*time.Millisecond)))
	caller := c.newCaller()
	for i := range 40 {
		caller.send(c.entries[0], http.MethodGet, fmt.Sprintf("%s%d", routePrefix, i), "", 2*time.Second)
		time.Sleep(50 * time.Millisecond)
	}
	broken := false
	for _, s := range evacuated {
		late := 0
		for _, a := range s.got() {
			if a.at > confirmed+evacuateBound {
				late++
			}
		}
		c.logf("EVAC: %d requests reached %s, in %s, later than evacuateS after the confirmation", late, s.ID, s.Zone)
		broken = broken || late > 0
	}
	if broken {
		return errBroken
	}
	return nil
}

// orderAll sends the order to evacuate the servers' failure domains, or its withdrawal, for
// all of them at the same time. It reports whether all were confirmed.
func (c *cluster) orderAll(method string, servers []*server, to []*node) bool {
	var group sync.WaitGroup
	confirmed := make([]bool, len(servers))
	for i, s := range servers {
		group.Go(func() { confirmed[i] = c.order(method, "/api/evacuate/"+s.Zone, nil, "", to, 5*time.Second) })
	}
	group.Wait()
	for _, ok := range confirmed {
		if !ok {
			return false
		}
	}
	return true
}
