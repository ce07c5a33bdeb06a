package bfbackend

import (
	"math"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"briarferry"
)

const (
	loadScale    = 1000
	maxRecordAge = time.Hour
)

type (
	// Record is an announcement in the form that VMs exchange.
	Record struct {
		_               struct{} `cbor:",toarray"`
		Service         string
		Address         netip.AddrPort
		Region          string
		FailureDomain   string
		Slots           int
		ConnectionLimit int
		State           briarferry.BackendState
		LoadMilli       uint32
		Sequence        uint64
		AgeMillis       uint32
		// Origin is the name of the VM that received the announcement.
		Origin string
	}

	// Refresh renews a record of which only the sequence and the load have changed.
	Refresh struct {
		_         struct{} `cbor:",toarray"`
		Key       uint64
		LoadMilli uint32
		Sequence  uint64
		AgeMillis uint32
	}
)

// Key returns the hash that identifies a backend server in messages.
func Key(id briarferry.BackendID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(id.Service)
	buf, _ := id.Address.AppendBinary([]byte{0})
	_, _ = d.Write(buf)
	return d.Sum64()
}

// Announcement returns the announcement that the record carries.
func (r *Record) Announcement() briarferry.Announcement {
	return briarferry.Announcement{
		Service: r.Service, Address: r.Address, Region: r.Region, FailureDomain: r.FailureDomain,
		Slots: r.Slots, ConnectionLimit: r.ConnectionLimit, State: r.State,
		Load: float64(r.LoadMilli) / loadScale, Sequence: r.Sequence,
	}
}

// Validate reports every field that is out of range.
func (r *Record) Validate() briarferry.Findings {
	a := r.Announcement()
	f := a.Validate()
	if r.Sequence == 0 {
		f.Add("sequence", "must be set")
	}
	if !briarferry.ValidName(r.Origin) {
		f.Add("origin", "must be a name: %q", r.Origin)
	}
	return f
}

func newRecord(row *tableRow, now time.Time) Record {
	a := &row.announcement
	return Record{
		Service: a.Service, Address: a.Address, Region: a.Region, FailureDomain: a.FailureDomain,
		Slots: a.Slots, ConnectionLimit: a.ConnectionLimit, State: a.State,
		LoadMilli: loadMilli(a.Load), Sequence: a.Sequence, AgeMillis: ageMillis(now.Sub(row.heardAt)), Origin: row.origin,
	}
}

func loadMilli(load float64) uint32 { return uint32(math.Round(load * loadScale)) }

func ageMillis(d time.Duration) uint32 {
	return uint32(min(max(d, 0), maxRecordAge) / time.Millisecond)
}

// hashContent returns a hash of the announcement without its sequence and load, which
// change with each announcement.
func hashContent(a *briarferry.Announcement) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range []string{a.Service, a.Region, a.FailureDomain, string(a.State)} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	buf, _ := a.Address.AppendBinary(nil)
	for _, n := range []int{a.Slots, a.ConnectionLimit} {
		buf = append(buf, byte(n), byte(n>>8), byte(n>>16), byte(n>>24))
	}
	_, _ = d.Write(buf)
	return d.Sum64()
}
