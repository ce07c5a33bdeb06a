package bfcapacity

import (
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"runtime"
	"time"

	"briarferry"
	"briarferry/internal/state/bfcodec"
)

const (
	sourceConfig  = "`briarferry`, `bfcodec`"
	sourceStandIn = "stand-in type of `bfcapacity`, `bfcodec`"

	// measureTime is the approximate duration of one processor time measurement.
	measureTime = 80 * time.Millisecond
)

type (
	// compactHeartbeat identifies VMs by their index in a list that all VMs of a site
	// hold, and gives ages in steps of 10 ms.
	compactHeartbeat struct {
		_        struct{} `cbor:",toarray"`
		List     uint32
		From     uint16
		Sequence uint64
		Flags    uint8
		Ages     []byte
	}

	// siteDigest is a relay's summary of sites: the number of live VMs of each site, its
	// load and the age of that information.
	siteDigest struct {
		Sequence uint64      `cbor:"1,keyasint"`
		Sites    []siteState `cbor:"2,keyasint"`
	}

	siteState struct {
		_    struct{} `cbor:",toarray"`
		Site uint16
		Live uint16
		Load uint32
		Age  uint16
	}
)

// messageFits holds the fits of the membership and of the other messages, of the memory of
// a configuration and of the cost of a datagram.
type messageFits struct {
	// siteMembership is measured at the sizes of a site, meshMembership at those of a
	// mesh of all VMs.
	siteMembership, meshMembership     membershipFits
	compactBytes, compactCPU           Fit
	digestBytes, digestCPU             Fit
	configBytes, configCPU             Fit
	announcementBytes, announcementCPU Fit
	configHeap                         Fit
	changeBytes, changeCPU             Fit
	demandBytes, recordBytes           Fit
	datagramCPU                        Fit
	syncBytes                          float64
}

func measureMessages() (*messageFits, error) {
	m := &messageFits{}
	var err error
	if m.siteMembership, err = measureMembership("site", []int{4, 7, 10, 20}); err != nil {
		return nil, err
	}
	if m.meshMembership, err = measureMembership("full mesh", []int{52, 130, 260, 520}); err != nil {
		return nil, err
	}
	if err = m.measureLeases(); err != nil {
		return nil, err
	}
	m.compactBytes, m.compactCPU = codecFits("compact heartbeat", "VM", sourceStandIn, []int{5, 10, 20, 52}, newCompactHeartbeat)
	m.digestBytes, m.digestCPU = codecFits("site digest", "site", sourceStandIn, []int{6, 13, 26, 52}, newSiteDigest)
	m.configBytes, m.configCPU = codecFits("configuration document", "service", sourceConfig, []int{10, 100, 300, 1000}, newConfig)
	m.announcementBytes, m.announcementCPU = codecFits("announcements", "backend server", sourceConfig, []int{10, 50, 100, 400}, newAnnouncements)
	if m.recordBytes, err = recordFit(); err != nil {
		return nil, err
	}
	m.configHeap = configHeapFit()
	m.demandBytes = demandFit()
	m.datagramCPU, err = datagramFit()
	return m, err
}

// codecFits measures the size of a message and the processor time to encode and decode
// it.
func codecFits[T any](name, per, source string, sizes []int, make func(n int) T) (bytes, cpu Fit) {
	var x, length, micros []float64
	for _, n := range sizes {
		v := make(n)
		data, err := bfcodec.Marshal(v)
		if err != nil {
			panic(err)
		}
		x = append(x, float64(n))
		length = append(length, float64(len(data)))
		micros = append(micros, 1e6*cpuSeconds(measureTime, func() {
			data, _ := bfcodec.Marshal(v)
			var back T
			if err := bfcodec.Unmarshal(data, &back); err != nil {
				panic(err)
			}
		}))
	}
	return NewFit(name+", size", "B", per, source, x, length),
		NewFit(name+", encode and decode", "µs", per, source, x, micros)
}

// configHeapFit measures the memory of a decoded configuration document.
func configHeapFit() Fit {
	var x, y []float64
	for _, n := range []int{100, 300, 1000} {
		data, err := bfcodec.Marshal(newConfig(n))
		if err != nil {
			panic(err)
		}
		_, used := retainedHeap(func() any {
			var c briarferry.Config
			if err := bfcodec.Unmarshal(data, &c); err != nil {
				panic(err)
			}
			return &c
		})
		runtime.KeepAlive(data)
		x, y = append(x, float64(n)), append(y, used/1e6)
	}
	return NewFit("configuration document, memory", "MB", "service", sourceConfig, x, y)
}

func newCompactHeartbeat(n int) compactHeartbeat {
	return compactHeartbeat{List: 1 << 28, From: 7, Sequence: 1 << 20, Flags: 4, Ages: make([]byte, n)}
}

func newSiteDigest(n int) siteDigest {
	d := siteDigest{Sequence: 1 << 20}
	for i := range n {
		d.Sites = append(d.Sites, siteState{Site: uint16(i), Live: 0x3ff, Load: uint32(30_000_000 + i), Age: uint16(200 + i)})
	}
	return d
}

func newConfig(services int) *briarferry.Config {
	c := &briarferry.Config{Version: 1 << 20, Limits: briarferry.DefaultLimits()}
	for r := range targetRegions {
		region := briarferry.Region{Name: fmt.Sprintf("region-%d", r), CapacityShare: 0.8}
		for d := range 3 {
			region.FailureDomains = append(region.FailureDomains, fmt.Sprintf("domain-%d-%d", r, d))
		}
		c.Regions = append(c.Regions, region)
		for o := range r {
			c.Links = append(c.Links, briarferry.Link{Regions: [2]string{region.Name, fmt.Sprintf("region-%d", o)}, Mbit: 4000, OneWayDelay: briarferry.Duration(55 * time.Millisecond)})
		}
	}
	for i, name := range []string{"urgent", "normal", "bulk"} {
		c.Classes = append(c.Classes, briarferry.PriorityClass{Name: name, Urgency: i, Target: briarferry.Duration(time.Second), FloorShare: 0.1})
	}
	for s := range services {
		c.Services = append(c.Services, briarferry.Service{Name: fmt.Sprintf("service-%04d", s), Class: "normal", Slots: 9, Servers: 20, ExpectedLatency: briarferry.Duration(40 * time.Millisecond)})
	}
	return c
}

func newAnnouncements(n int) []briarferry.Announcement {
	var out []briarferry.Announcement
	for i := range n {
		out = append(out, briarferry.Announcement{
			Service: "service-0001", Region: "region-3", FailureDomain: "domain-3-1", Slots: 9, ConnectionLimit: 400,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 8080),
			State:   briarferry.StateReady, Load: 0.61, Sequence: 1764832000000 + uint64(i),
		})
	}
	return out
}

// demandFit measures the size of a site's report of its blocks' demand. Each block
// takes a varint for the gap to the previous block and a byte for the demand in steps
// of 10%.
func demandFit() Fit {
	var x, y []float64
	for _, n := range []int{500, 1700, 5200} {
		var out []byte
		for i := range n {
			out = append(binary.AppendUvarint(out, uint64(1+i*7%60)), byte(i))
		}
		x, y = append(x, float64(n)), append(y, float64(len(out)))
	}
	return NewFit("demand report, size", "B", "changed block", "stand-in encoding of `bfcapacity`", x, y)
}

// datagramFit measures the processor time to send and receive a datagram over loopback.
func datagramFit() (Fit, error) {
	server, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		return Fit{}, fmt.Errorf("bfcapacity: listen: %w", err)
	}
	defer func() { _ = server.Close() }()
	client, err := net.DialUDP("udp", nil, server.LocalAddr().(*net.UDPAddr))
	if err != nil {
		return Fit{}, fmt.Errorf("bfcapacity: dial: %w", err)
	}
	defer func() { _ = client.Close() }()
	var x, y []float64
	buf := make([]byte, 2048)
	for _, size := range []int{64, 256, 640, 1280} {
		message := make([]byte, size)
		x = append(x, float64(size))
		y = append(y, 1e6*cpuSeconds(4*measureTime, func() {
			if _, err = client.Write(message); err == nil {
				_, _, err = server.ReadFromUDPAddrPort(buf)
			}
		}))
		if err != nil {
			return Fit{}, fmt.Errorf("bfcapacity: datagram: %w", err)
		}
	}
	return NewFit("datagram over loopback, send and receive", "µs", "B", "`net`", x, y), nil
}
