package bfmachine

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"briarferry"
	"briarferry/internal/state/bfclaim"
	"briarferry/internal/state/bfcodec"
)

const (
	// CodeOK means that the operation was applied.
	CodeOK Code = "ok"
	// CodeInvalid means that the operation can't be decoded or is out of range.
	CodeInvalid Code = "invalid"
	// CodeConflict means that the change is based on another version.
	CodeConflict Code = "conflict"
	// CodeKeyReused means that the idempotency key was used for another change.
	CodeKeyReused Code = "key_reused"
	// CodeNotFound means that the drain doesn't exist.
	CodeNotFound Code = "not_found"
	// CodeFull means that there is no room for another drain.
	CodeFull Code = "full"

	// OpClaim, OpComplete, OpRelease and OpRefuse are the operations on a claim.
	OpClaim    ClaimKind = "claim"
	OpComplete ClaimKind = "complete"
	OpRelease  ClaimKind = "release"
	OpRefuse   ClaimKind = "refuse"

	// MaxOps is the maximum number of operations in a command.
	MaxOps = 1024
)

type (
	// Code is the result code of an operation.
	Code string

	// ClaimKind is the kind of an operation on a claim.
	ClaimKind string

	// Command is the content of an entry of the Raft log: operations that are
	// applied together, in order, at the leader's time in Unix milliseconds.
	Command struct {
		Time int64             `cbor:"t"`
		Ops  []cbor.RawMessage `cbor:"o"`
	}

	// Op is one operation; exactly one field is set.
	Op struct {
		PutConfig   *PutConfig   `cbor:"p,omitempty"`
		AddDrain    *AddDrain    `cbor:"a,omitempty"`
		RemoveDrain *RemoveDrain `cbor:"r,omitempty"`
		Claim       *ClaimOp     `cbor:"c,omitempty"`
	}

	// PutConfig replaces the configuration if its version is still Base.
	PutConfig struct {
		Base   uint64            `cbor:"b"`
		Config briarferry.Config `cbor:"c"`
		Key    string            `cbor:"k"`
	}

	// AddDrain creates a drain; the state machine assigns its ID.
	AddDrain struct {
		Drain briarferry.Drain `cbor:"d"`
		Key   string           `cbor:"k"`
	}

	// RemoveDrain deletes a drain.
	RemoveDrain struct {
		ID  string `cbor:"i"`
		Key string `cbor:"k,omitempty"`
	}

	// ClaimOp is an operation on a claim. Answer is an encoded briarferry.Answer.
	ClaimOp struct {
		Kind   ClaimKind        `cbor:"k"`
		Claim  briarferry.Claim `cbor:"c"`
		Answer []byte           `cbor:"a,omitempty"`
	}

	// Result holds the results of a command's operations, or a single CodeInvalid
	// result if the command can't be decoded or has more than MaxOps operations.
	Result struct {
		Index uint64     `cbor:"i"`
		Ops   []OpResult `cbor:"o"`
	}

	// OpResult is the result of one operation.
	OpResult struct {
		Code Code `cbor:"c"`
		// Version is the configuration's version after the operation.
		Version uint64 `cbor:"v,omitempty"`
		// Revision is the revision of the state that contains the change, or of the
		// unchanged state if nothing changed.
		Revision uint64            `cbor:"r,omitempty"`
		Drain    *briarferry.Drain `cbor:"d,omitempty"`
		Claim    *ClaimReply       `cbor:"l,omitempty"`
	}

	// ClaimReply is the result of an operation on a claim, with the encoded answer if
	// there is one.
	ClaimReply struct {
		Result briarferry.ClaimResult `cbor:"r"`
		Answer []byte                 `cbor:"a,omitempty"`
	}
)

// Encode returns the encoded command with the given operations.
func Encode(unixMilli int64, ops ...Op) ([]byte, error) {
	c := Command{Time: unixMilli, Ops: make([]cbor.RawMessage, len(ops))}
	for i, op := range ops {
		data, err := bfcodec.Marshal(op)
		if err != nil {
			return nil, fmt.Errorf("bfmachine: encode operation: %w", err)
		}
		c.Ops[i] = data
	}
	return bfcodec.Marshal(c)
}

// DecodeResult decodes the result of a command with n operations.
func DecodeResult(data []byte, n int) (Result, error) {
	var r Result
	if err := bfcodec.Unmarshal(data, &r); err != nil {
		return r, fmt.Errorf("bfmachine: %w", err)
	}
	if len(r.Ops) != n {
		return r, fmt.Errorf("bfmachine: %d results for %d operations", len(r.Ops), n)
	}
	return r, nil
}

// Validate reports every field of the operation that is out of range.
func (o *Op) Validate() briarferry.Findings {
	var f briarferry.Findings
	set := 0
	if o.PutConfig != nil {
		set++
		f.Merge("config", o.PutConfig.Config.Validate())
		checkKey(&f, o.PutConfig.Key)
	}
	if o.AddDrain != nil {
		set++
		f.Merge("drain", o.AddDrain.Drain.Validate())
		checkKey(&f, o.AddDrain.Key)
	}
	if o.RemoveDrain != nil {
		set++
		if !briarferry.ValidName(o.RemoveDrain.ID) {
			f.Add("id", "must be a name")
		}
		if o.RemoveDrain.Key != "" {
			checkKey(&f, o.RemoveDrain.Key)
		}
	}
	if o.Claim != nil {
		set++
		f.Merge("claim", o.Claim.Validate())
	}
	if set != 1 {
		f.Add("operation", "must have exactly one kind, not %d", set)
	}
	return f
}

// Validate reports every field that is out of range.
func (c *ClaimOp) Validate() briarferry.Findings {
	f := c.Claim.Validate()
	switch c.Kind {
	case OpClaim, OpComplete, OpRelease, OpRefuse:
	default:
		f.Add("kind", "must be claim, complete, release or refuse")
	}
	if len(c.Answer) > bfclaim.MaxAnswerBytes || (len(c.Answer) > 0 && c.Kind != OpComplete) {
		f.Add("answer", "must have at most %d bytes and belong to a completion", bfclaim.MaxAnswerBytes)
	}
	return f
}

func checkKey(f *briarferry.Findings, key string) {
	if key == "" || len(key) > briarferry.MaxKeyLength {
		f.Add("key", "must have 1 to %d bytes", briarferry.MaxKeyLength)
	}
}
