package bffleet

import (
	"fmt"

	"briarferry"
	"briarferry/internal/state/bfcodec"
)

const (
	// CodeOK means that the command was applied, now or earlier, or that it needs no
	// change.
	CodeOK Code = "ok"
	// CodeInvalid means that the command can't be decoded or is out of range.
	CodeInvalid Code = "invalid"
	// CodeConflict means that the route table is based on another version, that its version
	// isn't above the current one, or that another order for the failure domain came first.
	CodeConflict Code = "conflict"
	// CodeFull means that the registry has no room for another instance.
	CodeFull Code = "full"

	// digestBytes is the size of a change's SHA-256 digest.
	digestBytes = 32
	// maxSourceBytes is the maximum size of the compressed document. It leaves room for
	// the route table in the same command of the Raft log (1 MB).
	maxSourceBytes = 512 << 10
	// maxInstances is the maximum number of instances in a Register command.
	maxInstances = 256
)

type (
	// Code is the result code of a command.
	Code string

	// Command is a change to the state; exactly one field is set.
	Command struct {
		PutRoutes *PutRoutes `cbor:"1,keyasint,omitempty"`
		Evacuate  *Evacuate  `cbor:"2,keyasint,omitempty"`
		Register  *Register  `cbor:"3,keyasint,omitempty"`
		Leave     *Leave     `cbor:"4,keyasint,omitempty"`
		Expire    *Expire    `cbor:"5,keyasint,omitempty"`
	}

	// PutRoutes replaces the route table if its version is still Base.
	PutRoutes struct {
		Base  uint64                `cbor:"1,keyasint"`
		Table briarferry.RouteTable `cbor:"2,keyasint"`
		// Source is the compressed document that the operator sent. It is kept to be
		// returned to operators.
		Source []byte `cbor:"3,keyasint"`
		// Digest identifies the change, so that a repeated command is recognized.
		Digest []byte `cbor:"4,keyasint"`
	}

	// Evacuate sets or withdraws the evacuation of a failure domain.
	Evacuate struct {
		FailureDomain string `cbor:"1,keyasint"`
		Withdraw      bool   `cbor:"2,keyasint,omitempty"`
		// Conditional limits the change to the state that the order was made for: Base must
		// still be the log index of the last order for this failure domain. An order that
		// arrives late would otherwise undo a newer one.
		Conditional bool   `cbor:"3,keyasint,omitempty"`
		Base        uint64 `cbor:"4,keyasint,omitempty"`
	}

	// Register adds instances or updates registered ones.
	Register struct {
		Instances []briarferry.Instance `cbor:"1,keyasint"`
	}

	// Leave removes an instance that has left. Later reports of the same process don't
	// register it again.
	Leave struct {
		ID string `cbor:"1,keyasint"`
		// Started is the start time of the process that leaves. A process that was started
		// later under the same ID stays. Zero stands for any process.
		Started int64 `cbor:"2,keyasint,omitempty"`
	}

	// Expire removes an instance that stopped reporting, unless it has changed in the
	// meantime. A later report of the same process registers it again.
	Expire struct {
		ID string `cbor:"1,keyasint"`
		// Revision is the log index of the instance's last change.
		Revision uint64 `cbor:"2,keyasint"`
	}

	// Result is the result of a command, with the version of the route table and the
	// revision of the state after it.
	Result struct {
		Code     Code   `cbor:"1,keyasint"`
		Version  uint64 `cbor:"2,keyasint"`
		Revision uint64 `cbor:"3,keyasint"`
	}
)

// Encode returns the command as data for an entry of the Raft log.
func (c *Command) Encode() ([]byte, error) { return bfcodec.Marshal(c) }

// DecodeResult decodes the result of a command.
func DecodeResult(data []byte) (Result, error) {
	var r Result
	if err := bfcodec.Unmarshal(data, &r); err != nil {
		return r, fmt.Errorf("bffleet: %w", err)
	}
	return r, nil
}

// Validate reports every field of the command that is out of range.
func (c *Command) Validate() briarferry.Findings {
	var f briarferry.Findings
	set := 0
	if c.PutRoutes != nil {
		set++
		f.Merge("put_routes", c.PutRoutes.Validate())
	}
	if c.Evacuate != nil {
		set++
		if !briarferry.ValidName(c.Evacuate.FailureDomain) {
			f.Add("evacuate.failure_domain", "must be a name: %q", c.Evacuate.FailureDomain)
		}
	}
	if c.Register != nil {
		set++
		f.Merge("register", c.Register.Validate())
	}
	if c.Leave != nil {
		set++
		if !briarferry.ValidName(c.Leave.ID) {
			f.Add("leave.id", "must be a name: %q", c.Leave.ID)
		}
	}
	if c.Expire != nil {
		set++
		if !briarferry.ValidName(c.Expire.ID) {
			f.Add("expire.id", "must be a name: %q", c.Expire.ID)
		}
	}
	if set != 1 {
		f.Add("command", "must have exactly one kind, not %d", set)
	}
	return f
}

// Validate reports every field that is out of range.
func (p *PutRoutes) Validate() briarferry.Findings {
	f := p.Table.Validate()
	if len(p.Digest) != digestBytes {
		f.Add("digest", "must have %d bytes", digestBytes)
	}
	if len(p.Source) > maxSourceBytes {
		f.Add("source", "must have at most %d bytes", maxSourceBytes)
	}
	return f
}

// Validate reports every field that is out of range.
func (r *Register) Validate() briarferry.Findings {
	var f briarferry.Findings
	if len(r.Instances) == 0 || len(r.Instances) > maxInstances {
		f.Add("instances", "must have 1 to %d entries", maxInstances)
		return f
	}
	for i := range r.Instances {
		f.Merge(fmt.Sprintf("instances[%d]", i), r.Instances[i].Validate())
	}
	return f
}
