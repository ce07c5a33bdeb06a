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
	fromMember = "`bfmember`, `bfwire`"
	fromLease  = "`bflease`, `bfmachine`, `bfcodec`"
)

func newVM(i int) briarferry.VM {
	address := netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)})
	return briarferry.VM{
		Name: fmt.Sprintf("node-%03d", i), Region: fmt.Sprintf("region-%d", i%targetRegions),
		FailureDomain: fmt.Sprintf("domain-%d-%d", i%targetRegions, i%3), Incarnation: 1764832000000000 + uint64(i),
		HTTP: netip.AddrPortFrom(address, 7000), RPC: netip.AddrPortFrom(address, 7100), Gossip: netip.AddrPortFrom(address, 7200),
	}
}

// beatsFrom returns a heartbeat of every VM but the first, each naming all others.
func beatsFrom(n int) []bfmember.Heartbeat {
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

// memberFits holds the measured lines of the membership in a full mesh.
type memberFits struct{ bytes, encode, tick, receive, memory Fit }

// measureMembers measures the real membership machine in a full mesh.
func measureMembers(where string, sizes []int) (memberFits, error) {
	var x, pairs, bytes, encode, ticks, receive, memory []float64
	for _, n := range sizes {
		now := time.Unix(1_767_225_600, 0)
		beats := beatsFrom(n)
		v, used := heap(func() any {
			machine := bfmember.NewState(now, newVM(0), nil)
			for i := range beats {
				machine.Receive(now, &beats[i])
			}
			return machine
		})
		machine := v.(*bfmember.State)
		beat := &bfwire.Heartbeat{Membership: beats[0], AckIncarnation: beats[0].VM.Incarnation, AckVersion: 1 << 20, Digest: bfbackend.Digest{Count: 1000, Sum: 1 << 60}}
		data, err := bfwire.Encode(beat)
		if err != nil {
			return memberFits{}, err
		}
		encode = append(encode, 1e6*cost(codecTime, func() { _, err = bfwire.Encode(beat) }))
		x, pairs = append(x, float64(n)), append(pairs, float64(n*n))
		bytes, memory = append(bytes, float64(len(data))), append(memory, used/1e6)
		receive = append(receive, 1e6*cost(codecTime, func() {
			var m any
			if m, err = bfwire.Decode(data); err == nil {
				beats[0].Sequence++
				h := &m.(*bfwire.Heartbeat).Membership
				h.Sequence = beats[0].Sequence
				machine.Receive(now, h)
			}
		}))
		if err != nil {
			return memberFits{}, err
		}
		ticks = append(ticks, 1e6*tickCost(machine, beats, now))
	}
	return memberFits{
		bytes:   NewFit("heartbeat, size, "+where, "B", "VM", fromMember, x, bytes),
		receive: NewFit("heartbeat, decode and apply, "+where, "µs", "VM", fromMember, x, receive),
		encode:  NewFit("heartbeat, encode for one peer, "+where, "µs", "VM", fromMember, x, encode),
		tick:    NewFit("membership tick that sends, "+where, "µs", "pair of VMs", fromMember, pairs, ticks),
		memory:  NewFit("membership, memory, "+where, "MB", "pair of VMs", fromMember, pairs, memory),
	}, nil
}

// tickCost returns the median seconds of a tick that sends, while all peers are fresh.
func tickCost(machine *bfmember.State, beats []bfmember.Heartbeat, now time.Time) float64 {
	var all []float64
	for range 25 {
		now = now.Add(bfmember.HeartbeatInterval)
		for i := range beats {
			beats[i].Sequence++
			machine.Receive(now, &beats[i])
		}
		all = append(all, wall(func() {
			machine.Tick(now)
			machine.Heartbeat(now)
		}))
	}
	slices.Sort(all)
	return all[len(all)/2]
}

// measureLeases measures the real sync messages and a change of one service.
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
		cpu = append(cpu, 1e6*cost(codecTime, func() { size, err = changeOnce(from, to) }))
		if err != nil {
			return err
		}
		x, bytes = append(x, float64(n)), append(bytes, float64(size))
	}
	m.changeBytes = NewFit("change of one service, delta's size", "B", "service", fromLease, x, bytes)
	m.changeCPU = NewFit("change of one service, from difference to checksum", "µs", "service", fromLease, x, cpu)
	return nil
}

// changeOnce does what the leader and one entry do for a change.
func changeOnce(from, to *bfmachine.ConfigState) (int, error) {
	delta, ok := bfmachine.Diff(from, to)
	if !ok {
		return 0, fmt.Errorf("bfcapacity: no delta")
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
		return 0, fmt.Errorf("bfcapacity: patched state has another checksum")
	}
	return len(data), nil
}

// recordFit measures the backend servers that a heartbeat or page carries.
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
