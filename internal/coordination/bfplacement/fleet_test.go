package bfplacement

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"briarferry"
)

const (
	fleetBlocks = 60
	fleetSlots  = 100
)

type (
	// fleet simulates seven entries in three regions with one leader, on a fake clock.
	fleet struct {
		t           *testing.T
		cfg         *briarferry.Config
		vms         []briarferry.VM
		down        map[string]bool
		unreachable map[string]bool
		leader      *Coordinator
		agents      map[string]*EntryAgent
		// served is the admitted load by second and region, in slots. refused counts the
		// refused requests by class.
		served     []map[string]float64
		refused    [3]int
		onExchange func(Report, Reply)
	}

	fleetMembers struct {
		*fleet
		self briarferry.VM
	}

	fleetTransport struct{ *fleet }
)

func (m fleetMembers) Self() briarferry.VM { return m.self }
func (m fleetMembers) Connected() bool     { return true }
func (m fleetMembers) Live() []briarferry.VM {
	var out []briarferry.VM
	for _, vm := range m.vms {
		if !m.down[vm.Name] {
			out = append(out, vm)
		}
	}
	return out
}

func (t fleetTransport) Placement(_ context.Context, r Report) (Reply, error) {
	if err := r.Validate().Err(); err != nil {
		t.t.Errorf("invalid report: %v", err)
	}
	if t.unreachable[r.Site] || t.leader == nil {
		return Reply{}, briarferry.ErrNotLeader
	}
	reply, err := t.leader.Exchange(time.Now(), r)
	if t.onExchange != nil && err == nil {
		t.onExchange(r, reply)
	}
	return reply, err
}

// Current implements briarferry.ConfigSource.
func (f *fleet) Current() (*briarferry.Config, briarferry.Lease, bool) {
	return f.cfg, briarferry.Lease{}, true
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, down: map[string]bool{}, unreachable: map[string]bool{}, agents: map[string]*EntryAgent{}}
	f.cfg = &briarferry.Config{Limits: briarferry.DefaultLimits()}
	for i, name := range []string{"a", "b", "c"} {
		f.cfg.Regions = append(f.cfg.Regions, briarferry.Region{Name: name, FailureDomains: []string{name + "1"}, CapacityShare: 1})
		f.cfg.Classes = append(f.cfg.Classes, briarferry.PriorityClass{Name: name, Urgency: 2 * i})
		f.cfg.Links = append(f.cfg.Links, briarferry.Link{
			Regions: [2]string{name, string(rune('a' + (i+1)%3))}, Mbit: 4000, OneWayDelay: briarferry.Duration(20 * time.Millisecond),
		})
	}
	for i := range 7 {
		region := f.cfg.Regions[i%3].Name
		vm := briarferry.VM{Name: region + string(rune('1'+i/3)), Region: region, FailureDomain: region + string(rune('1'+i/3%2))}
		f.vms = append(f.vms, vm)
		f.agents[vm.Name] = f.newAgent(vm)
	}
	f.elect(1)
	return f
}

// startUp runs until the entries have their first assignment.
func (f *fleet) startUp() {
	for range 50 {
		time.Sleep(200 * time.Millisecond)
		_ = f.leader.Tick(time.Now())
		f.exchange()
	}
}

func (f *fleet) newAgent(vm briarferry.VM) *EntryAgent {
	return &EntryAgent{
		VM: vm, Selector: &EntrySelector{Members: fleetMembers{f, vm}, MayTakeRequests: f.ready}, Transport: fleetTransport{f}, Config: f,
		Capacity: func(*briarferry.Config) Rate { return fleetSlots * 1000 },
	}
}

func (f *fleet) ready(vm briarferry.VM) bool { return f.agents[vm.Name].Synced() }

func (f *fleet) elect(term uint64) {
	f.leader = &Coordinator{
		Term: func() (uint64, bool) { return term, true }, Config: func() *briarferry.Config { return f.cfg },
		Members: fleetMembers{f, f.vms[0]}, State: func(vm briarferry.VM) SiteState {
			if f.ready(vm) {
				return SiteUp
			}
			return SiteDraining
		},
	}
}

// caller returns a caller of a block and its region; the first blocks belong to region a.
func (f *fleet) caller(b int) (netip.Addr, string) {
	return netip.AddrFrom4([4]byte{10, 0, byte(b), 1}), f.cfg.Regions[b*3/fleetBlocks].Name
}

// entryFor returns the first entry in the answer to a caller's look-up. It asks a live VM
// of the caller's region, or of another one if there is none.
func (f *fleet) entryFor(caller netip.Addr, region string) *EntryAgent {
	var asked *EntryAgent
	for _, vm := range f.vms {
		if !f.down[vm.Name] && f.agents[vm.Name].Synced() && (asked == nil || vm.Region == region && asked.VM.Region != region) {
			asked = f.agents[vm.Name]
		}
	}
	asked.CountLookup(caller)
	return f.agents[asked.Selector.Entries("", caller)[0].VM.Name]
}

// run simulates a number of seconds. In each second, a caller of every block sends one
// request of each class; a block's requests occupy 0.9 slots in total.
func (f *fleet) run(seconds int) {
	f.t.Helper()
	for range seconds {
		served := map[string]float64{}
		for b := range fleetBlocks {
			caller, region := f.caller(b)
			at := f.entryFor(caller, region)
			for classIndex, class := range f.cfg.Classes {
				s := briarferry.Service{ExpectedLatency: briarferry.Duration(300 * time.Millisecond)}
				if at.Admits(caller, f.cfg, s, class) {
					served[at.VM.Region] += 0.3
				} else {
					f.refused[classIndex]++
				}
			}
		}
		f.served = append(f.served, served)
		for range 5 {
			time.Sleep(200 * time.Millisecond)
			if f.leader != nil {
				if err := f.leader.Tick(time.Now()); err != nil {
					f.t.Fatal(err)
				}
			}
		}
		f.exchange()
	}
}

func (f *fleet) exchange() {
	for _, vm := range f.vms {
		agent := f.agents[vm.Name]
		before := agent.Selector.Version()
		if !f.down[vm.Name] {
			_ = agent.Exchange(f.t.Context())
		}
		if after := agent.Selector.Version(); after < before {
			f.t.Fatalf("%s went back from version %d to %d", vm.Name, before, after)
		}
	}
}

func (f *fleet) setRegion(region string, down bool) {
	for _, vm := range f.vms {
		if vm.Region != region {
			continue
		}
		f.down[vm.Name] = down
		if !down {
			f.agents[vm.Name] = f.newAgent(vm) // a restarted process has no state
		}
	}
}

// sites returns the name of each caller's first entry.
func (f *fleet) sites() map[netip.Addr]string {
	out := map[netip.Addr]string{}
	for b := range fleetBlocks {
		caller, region := f.caller(b)
		out[caller] = f.entryFor(caller, region).VM.Name
	}
	return out
}
