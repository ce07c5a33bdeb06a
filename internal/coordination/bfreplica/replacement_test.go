package bfreplica

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// successorTime is the time after which a new replica or one with a new disk has caught up, so
// that the next loss must be tolerated.
const successorTime = 4500 * time.Millisecond

// replacements plays operations on a group of three and proposes a command after each.
type replacements struct {
	*cluster
	rng      *rand.Rand
	members  []string
	spares   []string
	commands []string
}

// TestRandomReplacements guards against a group that stops or loses commands while its replicas
// are replaced as planned, lose their disks and restart, one after the other.
func TestRandomReplacements(t *testing.T) {
	for seed := range uint64(12) {
		synctest.Test(t, func(t *testing.T) {
			var started atomic.Pointer[cluster]
			c := newCluster(t, 200+seed, interRegionDelay, memoryFS(200+seed), func(n *Node) {
				n.OpenMembership, n.Seeds = true, func() []string {
					if c := started.Load(); c != nil {
						return c.runningVMs()
					}
					return nil
				}
			})
			defer c.close()
			started.Store(c)
			r := &replacements{cluster: c, rng: rand.New(rand.NewPCG(seed, 7)), members: slices.Clone(vms), spares: slices.Clone(spareVMs)}
			for i := range 24 {
				r.step()
				r.commands = append(r.commands, fmt.Sprint(i))
				c.propose(r.commands[i])
			}
			time.Sleep(successorTime)
			r.check(seed)
		})
	}
}

// step replaces, wipes or restarts a replica.
func (r *replacements) step() {
	i := r.rng.IntN(len(r.members))
	vm := r.members[i]
	switch op := r.rng.IntN(3); {
	case op == 0 && len(r.spares) > 0:
		successor := r.spares[0]
		r.spares = r.spares[1:]
		started := time.Now()
		r.start(successor, memoryFS(r.rng.Uint64())(successor))
		time.Sleep(time.Duration(1000+r.rng.IntN(3000)) * time.Millisecond)
		r.stopVMs(vm)
		r.members[i] = successor
		time.Sleep(time.Until(started.Add(successorTime)))
	case op == 1:
		r.loseDisk(vm)
		time.Sleep(successorTime)
	default:
		fs := r.member(vm).fs
		r.stopVMs(vm)
		time.Sleep(time.Duration(r.rng.IntN(2000)) * time.Millisecond)
		r.start(vm, fs)
		time.Sleep(successorTime)
	}
}

// check compares the voters and the commands at every replica with what was done.
func (r *replacements) check(seed uint64) {
	want := slices.Sorted(slices.Values(r.members))
	if got := r.voterVMs(); !slices.Equal(got, want) {
		r.t.Errorf("seed %d: voters %v, want %v", seed, got, want)
	}
	for _, vm := range r.members {
		// A command whose outcome was unknown may have been proposed twice.
		if got := slices.Compact(r.member(vm).machine.list()); !slices.Equal(got, r.commands) {
			r.t.Errorf("seed %d: %s applied %v, want %v", seed, vm, got, r.commands)
		}
	}
}
