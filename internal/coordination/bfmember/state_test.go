package bfmember

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"briarferry"
)

// cluster runs the states of several VMs on a simulated network and clock.
type cluster struct {
	t       *testing.T
	now     time.Time
	states  []*State
	frozen  map[int]bool
	blocked func(from, to int) bool
	rng     *rand.Rand
	loss    float64
	queue   []packet
}

type packet struct {
	at        time.Time
	to        netip.AddrPort
	heartbeat Heartbeat
	from      int
}

func testVM(i int, incarnation uint64) briarferry.VM {
	return briarferry.VM{Name: fmt.Sprintf("e%d", i), Region: "recife", FailureDomain: "recife-a",
		Gossip: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000), Incarnation: incarnation}
}

func newCluster(t *testing.T, n int) *cluster {
	c := &cluster{t: t, now: time.Unix(1_700_000_000, 0), frozen: map[int]bool{}, rng: rand.New(rand.NewPCG(1, 2)),
		blocked: func(int, int) bool { return false }}
	for i := range n {
		c.states = append(c.states, NewState(c.now, testVM(i, 1), []netip.AddrPort{testVM(0, 0).Gossip}))
	}
	c.run(2 * time.Second)
	return c
}

func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(10 * time.Millisecond) {
		for from, s := range c.states {
			if s == nil || c.frozen[from] || c.now.UnixMilli()%50 != 0 {
				continue
			}
			for _, dest := range s.Tick(c.now) {
				for c.rng.Float64() < c.loss+0.05 && c.loss > 0 {
					c.send(from, dest.Address, s.Heartbeat(c.now)) // duplicate
				}
				c.send(from, dest.Address, s.Heartbeat(c.now))
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
		for i, s := range c.states {
			if s != nil && s.self.Gossip == p.to && !c.blocked(p.from, i) && !c.frozen[i] {
				s.Receive(c.now, &p.heartbeat)
			}
		}
	}
	c.queue = rest
}

func (c *cluster) expect(step string, i, live, up int, connected bool) {
	c.t.Helper()
	s := c.states[i]
	if gotLive, gotUp, gotConnected := len(s.Live(c.now)), len(s.Up()), s.Connected(c.now); gotLive != live || gotUp != up || gotConnected != connected {
		c.t.Errorf("%s: e%d sees %d live, %d up, connected %v; want %d, %d, %v", step, i, gotLive, gotUp, gotConnected, live, up, connected)
	}
}

// TestDiscoveryAndCrash guards against VMs that don't discover each other through one
// common seed, and against crashes that are detected late.
func TestDiscoveryAndCrash(t *testing.T) {
	c := newCluster(t, 7)
	for i := range c.states {
		c.expect("start", i, 7, 7, true)
	}
	c.states[6] = nil
	// The last heartbeat may be 140 ms old.
	c.run(800 * time.Millisecond)
	c.expect("before the suspicion", 1, 7, 7, true)
	c.run(800 * time.Millisecond)
	for i := range 6 {
		c.expect("after crash", i, 6, 6, true)
	}
	c.states[6] = NewState(c.now, testVM(6, 2), []netip.AddrPort{testVM(0, 0).Gossip})
	c.run(time.Second)
	for i := range c.states {
		c.expect("after restart", i, 7, 7, true)
	}
}

// TestNetworkPartitions guards against VMs that wrongly count as live, up or connected, or
// wrongly don't, when links fail in one or both directions.
func TestNetworkPartitions(t *testing.T) {
	tests := []struct {
		name    string
		blocked func(from, to int) bool
		// live, up and connected at e0 and at e1
		live, up  [2]int
		connected [2]bool
	}{
		{"link e0 to e1 one way", func(from, to int) bool { return from == 0 && to == 1 }, [2]int{6, 6}, [2]int{7, 7}, [2]bool{true, true}},
		{"link e0 and e1 both ways", func(from, to int) bool { return from+to == 1 }, [2]int{6, 6}, [2]int{7, 7}, [2]bool{true, true}},
		{"e0 isolated", func(from, to int) bool { return from == 0 || to == 0 }, [2]int{1, 6}, [2]int{7, 6}, [2]bool{false, true}},
		{"e0 sends nothing", func(from, to int) bool { return from == 0 }, [2]int{1, 6}, [2]int{7, 6}, [2]bool{false, true}},
		{"e0 receives nothing", func(from, to int) bool { return to == 0 }, [2]int{1, 6}, [2]int{7, 7}, [2]bool{false, true}},
		{"e0-e2 against e3-e6", func(from, to int) bool { return (from < 3) != (to < 3) }, [2]int{3, 3}, [2]int{3, 3}, [2]bool{false, false}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(t, 7)
			c.t = t
			c.blocked = test.blocked
			c.run(2500 * time.Millisecond)
			for i := range 2 {
				c.expect("partitioned", i, test.live[i], test.up[i], test.connected[i])
			}
			c.blocked = func(int, int) bool { return false }
			c.run(time.Second)
			for i := range c.states {
				c.expect("restored", i, 7, 7, true)
			}
		})
	}
}

// TestFrozenProcess guards against a process that acts on outdated state when it resumes
// after a freeze.
func TestFrozenProcess(t *testing.T) {
	c := newCluster(t, 7)
	c.frozen[2] = true
	c.run(5 * time.Second)
	if c.states[2].Connected(c.now) {
		t.Error("connected after the freeze, before the first tick")
	}
	c.frozen[2] = false
	c.run(50 * time.Millisecond)
	if c.states[2].Connected(c.now) {
		t.Error("connected after the first tick, before a heartbeat of the others")
	}
	c.run(time.Second)
	c.expect("resumed", 2, 7, 7, true)
	if c.states[2].Stats.Freezes != 1 {
		t.Errorf("%d freezes counted, want 1", c.states[2].Stats.Freezes)
	}
}

// TestLossyNetwork guards against VMs that wrongly count as down under packet loss,
// duplicates and reordering.
func TestLossyNetwork(t *testing.T) {
	c := newCluster(t, 7)
	for _, s := range c.states {
		s.Stats = Stats{} // ignore the discovery phase
	}
	c.loss = 0.1
	c.run(30 * time.Second)
	for i, s := range c.states {
		if s.Stats.Downs > 0 || !s.Connected(c.now) {
			t.Errorf("e%d: %+v", i, s.Stats)
		}
	}
}

// TestPlannedStop guards against a planned stop that is only detected by missing
// heartbeats, and against a late heartbeat after which the VM counts as up again.
func TestPlannedStop(t *testing.T) {
	c := newCluster(t, 3)
	old := c.states[2].Heartbeat(c.now)
	c.states[2].Leave(c.now)
	c.run(200 * time.Millisecond)
	c.states[2] = nil
	c.expect("after leave", 0, 2, 2, true)
	if c.states[0].Receive(c.now, &old) {
		t.Error("accepted an old heartbeat")
	}
	c.expect("after an old heartbeat", 0, 2, 2, true)
}

// TestReplacedProcess guards against two connected processes with the same name, and
// against a restarted process that can't connect because its clock was set back.
func TestReplacedProcess(t *testing.T) {
	c := newCluster(t, 4)
	newer := NewState(c.now, testVM(3, 9), nil)
	newer.sequence = 1
	h := newer.Heartbeat(c.now)
	c.states[0].Receive(c.now, &h)
	c.run(time.Second)
	if c.states[3].Connected(c.now) {
		t.Error("replaced process is still connected")
	}
	restarted := NewState(c.now, testVM(3, 5), []netip.AddrPort{testVM(0, 0).Gossip})
	c.states[3] = restarted
	c.run(time.Second)
	if !restarted.Connected(c.now) || restarted.Self().Incarnation <= 9 {
		t.Errorf("restarted process whose clock was set back isn't connected or didn't raise its incarnation: %d", restarted.Self().Incarnation)
	}
}

// TestRemoveDownVMs guards against VMs that disconnect because others were replaced under
// new names, and against an isolated VM that removes the others.
func TestRemoveDownVMs(t *testing.T) {
	c := newCluster(t, 7)
	for _, i := range []int{4, 5, 6} {
		c.states[i] = nil
	}
	c.run(removeAfter + 5*time.Second)
	c.states[3] = nil
	c.run(3 * time.Second)
	c.expect("fourth loss", 1, 3, 3, true)
	c.blocked = func(from, to int) bool { return from == 1 || to == 1 }
	c.run(2 * removeAfter)
	if c.states[1].Connected(c.now) {
		t.Error("isolated VM considers itself connected")
	}
}

// TestDiscoveryOfManyVMs guards against slow discovery of 50 VMs through one seed.
func TestDiscoveryOfManyVMs(t *testing.T) {
	c := newCluster(t, 50)
	for i, s := range c.states {
		if n := len(s.Live(c.now)); n != 50 {
			t.Errorf("e%d sees %d of 50 VMs after 2 s", i, n)
		}
	}
}
