package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	// bigRoutes is the number of further routes: three times that of the largest big_config.
	bigRoutes = 3 * 492
	// changeGap is the time between two changes, as in a config_storm.
	changeGap = 60 * time.Millisecond
	// missed is the number of changes that the stopped control VM misses.
	missed = 56
	// maxChanges limits the changes of the case.
	maxChanges = 600
	// selfEnds is the number of starts after which the case goes on without a process that
	// ends by itself each time.
	selfEnds = 3
)

// runTornSnapshot kills a control VM, which misses some changes, and kills it again while it
// stores the snapshot that the leader sends. After its next start it works, until it is
// restarted as planned. At the end another control VM loses its disk.
func runTornSnapshot(c *cluster, trouble bool) error {
	if err := c.form(0); err != nil {
		return err
	}
	version := 0
	change := func(to []*node) error {
		version++
		if !c.order(http.MethodPut, "/api/config", configuration(version, idempotent, 4+float64(version)/1000, bigRoutes), versionText(version-1), to, startTimeout) {
			return fmt.Errorf("version %d was not confirmed", version)
		}
		time.Sleep(changeGap)
		return nil
	}
	if err := change(c.controls); err != nil {
		return err
	}
	leader := c.leader()
	if leader == nil {
		return fmt.Errorf("no leader is known")
	}
	var followers []*node
	for _, n := range c.controls {
		if n != leader {
			followers = append(followers, n)
		}
	}
	victim, other := followers[0], followers[1]
	// The log grows until a snapshot is due soon.
	for version < maxChanges && leader.logBytes() < 27<<20 {
		if err := change([]*node{leader}); err != nil {
			return err
		}
	}
	c.logf("%s is killed", victim.name)
	victim.kill()
	stopped := version
	for version < stopped+missed || !leader.hasSnapshot() {
		if version == maxChanges {
			return fmt.Errorf("no snapshot after %d changes", version)
		}
		if err := change([]*node{leader}); err != nil {
			return err
		}
	}
	c.logf("%s is started after %d missed changes", victim.name, version-stopped)
	if err := victim.run(false); err != nil {
		return err
	}
	for end := time.Now().Add(startTimeout); !victim.hasSnapshot(); {
		if time.Now().After(end) {
			return fmt.Errorf("%s got no snapshot", victim.name)
		}
	}
	if trouble {
		victim.kill()
		c.logf("%s was killed while it stored a snapshot", victim.name)
		time.Sleep(time.Second)
		if err := victim.run(false); err != nil {
			return err
		}
	}
	if err := waitFor(victim.name+" has the newest configuration", startTimeout, func() bool {
		status, v := c.read(victim)
		return status == http.StatusOK && v == versionText(version)
	}); err != nil {
		return err
	}
	for range 3 {
		if err := change([]*node{leader}); err != nil {
			return err
		}
	}
	time.Sleep(2 * catchUp)

	// A planned restart.
	c.logf("%s is stopped: SIGTERM", victim.name)
	victim.signal(syscall.SIGTERM)
	<-victim.exited
	for try := 1; try <= selfEnds; try++ {
		if err := victim.run(false); err != nil {
			return err
		}
		time.Sleep(3 * time.Second)
		if victim.running() {
			break
		}
		c.logf("Fault: %s ended by itself at start %d: %s", victim.name, try, victim.lastLine())
	}
	time.Sleep(catchUp)

	// The final fault: right after a confirmation one disk is lost.
	if err := change([]*node{leader}); err != nil {
		return err
	}
	c.logf("%s is killed", other.name)
	other.kill()
	if err := other.wipe(); err != nil {
		return err
	}
	time.Sleep(time.Second)
	if err := other.run(false); err != nil {
		return err
	}
	for back := time.Now(); time.Since(back) < recovery+5*time.Second; time.Sleep(300 * time.Millisecond) {
		for _, n := range c.controls {
			if !n.running() {
				continue
			}
			status, v := c.read(n)
			switch {
			case status == http.StatusOK && v == versionText(version):
				return nil
			case status == http.StatusOK:
				c.logf("CONFIG: the read gives version %s, and %s was confirmed", v, versionText(version))
				return errBroken
			}
		}
	}
	c.logf("CONFIG: no read gave a configuration in 20 s, and version %s was confirmed", versionText(version))
	return errBroken
}

// logBytes returns the size of the log segments of a control VM.
func (n *node) logBytes() int64 {
	var size int64
	files, _ := filepath.Glob(filepath.Join(n.dir, "data", "*.wal"))
	for _, f := range files {
		if info, err := os.Stat(f); err == nil {
			size += info.Size()
		}
	}
	return size
}

// hasSnapshot reports whether a control VM has stored a snapshot.
func (n *node) hasSnapshot() bool {
	dir, err := os.Open(filepath.Join(n.dir, "data"))
	if err != nil {
		return false
	}
	defer dir.Close()
	names, _ := dir.Readdirnames(-1)
	for _, name := range names {
		if strings.HasSuffix(name, ".snapshot") {
			return true
		}
	}
	return false
}

// lastLine returns the last line of the VM's log.
func (n *node) lastLine() string {
	data, _ := os.ReadFile(filepath.Join(n.dir, "log"))
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	return lines[len(lines)-1]
}
