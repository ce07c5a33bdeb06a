package briarferry

import "time"

const (
	// ClaimGranted lets the holder dispatch the request.
	ClaimGranted ClaimResult = "granted"
	// ClaimHeld says that another attempt holds or held the claim and may have run.
	ClaimHeld ClaimResult = "held"
	// ClaimCompleted says that the request ran; the recorded answer is attached.
	ClaimCompleted ClaimResult = "completed"
	// ClaimMismatch says that the key was used with another body.
	ClaimMismatch ClaimResult = "mismatch"
	// ClaimStale says that the key was refused after the attempt arrived.
	ClaimStale ClaimResult = "stale"
	// ClaimFull says that the table has no room.
	ClaimFull ClaimResult = "full"
	// ClaimReleased says that no attempt of the key has run.
	ClaimReleased ClaimResult = "released"

	// MaxKeyLength bounds an idempotency key.
	MaxKeyLength   = 255
	maxTokenLength = 64
)

type (
	// ClaimResult is the state machine's reply to a claim command.
	ClaimResult string

	// Claim is an attempt's right to run the request with a key.
	Claim struct {
		Service string `json:"service"`
		Key     string `json:"key"`
		// Digest covers method, target and body.
		Digest [32]byte `json:"digest"`
		// Token identifies the attempt; a repeated command with it is safe.
		Token string `json:"token"`
		// SeenIndex is the newest log index that the entry knew when the attempt arrived.
		SeenIndex uint64 `json:"seen_index"`
	}

	// ClaimReply is the result of a claim command.
	ClaimReply struct {
		Result ClaimResult `json:"result"`
		// Answer is the recorded answer of a completed request, where it was kept.
		Answer *Answer `json:"answer,omitempty"`
	}

	// Lease is an entry's right to take work under a configuration.
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
