package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

const (
	// catchUpTime is catchUpS of the settings, for which a new machine counts as lost.
	catchUpTime = 4 * time.Second
	// stopAfter is the time from the start of the new machine to the SIGTERM of the old one.
	stopAfter = 2 * time.Second
	// wipeAfter is when another machine loses its disk, counted from the start of the new one.
	wipeAfter = catchUpTime + 500*time.Millisecond
	// recoveryTime is recoveryS of the settings.
	recoveryTime = 15 * time.Second
)

// replacementCase plays the planned replacement of one of three control VMs. Once the new one has
// had its time to catch up, another one loses its disk.
func replacementCase(rec *record, trouble bool) (verdict, error) {
	c, err := newCluster(rec, 3, 1)
	if err != nil {
		return verdict{}, err
	}
	defer c.close()
	cfg := sharedConfig()
	if err := c.serve(cfg); err != nil {
		return verdict{}, err
	}
	time.Sleep(3 * time.Second)
	fresh := c.newVM("control", 3, firstControlHost+3)
	fresh.bootstrap = false
	fresh.writeSettings()
	started := time.Now()
	if err := fresh.start(); err != nil {
		return verdict{}, err
	}
	rec.say("%s starts empty, in place of %s", fresh.name, c.controls[0].name)
	old, wiped := c.controls[0], c.controls[1]
	c.controls = append(c.controls[1:], fresh)
	defer old.kill()
	time.Sleep(stopAfter)
	rec.say("%s gets SIGTERM", old.name)
	old.signal(syscall.SIGTERM)
	<-old.exited
	rec.say("%s has ended", old.name)
	next := *cfg
	next.Version = versionText(9)
	if err := (&operator{c: c}).put(7, &next, configLimit); err != nil {
		return verdict{}, err
	}
	rec.say("configuration %s is confirmed", next.Version)
	time.Sleep(time.Until(started.Add(wipeAfter)))
	if trouble {
		rec.say("%s loses its disk, %v after the start of %s", wiped.name, time.Since(started).Round(time.Millisecond), fresh.name)
		wiped.kill()
		if err := wiped.wipe(); err != nil {
			return verdict{}, err
		}
		time.Sleep(restartDelay)
		if err := wiped.restart(); err != nil {
			return verdict{}, err
		}
	}
	return c.readBack(rec, next.encode(), catchUpTime+2*recoveryTime), nil
}

// readBack reads the configuration at one control VM after another for some time.
func (c *cluster) readBack(rec *record, want []byte, limit time.Duration) verdict {
	started := time.Now()
	for i := 0; time.Since(started) < limit; i++ {
		v := c.controls[i%len(c.controls)]
		status, data, err := v.call(http.MethodGet, "/api/config", "", nil, callTimeout)
		rec.line("read at %s: status %d %v", v.name, status, errText(err))
		if err == nil && status == http.StatusOK {
			same := bytes.Equal(data, want)
			return verdict{!same, fmt.Sprintf("%s returns a configuration after %v; it is the confirmed one: %v", v.name, time.Since(started).Round(time.Millisecond), same)}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return verdict{true, fmt.Sprintf("the confirmed configuration can't be read at any of the %d control VMs for %v", len(c.controls), limit)}
}

// wipe removes the files of a killed process.
func (v *vm) wipe() error {
	data := filepath.Join(v.dir(), "data")
	if err := os.RemoveAll(data); err != nil {
		return err
	}
	return os.MkdirAll(data, 0o700)
}
