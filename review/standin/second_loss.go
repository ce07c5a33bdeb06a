package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	// catchUp is catchUpS of the settings.
	catchUp = 4 * time.Second
	// recovery is recoveryS of the settings.
	recovery = 15 * time.Second
)

// runSecondLoss replaces a control VM as planned: a new one starts, has caught up, and the
// old one is stopped for good. Then another one loses its disk.
func runSecondLoss(c *cluster, trouble bool) error {
	if err := c.form(1); err != nil {
		return err
	}
	if err := c.firstConfiguration(idempotent, 4); err != nil {
		return err
	}
	if _, err := c.addServer("catalogo", zones[0], 9, 100*time.Millisecond); err != nil {
		return err
	}
	if err := c.ready(); err != nil {
		return err
	}
	caller := c.newCaller()
	if _, status := caller.send(c.entries[0], http.MethodGet, routePrefix+"a", "", 4*time.Second); status != http.StatusOK {
		return fmt.Errorf("the first request got %d", status)
	}
	removed, loser := c.controls[0], c.controls[1]
	successor := c.addNode("control")
	successor.zone = removed.zone
	if err := successor.run(false); err != nil {
		return err
	}
	time.Sleep(2 * catchUp)
	if !c.order(http.MethodPut, "/api/config", configuration(2, idempotent, 4, 1), versionText(1), c.controls, 5*time.Second) {
		return fmt.Errorf("the second configuration was not confirmed")
	}
	remaining := c.controls
	if trouble {
		c.logf("%s is removed: SIGTERM", removed.name)
		removed.signal(syscall.SIGTERM)
		select {
		case <-removed.exited:
		case <-time.After(6 * time.Second):
			removed.kill()
		}
		c.logf("%s has ended", removed.name)
		remaining = c.controls[1:]
		time.Sleep(2 * time.Second)
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
	// All running control VMs are back. The operator reads the configuration, for longer than
	// recoveryS and contactS.
	back := time.Now()
	for i := 0; time.Since(back) < 3*recovery; i++ {
		status, version := c.read(remaining[i%len(remaining)])
		if status == http.StatusOK {
			if version != versionText(2) {
				c.logf("CONFIG: the read gives version %s, and %s was confirmed", version, versionText(2))
				return errBroken
			}
			if !c.order(http.MethodPut, "/api/config", configuration(3, idempotent, 4, 2), versionText(2), remaining, 5*time.Second) {
				return fmt.Errorf("the third configuration was not confirmed")
			}
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	c.order(http.MethodPut, "/api/config", configuration(3, idempotent, 4, 2), versionText(2), remaining, 5*time.Second)
	c.logf("CONFIG: no read gave a configuration in %.0f s, and version %s was confirmed", time.Since(back).Seconds(), versionText(2))
	return errBroken
}
