// Package bfwire defines the messages between the system's processes.
package bfwire

import (
	"fmt"

	"github.com/rotisserie/eris"

	"briarferry"
	"briarferry/internal/coordination/bfmember"
	"briarferry/internal/coordination/bfquota"
	"briarferry/internal/coordination/bfslot"
	"briarferry/internal/state/bfbackend"
	"briarferry/internal/state/bfcodec"
)

const (
	// MaxDatagramBytes is the maximum size of a gossip datagram. Most stay below
	// 1,400 bytes; only heartbeats in systems of about 50 VMs are larger.
	MaxDatagramBytes = 16 << 10
	// MaxDeltaBytes is the maximum size of the table delta in one datagram.
	MaxDeltaBytes = 1000
	// MaxPageRecords is the maximum number of records in a Page.
	MaxPageRecords = 12

	maxDeltaChanges = 1024
)

const (
	// KindHeartbeat marks a *Heartbeat.
	KindHeartbeat byte = iota + 1
	// KindPull marks a *Pull.
	KindPull
	// KindPage marks a *Page.
	KindPage
	// KindSlotRequest marks a *bfslot.Request.
	KindSlotRequest
	// KindSlotGrant marks a *bfslot.Grant.
	KindSlotGrant
	// KindChanges marks a *Changes.
	KindChanges
	// KindEntryHeartbeat marks an *EntryHeartbeat.
	KindEntryHeartbeat
	// KindControlHeartbeat marks a *ControlHeartbeat.
	KindControlHeartbeat
	// KindQuotaReport marks a *bfquota.Report.
	KindQuotaReport
	// KindQuotaGrant marks a *bfquota.Grant.
	KindQuotaGrant
)

var (
	// ErrTooLarge is returned for a message larger than MaxDatagramBytes.
	ErrTooLarge = eris.New("bfwire: message is too large for a datagram")
	// ErrUnknownKind is returned for a datagram whose first byte is not a known
	// kind, and for a message that has no kind.
	ErrUnknownKind = eris.New("bfwire: unknown kind of message")
)

type (
	// Heartbeat carries the sender's membership heartbeat and the changes of its
	// table of backend servers.
	Heartbeat struct {
		_          struct{} `cbor:",toarray"`
		Membership bfmember.Heartbeat
		// AckIncarnation and AckVersion identify the version of the receiver's table
		// that the sender has applied.
		AckIncarnation uint64
		AckVersion     uint64
		Delta          bfbackend.Delta
		Digest         bfbackend.Digest
	}

	// Changes carries the table changes that did not fit into a heartbeat.
	Changes struct {
		_           struct{} `cbor:",toarray"`
		From        string
		Incarnation uint64
		Delta       bfbackend.Delta
	}

	// Pull asks for the pages of the full table whose keys are greater than After.
	Pull struct {
		_     struct{} `cbor:",toarray"`
		From  string
		After uint64
		// Pages is the number of requested pages.
		Pages uint8
	}

	// Page is one page of the full table, with the records whose keys are greater
	// than After. Next is the last key of the page; the next page holds the records with
	// greater keys.
	Page struct {
		_       struct{} `cbor:",toarray"`
		From    string
		After   uint64
		Next    uint64
		Records []bfbackend.Record
		// More reports whether records with keys greater than Next exist. Last is set
		// on the last page that a Pull asked for; the sender sends further records only
		// after another Pull.
		More, Last bool
		// Synced reports whether the sender itself has the full table.
		Synced bool
	}
)

// Validate reports every field that is out of range.
func (h *Heartbeat) Validate() briarferry.Findings {
	f := h.Membership.Validate()
	f.Merge("delta", validateDelta(&h.Delta))
	return f
}

// Validate reports every field that is out of range.
func (c *Changes) Validate() briarferry.Findings {
	f := validateSender(c.From)
	f.Merge("delta", validateDelta(&c.Delta))
	return f
}

func validateDelta(d *bfbackend.Delta) briarferry.Findings {
	var f briarferry.Findings
	if len(d.Records) > maxDeltaChanges || len(d.Refreshes) > maxDeltaChanges {
		f.Add("records", "must have at most %d entries", maxDeltaChanges)
		return f
	}
	return validateRecords(d.Records)
}

// Validate reports every field that is out of range.
func (p *Pull) Validate() briarferry.Findings { return validateSender(p.From) }

// Validate reports every field that is out of range.
func (p *Page) Validate() briarferry.Findings {
	f := validateSender(p.From)
	if len(p.Records) > MaxPageRecords {
		f.Add("records", "must have at most %d entries", MaxPageRecords)
		return f
	}
	f.Merge("page", validateRecords(p.Records))
	return f
}

func validateSender(name string) briarferry.Findings {
	var f briarferry.Findings
	if !briarferry.ValidName(name) {
		f.Add("from", "must be a name: %q", name)
	}
	return f
}

func validateRecords(list []bfbackend.Record) briarferry.Findings {
	var f briarferry.Findings
	for i := range list {
		f.Merge(fmt.Sprintf("records[%d]", i), list[i].Validate())
	}
	return f
}

// Encode returns the datagram that carries a message.
func Encode(m any) ([]byte, error) {
	kind, err := kindOf(m)
	if err != nil {
		return nil, err
	}
	body, err := bfcodec.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("bfwire: %w", err)
	}
	if len(body) >= MaxDatagramBytes {
		return nil, ErrTooLarge
	}
	return append([]byte{kind}, body...), nil
}

// Decode decodes and validates the message of a datagram.
func Decode(data []byte) (any, error) {
	if len(data) > MaxDatagramBytes {
		return nil, ErrTooLarge
	}
	if len(data) == 0 {
		return nil, ErrUnknownKind
	}
	var m any
	switch data[0] {
	case KindHeartbeat:
		m = new(Heartbeat)
	case KindPull:
		m = new(Pull)
	case KindPage:
		m = new(Page)
	case KindSlotRequest:
		m = new(bfslot.Request)
	case KindSlotGrant:
		m = new(bfslot.Grant)
	case KindChanges:
		m = new(Changes)
	case KindEntryHeartbeat:
		m = new(EntryHeartbeat)
	case KindControlHeartbeat:
		m = new(ControlHeartbeat)
	case KindQuotaReport:
		m = new(bfquota.Report)
	case KindQuotaGrant:
		m = new(bfquota.Grant)
	case KindPlanReport:
		m = new(PlanReport)
	case KindPlanReply:
		m = new(PlanReply)
	case KindTableConfirmation:
		m = new(TableConfirmation)
	default:
		return nil, ErrUnknownKind
	}
	if err := bfcodec.Unmarshal(data[1:], m); err != nil {
		return nil, fmt.Errorf("bfwire: %w", err)
	}
	return m, nil
}

func kindOf(m any) (byte, error) {
	switch m.(type) {
	case *Heartbeat:
		return KindHeartbeat, nil
	case *Pull:
		return KindPull, nil
	case *Page:
		return KindPage, nil
	case *bfslot.Request:
		return KindSlotRequest, nil
	case *bfslot.Grant:
		return KindSlotGrant, nil
	case *Changes:
		return KindChanges, nil
	case *EntryHeartbeat:
		return KindEntryHeartbeat, nil
	case *ControlHeartbeat:
		return KindControlHeartbeat, nil
	case *bfquota.Report:
		return KindQuotaReport, nil
	case *bfquota.Grant:
		return KindQuotaGrant, nil
	case *PlanReport:
		return KindPlanReport, nil
	case *PlanReply:
		return KindPlanReply, nil
	case *TableConfirmation:
		return KindTableConfirmation, nil
	}
	return 0, ErrUnknownKind
}
