package bfcapacity

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"briarferry"
	"briarferry/internal/coordination/bflease"
	"briarferry/internal/coordination/bfmember"
	"briarferry/internal/protocol/bfwire"
	"briarferry/internal/state/bfbackend"
	"briarferry/internal/state/bfcodec"
	"briarferry/internal/state/bfmachine"
)

const (
	sourceMembership = "`bfmember`, `bfwire`"
	sourceLease      = "`bflease`, `bfmachine`, `bfcodec`"
)

func newVM(i int) briarferry.VM {
	address := netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)})
	return briarferry.VM{
		Name: fmt.Sprintf("node-%03d", i), Region: fmt.Sprintf("region-%d", i%targetRegions),
		FailureDomain: fmt.Sprintf("domain-%d-%d", i%targetRegions, i%3), Incarnation: 1764832000000000 + uint64(i),
		HTTP: netip.AddrPortFrom(address, 7000), RPC: netip.AddrPortFrom(address, 7100), Gossip: netip.AddrPortFrom(address, 7200),
	}
}

// newHeartbeats returns a heartbeat of each of n VMs but the first. Each heartbeat
// lists all other VMs.
func newHeartbeats(n int) []bfmember.Heartbeat {
	out := make([]bfmember.Heartbeat, n-1)
	for i := range out {
		h := bfmember.Heartbeat{VM: bfmember.Describe(newVM(i + 1)), Sequence: 1 << 20, Flags: bfmember.FlagReady}
		for j := range n {
			if j != i+1 {
				h.Heard = append(h.Heard, bfmember.LastHeard{Name: newVM(j).Name, Incarnation: newVM(j).Incarnation, Sequence: 1 << 20, AgeMillis: uint32(30 + j*37%170)})
			}
		}
		h.Learned = []bfmember.Descriptor{bfmember.Describe(newVM(i % n))}
		out[i] = h
	}
	return out
}

// membershipFits holds the fits of the membership in a full mesh.
type membershipFits struct{ bytes, encode, tick, receive, memory Fit }

// measureMembership measures the membership state in a full mesh of the given numbers
// of VMs.
func measureMembership(scope string, sizes []int) (membershipFits, error) {
	var x, pairs, bytes, encode, ticks, receive, memory []float64
	for _, n := range sizes {
		now := time.Unix(1_767_225_600, 0)
		heartbeats := newHeartbeats(n)
		v, used := retainedHeap(func() any {
			state := bfmember.NewState(now, newVM(0), nil)
			for i := range heartbeats {
				state.Receive(now, &heartbeats[i])
			}
			return state
		})
		state := v.(*bfmember.State)
		heartbeat := &bfwire.Heartbeat{Membership: heartbeats[0], AckIncarnation: heartbeats[0].VM.Incarnation, AckVersion: 1 << 20, Digest: bfbackend.Digest{Count: 1000, Sum: 1 << 60}}
		data, err := bfwire.Encode(heartbeat)
		if err != nil {
			return membershipFits{}, err
		}
		encode = append(encode, 1e6*cpuSeconds(measureTime, func() { _, err = bfwire.Encode(heartbeat) }))
		x, pairs = append(x, float64(n)), append(pairs, float64(n*n))
		bytes, memory = append(bytes, float64(len(data))), append(memory, used/1e6)
		receive = append(receive, 1e6*cpuSeconds(measureTime, func() {
			var m any
			if m, err = bfwire.Decode(data); err == nil {
				heartbeats[0].Sequence++
				h := &m.(*bfwire.Heartbeat).Membership
				h.Sequence = heartbeats[0].Sequence
				state.Receive(now, h)
			}
		}))
		if err != nil {
			return membershipFits{}, err
		}
		ticks = append(ticks, 1e6*tickSeconds(state, heartbeats, now))
	}
	return membershipFits{
		bytes:   NewFit("heartbeat, size, "+scope, "B", "VM", sourceMembership, x, bytes),
		receive: NewFit("heartbeat, decode and apply, "+scope, "µs", "VM", sourceMembership, x, receive),
		encode:  NewFit("heartbeat, encode for one peer, "+scope, "µs", "VM", sourceMembership, x, encode),
		tick:    NewFit("membership tick that sends, "+scope, "µs", "pair of VMs", sourceMembership, pairs, ticks),
		memory:  NewFit("membership, memory, "+scope, "MB", "pair of VMs", sourceMembership, pairs, memory),
	}, nil
}

// tickSeconds returns the median time of a tick that sends heartbeats, in seconds, with
// a recent heartbeat from every peer.
func tickSeconds(state *bfmember.State, heartbeats []bfmember.Heartbeat, now time.Time) float64 {
	var all []float64
	for range 25 {
		now = now.Add(bfmember.HeartbeatInterval)
		for i := range heartbeats {
			heartbeats[i].Sequence++
			state.Receive(now, &heartbeats[i])
		}
		all = append(all, elapsedSeconds(func() {
			state.Tick(now)
			state.Heartbeat(now)
		}))
	}
	slices.Sort(all)
	return all[len(all)/2]
}

// measureLeases measures the sync messages, and a configuration change of one service at
// several numbers of services.
func (m *messageFits) measureLeases() error {
	request, err := bfcodec.Marshal(bflease.SyncRequest{Entry: newVM(7).Name, Incarnation: newVM(7).Incarnation, Revision: 1 << 30})
	if err != nil {
		return err
	}
	reply, err := bfcodec.Marshal(bflease.SyncReply{Revision: 1 << 30, Checksum: 1 << 63, CommitIndex: 1 << 30, Lease: bflease.Duration})
	if err != nil {
		return err
	}
	m.syncBytes = float64(len(request)+len(reply)) / 2
	var x, bytes, cpu []float64
	for _, n := range []int{10, 100, 300, 1000} {
		from := &bfmachine.ConfigState{Revision: 1 << 20, Config: newConfig(n)}
		to := &bfmachine.ConfigState{Revision: 1<<20 + 1, Config: newConfig(n)}
		to.Config.Version++
		to.Config.Services[n/2].Slots++
		size := 0
		cpu = append(cpu, 1e6*cpuSeconds(measureTime, func() { size, err = applyChange(from, to) }))
		if err != nil {
			return err
		}
		x, bytes = append(x, float64(n)), append(bytes, float64(size))
	}
	m.changeBytes = NewFit("change of one service, delta's size", "B", "service", sourceLease, x, bytes)
	m.changeCPU = NewFit("change of one service, from difference to checksum", "µs", "service", sourceLease, x, cpu)
	return nil
}

// applyChange does the work of the leader and of one entry for a configuration change.
// It returns the size of the sync reply in bytes.
func applyChange(from, to *bfmachine.ConfigState) (int, error) {
	delta, ok := bfmachine.Diff(from, to)
	if !ok {
		return 0, fmt.Errorf("bfcapacity: no delta between the configuration states")
	}
	data, err := bfcodec.Marshal(bflease.SyncReply{Revision: to.Revision, Checksum: to.Checksum(), Lease: bflease.Duration, Delta: delta})
	if err != nil {
		return 0, err
	}
	var reply bflease.SyncReply
	if err := bfcodec.Unmarshal(data, &reply); err != nil {
		return 0, err
	}
	next, err := from.Patch(reply.Delta)
	if err != nil {
		return 0, err
	}
	if next.Checksum() != reply.Checksum {
		return 0, fmt.Errorf("bfcapacity: checksum of the patched state differs from the leader's")
	}
	return len(data), nil
}

// recordFit measures the size of a page of backend servers.
func recordFit() (Fit, error) {
	var x, y []float64
	for _, n := range []int{2, 4, 8, 12} {
		p := &bfwire.Page{From: newVM(7).Name, After: 1 << 20, Next: 1<<20 + uint64(n), More: true}
		for _, a := range newAnnouncements(n) {
			p.Records = append(p.Records, bfbackend.Record{
				Service: a.Service, Address: a.Address, Region: a.Region, FailureDomain: a.FailureDomain, Slots: a.Slots,
				ConnectionLimit: a.ConnectionLimit, State: a.State, LoadMilli: 610, Sequence: a.Sequence, AgeMillis: 120, Origin: newVM(7).Name,
			})
		}
		data, err := bfwire.Encode(p)
		if err != nil {
			return Fit{}, err
		}
		x, y = append(x, float64(n)), append(y, float64(len(data)))
	}
	return NewFit("page of backend servers, size", "B", "backend server", "`bfbackend`, `bfwire`", x, y), nil
}
