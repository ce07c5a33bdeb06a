package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// coldFor is coldStartS of the configuration.
	coldFor = 3 * time.Second
	// coldBound is the largest number of requests that a cold server may get in one second:
	// coldPerS x coldOver + coldSlack.
	coldBound = coldPerS*1.5 + 5
	coldPerS  = 8.0
	// crashAbove is the number of requests in a second above which a cold server crashes.
	crashAbove = 20
	// coldRate is the rate of the callers' requests.
	coldRate = 30
)

// runColdAgain lets a server become cold again at the moment at which the leader of the
// control VMs is killed.
func runColdAgain(c *cluster, trouble bool) error {
	if err := c.form(2); err != nil {
		return err
	}
	if err := c.firstConfiguration(nonIdempotent, 4); err != nil {
		return err
	}
	s, err := c.addServer("price-book", zones[0], 9, 150*time.Millisecond)
	if err != nil {
		return err
	}
	if err := c.ready(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	caller := c.newCaller()
	var group sync.WaitGroup
	defer group.Wait()
	stop := make(chan struct{})
	defer close(stop)
	for _, n := range c.entries {
		go func() {
			ticker := time.NewTicker(time.Second * time.Duration(len(c.entries)) / coldRate)
			defer ticker.Stop()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-ticker.C:
				}
				group.Go(func() {
					caller.send(n, http.MethodPost, routePrefix+"order", fmt.Sprintf("%s %d", n.name, i), 2*time.Second)
				})
			}
		}()
	}
	time.Sleep(3 * time.Second)
	leader := c.leader()
	if leader == nil {
		return fmt.Errorf("no leader is known")
	}
	if trouble {
		c.logf("%s, the leader, is killed", leader.name)
		leader.kill()
	}
	from := c.now()
	if err := s.tell(fmt.Sprintf("cold/%d", coldFor.Milliseconds())); err != nil {
		return err
	}
	time.Sleep(coldFor + time.Second)
	if trouble {
		if err := leader.run(false); err != nil {
			return err
		}
	}
	most, at := 0, time.Duration(0)
	arrivals := s.got()
	for i, first := range arrivals {
		count := 0
		for _, a := range arrivals[i:] {
			if first.at >= from && a.at <= from+coldFor && a.at-first.at <= time.Second {
				count++
			}
		}
		if count > most {
			most, at = count, first.at
		}
	}
	c.logf("FAILBACK: the cold server got at most %d requests in a second, from %.3f s on; the bound is %.2f", most, at.Seconds(), coldBound)
	if float64(most) > coldBound {
		return errBroken
	}
	return nil
}
