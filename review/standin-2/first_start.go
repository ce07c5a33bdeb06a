package main

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"time"
)

const (
	// startSpread is the time between the first and the last start: all machines start within
	// 0.3 s of each other, in any order.
	startSpread = 250 * time.Millisecond
	// killAfterStart is when the process is killed, counted from the first start.
	killAfterStart = 280 * time.Millisecond
	// acceptLimit is how long the operator sends the first configuration again and again.
	acceptLimit = 60 * time.Second
	// readLimit is how long the operator reads the configuration back: contactS and more.
	readLimit = 10 * time.Second
)

// firstStartCase plays the first start of the whole system, in which the process of one seed is
// killed once.
func firstStartCase(rec *record, trouble bool) (verdict, error) {
	c, err := newCluster(rec, 5, 7)
	if err != nil {
		return verdict{}, err
	}
	defer c.close()
	if err := startSpreadOut(c, rec, trouble); err != nil {
		return verdict{}, err
	}
	cfg := sharedConfig()
	rec.say("the operator sends the first configuration until it is accepted")
	accepted := (&operator{c: c}).put(0, cfg, acceptLimit)
	if accepted != nil && !errors.Is(accepted, errNoAnswer) {
		return verdict{}, accepted
	}
	rec.say("result after at most %v: accepted %v %v", acceptLimit, accepted == nil, errText(accepted))
	end := time.Now().Add(readLimit)
	for i := 0; time.Now().Before(end); i++ {
		v := c.controls[i%len(c.controls)]
		status, data, err := v.call(http.MethodGet, "/api/config", "", nil, callTimeout)
		rec.line("read at %s: status %d %v", v.name, status, errText(err))
		if err == nil && status == http.StatusOK {
			same := bytes.Equal(data, cfg.encode())
			return verdict{!same, fmt.Sprintf("%s returns the configuration, as it was sent: %v", v.name, same)}, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return verdict{true, fmt.Sprintf("the configuration was not accepted within %v and can't be read at any control VM", acceptLimit)}, nil
}

// startSpreadOut starts one seed first and all other VMs shortly after it. The seed's process is
// killed once, and the platform starts it again.
func startSpreadOut(c *cluster, rec *record, trouble bool) error {
	first, started := c.controls[0], time.Now()
	if err := first.start(); err != nil {
		return err
	}
	time.Sleep(startSpread)
	for _, v := range c.all()[1:] {
		if err := v.start(); err != nil {
			return err
		}
	}
	if !trouble {
		return nil
	}
	time.Sleep(time.Until(started.Add(killAfterStart)))
	rec.say("%s is killed %v after its start", first.name, time.Since(started).Round(time.Millisecond))
	first.kill()
	time.Sleep(restartDelay)
	rec.say("%s is started again", first.name)
	return first.restart()
}
