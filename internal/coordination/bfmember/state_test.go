package bfmember

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"briarferry"
)

type cluster struct {
	t        *testing.T
	now      time.Time
	machines []*State
	frozen   map[int]bool
	cut      func(from, to int) bool
	rng      *rand.Rand
	loss     float64
	queue    []packet
}

type packet struct {
	at time.Time
	to netip.AddrPort
	h  Heartbeat
	by int
}

func vm(i int, incarnation uint64) briarferry.VM {
	return briarferry.VM{Name: fmt.Sprintf("e%d", i), Region: "recife", FailureDomain: "recife-a",
		Gossip: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000), Incarnation: incarnation}
}

func newCluster(t *testing.T, n int) *cluster {
	c := &cluster{t: t, now: time.Unix(1_700_000_000, 0), frozen: map[int]bool{}, rng: rand.New(rand.NewPCG(1, 2)),
		cut: func(int, int) bool { return false }}
	for i := range n {
		c.machines = append(c.machines, NewState(c.now, vm(i, 1), []netip.AddrPort{vm(0, 0).Gossip}))
	}
	c.run(2 * time.Second)
	return c
}

func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(10 * time.Millisecond) {
		for i, m := range c.machines {
			if m == nil || c.frozen[i] || c.now.UnixMilli()%50 != 0 {
				continue
			}
			for _, o := range m.Tick(c.now) {
				for c.rng.Float64() < c.loss+0.05 && c.loss > 0 {
					c.send(i, o.Address, m.Heartbeat(c.now)) // duplicate
				}
				c.send(i, o.Address, m.Heartbeat(c.now))
			}
		}
		c.deliver()
	}
}

func (c *cluster) send(from int, to netip.AddrPort, h Heartbeat) {
	if c.rng.Float64() >= c.loss {
		delay := 60 * time.Millisecond
		if c.loss > 0 {
			delay = time.Duration(c.rng.IntN(400)) * time.Millisecond // reordering
		}
		c.queue = append(c.queue, packet{c.now.Add(delay), to, h, from})
	}
}

func (c *cluster) deliver() {
	rest := c.queue[:0]
	for _, p := range c.queue {
		if p.at.After(c.now) {
			rest = append(rest, p)
			continue
		}
		for i, m := range c.machines {
			if m != nil && m.self.Gossip == p.to && !c.cut(p.by, i) && !c.frozen[i] {
				m.Receive(c.now, &p.h)
			}
		}
	}
	c.queue = rest
}

func (c *cluster) want(when string, i, live, up int, connected bool) {
	c.t.Helper()
	m := c.machines[i]
	if l, u, k := len(m.Live(c.now)), len(m.Up()), m.Connected(c.now); l != live || u != up || k != connected {
		c.t.Errorf("%s: e%d sees %d live, %d up, connected %v; want %d, %d, %v", when, i, l, u, k, live, up, connected)
	}
}

// TestDiscoveryAndCrash guards against VMs that miss each other with one common
// seed, and against crashes found late.
func TestDiscoveryAndCrash(t *testing.T) {
	c := newCluster(t, 7)
	for i := range c.machines {
		c.want("start", i, 7, 7, true)
	}
	c.machines[6] = nil
	// The last heartbeat may be 140 ms old.
	c.run(800 * time.Millisecond)
	c.want("within suspicion", 1, 7, 7, true)
	c.run(800 * time.Millisecond)
	for i := range 6 {
		c.want("after crash", i, 6, 6, true)
	}
	c.machines[6] = NewState(c.now, vm(6, 2), []netip.AddrPort{vm(0, 0).Gossip})
	c.run(time.Second)
	for i := range c.machines {
		c.want("after restart", i, 7, 7, true)
	}
}

// TestCuts guards against wrong verdicts when links fail in one or both directions.
func TestCuts(t *testing.T) {
	tests := []struct {
		name string
		cut  func(from, to int) bool
		// live, up and connected at e0 and at e1
		live, up  [2]int
		connected [2]bool
	}{
		{"one way e0 to e1", func(f, to int) bool { return f == 0 && to == 1 }, [2]int{6, 6}, [2]int{7, 7}, [2]bool{true, true}},
		{"two ways e0 and e1", func(f, to int) bool { return f+to == 1 }, [2]int{6, 6}, [2]int{7, 7}, [2]bool{true, true}},
		{"e0 alone", func(f, to int) bool { return f == 0 || to == 0 }, [2]int{1, 6}, [2]int{7, 6}, [2]bool{false, true}},
		{"e0 unheard", func(f, to int) bool { return f == 0 }, [2]int{1, 6}, [2]int{7, 6}, [2]bool{false, true}},
		{"e0 deaf", func(f, to int) bool { return to == 0 }, [2]int{1, 6}, [2]int{7, 7}, [2]bool{false, true}},
		{"e0-e2 against e3-e6", func(f, to int) bool { return (f < 3) != (to < 3) }, [2]int{3, 3}, [2]int{3, 3}, [2]bool{false, false}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(t, 7)
			c.t = t
			c.cut = test.cut
			c.run(2500 * time.Millisecond)
			for i := range 2 {
				c.want("cut", i, test.live[i], test.up[i], test.connected[i])
			}
			c.cut = func(int, int) bool { return false }
			c.run(time.Second)
			for i := range c.machines {
				c.want("healed", i, 7, 7, true)
			}
		})
	}
}

// TestFrozen guards against a process that acts on old knowledge after a stop.
func TestFrozen(t *testing.T) {
	c := newCluster(t, 7)
	c.frozen[2] = true
	c.run(5 * time.Second)
	if c.machines[2].Connected(c.now) {
		t.Error("connected when it wakes, before the first tick")
	}
	c.frozen[2] = false
	c.run(50 * time.Millisecond)
	if c.machines[2].Connected(c.now) {
		t.Error("connected after the first tick, before others were heard")
	}
	c.run(time.Second)
	c.want("thawed", 2, 7, 7, true)
	if c.machines[2].Stats.Freezes != 1 {
		t.Errorf("%d freezes counted", c.machines[2].Stats.Freezes)
	}
}

// TestLossyNetwork guards against false verdicts under loss, duplicates and reordering.
func TestLossyNetwork(t *testing.T) {
	c := newCluster(t, 7)
	for _, m := range c.machines {
		m.Stats = Stats{} // verdicts while the VMs meet don't count
	}
	c.loss = 0.1
	c.run(30 * time.Second)
	for i, m := range c.machines {
		if m.Stats.Downs > 0 || !m.Connected(c.now) {
			t.Errorf("e%d: %+v", i, m.Stats)
		}
	}
}

// TestLeave guards against a planned stop that is only noticed as silence, and
// against an old heartbeat that brings the VM back.
func TestLeave(t *testing.T) {
	c := newCluster(t, 3)
	old := c.machines[2].Heartbeat(c.now)
	c.machines[2].Leave(c.now)
	c.run(200 * time.Millisecond)
	c.machines[2] = nil
	c.want("after leave", 0, 2, 2, true)
	if c.machines[0].Receive(c.now, &old) {
		t.Error("took an old heartbeat")
	}
	c.want("after an old heartbeat", 0, 2, 2, true)
}

// TestSuperseded guards against two processes of one name that both work.
func TestSuperseded(t *testing.T) {
	c := newCluster(t, 4)
	newer := NewState(c.now, vm(3, 9), nil)
	newer.sequence = 1
	h := newer.Heartbeat(c.now)
	c.machines[0].Receive(c.now, &h)
	c.run(time.Second)
	if c.machines[3].Connected(c.now) {
		t.Error("the replaced process is still connected")
	}
	restarted := NewState(c.now, vm(3, 5), []netip.AddrPort{vm(0, 0).Gossip})
	c.machines[3] = restarted
	c.run(time.Second)
	if !restarted.Connected(c.now) || restarted.Self().Incarnation <= 9 {
		t.Errorf("a process whose clock was set back: incarnation %d", restarted.Self().Incarnation)
	}
}

// TestForget guards against a system that stops because VMs were replaced under
// new names, and against a VM cut off alone that forgets the others.
func TestForget(t *testing.T) {
	c := newCluster(t, 7)
	for _, i := range []int{4, 5, 6} {
		c.machines[i] = nil
	}
	c.run(forgetAfter + 5*time.Second)
	c.machines[3] = nil
	c.run(3 * time.Second)
	c.want("fourth loss", 1, 3, 3, true)
	c.cut = func(f, to int) bool { return f == 1 || to == 1 }
	c.run(2 * forgetAfter)
	if c.machines[1].Connected(c.now) {
		t.Error("a VM alone considers itself connected")
	}
}

// TestManyMeetSoon guards against discovery that takes long where few seeds are known.
func TestManyMeetSoon(t *testing.T) {
	c := newCluster(t, 50)
	for i, m := range c.machines {
		if n := len(m.Live(c.now)); n != 50 {
			t.Errorf("e%d sees %d of 50 VMs after 2 s", i, n)
		}
	}
}
