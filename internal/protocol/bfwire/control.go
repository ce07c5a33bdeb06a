// Package bfwire holds the messages between the system's own processes.
package bfwire

import (
	"fmt"

	"briarferry"
	"briarferry/internal/coordination/bflease"
	"briarferry/internal/coordination/bfplacement"
	"briarferry/internal/state/bfmachine"
)

// MaxClaimOps bounds the operations of one claims call.
const MaxClaimOps = 256

type (
	// SyncRequest asks the leader for a configuration lease.
	SyncRequest = bflease.SyncRequest
	// SyncReply grants one.
	SyncReply = bflease.SyncReply

	// PlacementReport tells the leader what an entry measured.
	PlacementReport = bfplacement.Report
	// PlacementReply brings the entry to the leader's assignment.
	PlacementReply = bfplacement.Reply

	// ClaimsRequest carries operations on claims, in any order of time.
	ClaimsRequest struct {
		Ops []bfmachine.ClaimOp `cbor:"o"`
	}

	// ClaimsReply holds one result for each operation and the log index that the
	// last one was applied at.
	ClaimsReply struct {
		Index   uint64               `cbor:"i"`
		Results []bfmachine.OpResult `cbor:"r"`
	}

	// ChangeRequest carries an operator's change.
	ChangeRequest struct {
		Op bfmachine.Op `cbor:"o"`
	}

	// ChangeReply is sent once the change is in force.
	ChangeReply struct {
		Result bfmachine.OpResult `cbor:"r"`
	}

	// ConfigRequest asks for the newest committed configuration state.
	ConfigRequest struct{}

	// ConfigReply holds it.
	ConfigReply struct {
		State bfmachine.ConfigState `cbor:"s"`
	}

	// ControlStatusRequest asks a control replica about itself.
	ControlStatusRequest struct{}

	// ControlStatus describes a control replica.
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

// Validate reports a result without its claim.
func (r *ClaimsReply) Validate() briarferry.Findings {
	var f briarferry.Findings
	for i, result := range r.Results {
		if result.Claim == nil {
			f.Add(fmt.Sprintf("results[%d]", i), "must be the result of a claim, not %q", result.Code)
		}
	}
	return f
}

// Validate reports every fault of the change.
func (r *ChangeRequest) Validate() briarferry.Findings {
	f := r.Op.Validate()
	if r.Op.Claim != nil {
		f.Add("operation", "must be a change of an operator")
	}
	return f
}

// Validate reports every fault of the state.
func (r *ConfigReply) Validate() briarferry.Findings { return r.State.Validate() }
