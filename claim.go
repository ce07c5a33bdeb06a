package briarferry

import "time"

const (
	// ClaimGranted means that the attempt holds the claim and may dispatch the request.
	ClaimGranted ClaimResult = "granted"
	// ClaimHeld means that another attempt holds the claim, or may have held it before
	// its record expired, and may have run.
	ClaimHeld ClaimResult = "held"
	// ClaimCompleted means that the request ran. The reply holds the recorded answer if
	// it was kept.
	ClaimCompleted ClaimResult = "completed"
	// ClaimMismatch means that the key was used with another request.
	ClaimMismatch ClaimResult = "mismatch"
	// ClaimStale means that the key was refused or released after the attempt had
	// arrived.
	ClaimStale ClaimResult = "stale"
	// ClaimFull means that the table of claims has no room.
	ClaimFull ClaimResult = "full"
	// ClaimReleased means that no attempt with the key has run.
	ClaimReleased ClaimResult = "released"

	// MaxKeyLength is the maximum length of an idempotency key in bytes.
	MaxKeyLength   = 255
	maxTokenLength = 64
)

type (
	// ClaimResult is the state machine's reply to a claim command.
	ClaimResult string

	// Claim is an attempt's claim to run the request with an idempotency key.
	Claim struct {
		Service string `json:"service"`
		Key     string `json:"key"`
		// Digest is a hash of the request's method, target and body.
		Digest [32]byte `json:"digest"`
		// Token identifies the attempt. A command may be repeated with the same token.
		Token string `json:"token"`
		// SeenIndex is the highest log index that the entry knew when the attempt
		// arrived.
		SeenIndex uint64 `json:"seen_index"`
	}

	// ClaimReply is the result of a claim command.
	ClaimReply struct {
		Result ClaimResult `json:"result"`
		// Answer is the recorded answer of a completed request, if it was kept.
		Answer *Answer `json:"answer,omitempty"`
	}

	// Lease is an entry's right to accept requests under a version of the
	// configuration.
	Lease struct {
		Version     uint64
		CommitIndex uint64
		ExpiresAt   time.Time
	}
)

// Validate reports every field that is out of range.
func (c *Claim) Validate() Findings {
	var f Findings
	if !ValidName(c.Service) {
		f.Add("service", "must be a name: %q", c.Service)
	}
	if c.Key == "" || len(c.Key) > MaxKeyLength {
		f.Add("key", "must have 1 to %d bytes", MaxKeyLength)
	}
	if c.Token == "" || len(c.Token) > maxTokenLength {
		f.Add("token", "must have 1 to %d bytes", maxTokenLength)
	}
	return f
}
