package bfwire

import (
	"time"

	"briarferry"
)

// KindTableConfirmation marks a *TableConfirmation.
const KindTableConfirmation byte = 22

// TableConfirmation answers an EntryHeartbeat: no route table newer than Version had been
// accepted when the control VM last asked, Age before it sent the message.
type TableConfirmation struct {
	_ struct{} `cbor:",toarray"`
	// EchoSequence is the sequence of the answered EntryHeartbeat.
	EchoSequence uint64
	Version      uint64
	Age          time.Duration
}

// Validate reports every field that is out of range.
func (c *TableConfirmation) Validate() briarferry.Findings {
	var f briarferry.Findings
	if c.Version == 0 {
		f.Add("version", "must be at least 1")
	}
	if c.Age < 0 {
		f.Add("age", "must not be negative: %v", c.Age)
	}
	return f
}
