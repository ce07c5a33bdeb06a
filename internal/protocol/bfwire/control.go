package bfwire

import (
	"fmt"

	"briarferry"
	"briarferry/internal/coordination/bflease"
	"briarferry/internal/coordination/bfplacement"
	"briarferry/internal/state/bfmachine"
)

// MaxClaimOps is the maximum number of operations in a ClaimsRequest.
const MaxClaimOps = 256

type (
	// SyncRequest asks the leader for a configuration lease.
	SyncRequest = bflease.SyncRequest
	// SyncReply grants a configuration lease.
	SyncReply = bflease.SyncReply

	// PlacementReport carries an entry's load measurements to the leader.
	PlacementReport = bfplacement.Report
	// PlacementReply carries the leader's assignment to the entry.
	PlacementReply = bfplacement.Reply

	// ClaimsRequest carries operations on claims, in no particular order.
	ClaimsRequest struct {
		Ops []bfmachine.ClaimOp `cbor:"o"`
	}

	// ClaimsReply holds the results in the order of the request's operations. Index is
	// the highest log index at which one of them was applied.
	ClaimsReply struct {
		Index   uint64               `cbor:"i"`
		Results []bfmachine.OpResult `cbor:"r"`
	}

	// ChangeRequest carries a change made by an operator.
	ChangeRequest struct {
		Op bfmachine.Op `cbor:"o"`
	}

	// ChangeReply is sent once the change has been applied.
	ChangeReply struct {
		Result bfmachine.OpResult `cbor:"r"`
	}

	// ConfigRequest asks for the newest committed configuration state.
	ConfigRequest struct{}

	// ConfigReply holds the newest committed configuration state.
	ConfigReply struct {
		State bfmachine.ConfigState `cbor:"s"`
	}

	// ControlStatusRequest asks a control replica for its status.
	ControlStatusRequest struct{}

	// ControlStatus is the status of a control replica, with the version, revision
	// and checksum of its configuration state and its number of claim records.
	ControlStatus struct {
		Replica  briarferry.ReplicaStatus `cbor:"r"`
		Version  uint64                   `cbor:"v"`
		Revision uint64                   `cbor:"n"`
		Checksum uint64                   `cbor:"c"`
		Claims   int                      `cbor:"l"`
	}
)

// Validate reports every operation that is out of range.
func (r *ClaimsRequest) Validate() briarferry.Findings {
	var f briarferry.Findings
	if len(r.Ops) == 0 || len(r.Ops) > MaxClaimOps {
		f.Add("ops", "must have 1 to %d entries", MaxClaimOps)
		return f
	}
	for i := range r.Ops {
		f.Merge(fmt.Sprintf("ops[%d]", i), r.Ops[i].Validate())
	}
	return f
}

// Validate reports every result that is not the result of a claim operation.
func (r *ClaimsReply) Validate() briarferry.Findings {
	var f briarferry.Findings
	for i, result := range r.Results {
		if result.Claim == nil {
			f.Add(fmt.Sprintf("results[%d]", i), "must be the result of a claim, not %q", result.Code)
		}
	}
	return f
}

// Validate reports every field that is out of range.
func (r *ChangeRequest) Validate() briarferry.Findings {
	f := r.Op.Validate()
	if r.Op.Claim != nil {
		f.Add("operation", "must be a change of an operator")
	}
	return f
}

// Validate reports every field that is out of range.
func (r *ConfigReply) Validate() briarferry.Findings { return r.State.Validate() }
