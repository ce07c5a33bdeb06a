package main

import (
	"errors"
	"net/http"
	"syscall"
	"time"
)

const (
	// catchUp is catchUpS of the settings.
	catchUp = 4 * time.Second
	// recovery is recoveryS of the settings.
	recovery = 15 * time.Second
	// replaced is the number of control VMs that are replaced as planned.
	replaced = 2
	// calm is the time between the planned work and the loss.
	calm = 20 * time.Second
)

// runDeadVoters replaces two of three control VMs as planned, one after the other: a new one
// starts, has caught up, and the old one is stopped for good. Much later one of the three
// loses its disk.
func runDeadVoters(c *cluster, trouble bool) error {
	if err := c.form(1); err != nil {
		return err
	}
	if err := c.firstConfiguration(idempotent, 4); err != nil {
		return err
	}
	if _, err := c.addServer("price-book", zones[0], 9, 100*time.Millisecond); err != nil {
		return err
	}
	if err := c.ready(); err != nil {
		return err
	}
	if _, status := c.newCaller().send(c.entries[0], http.MethodGet, routePrefix+"a", "", 4*time.Second); status != http.StatusOK {
		return errors.New("the first request was not served")
	}
	for i := range replaced {
		if err := c.replaceControl(c.controls[i]); err != nil {
			return err
		}
	}
	remaining := c.controls[replaced:]
	time.Sleep(calm)
	if !c.order(http.MethodPut, "/api/config", configuration(2, idempotent, 4, 1), versionText(1), remaining, 5*time.Second) {
		return errors.New("the second configuration was not confirmed")
	}
	if trouble {
		loser := remaining[0]
		c.logf("%s is killed", loser.name)
		loser.kill()
		if err := loser.wipe(); err != nil {
			return err
		}
		time.Sleep(time.Second)
		if err := loser.run(false); err != nil {
			return err
		}
	}
	// All machines in use run. The operator reads the configuration for longer than recoveryS
	// and contactS.
	for back, i := time.Now(), 0; time.Since(back) < 2*recovery; i++ {
		status, version := c.read(remaining[i%len(remaining)])
		if status == http.StatusOK {
			if version != versionText(2) {
				c.logf("CONFIG: the read gives version %s, and %s was confirmed", version, versionText(2))
				return errBroken
			}
			if !c.order(http.MethodPut, "/api/config", configuration(3, idempotent, 4, 2), versionText(2), remaining, 5*time.Second) {
				return errors.New("the third configuration was not confirmed")
			}
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	c.order(http.MethodPut, "/api/config", configuration(3, idempotent, 4, 2), versionText(2), remaining, 5*time.Second)
	c.logf("CONFIG: no read gave a configuration in %.0f s, and version %s was confirmed", (2 * recovery).Seconds(), versionText(2))
	return errBroken
}

// replaceControl starts a successor of a control VM in the same failure domain, waits until
// it has caught up, and stops the old one for good.
func (c *cluster) replaceControl(old *node) error {
	successor := c.addNode("control")
	successor.zone = old.zone
	if err := successor.run(false); err != nil {
		return err
	}
	time.Sleep(catchUp + time.Second)
	if status, _ := c.read(successor); status != http.StatusOK {
		return errors.New("the successor does not answer reads")
	}
	c.logf("%s is removed: SIGTERM", old.name)
	old.signal(syscall.SIGTERM)
	select {
	case <-old.exited:
	case <-time.After(6 * time.Second):
		old.kill()
	}
	c.logf("%s has ended", old.name)
	return nil
}
