package bfentry

import (
	"context"
	"sync"
	"time"

	"briarferry"
)

// maxMemoryClaims is the maximum number of claims that MemoryClaims holds.
const maxMemoryClaims = 100_000

type (
	// FixedConfig is a ConfigSource for a process without a control group. Its
	// configuration never changes.
	FixedConfig struct {
		Config *briarferry.Config
	}

	// MemoryClaims is a Claimer for a process without a control group. It holds the claims
	// in memory, so they are lost when the process ends.
	MemoryClaims struct {
		mu    sync.Mutex
		table map[string]*memoryClaim
	}

	memoryClaim struct {
		claim     briarferry.Claim
		completed bool
		answer    briarferry.Answer
	}
)

// Current returns the configuration with a lease that is renewed on each call.
func (f FixedConfig) Current() (*briarferry.Config, briarferry.Lease, bool) {
	return f.Config, briarferry.Lease{Version: f.Config.Version, ExpiresAt: time.Now().Add(time.Hour)}, true
}

// Claim grants a key to the first attempt that asks for it.
func (m *MemoryClaims) Claim(_ context.Context, c briarferry.Claim) (briarferry.ClaimReply, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.table == nil {
		m.table = map[string]*memoryClaim{}
	}
	existing, ok := m.table[c.Service+"/"+c.Key]
	switch {
	case !ok && len(m.table) >= maxMemoryClaims:
		return briarferry.ClaimReply{Result: briarferry.ClaimFull}, nil
	case !ok:
		m.table[c.Service+"/"+c.Key] = &memoryClaim{claim: c}
		return briarferry.ClaimReply{Result: briarferry.ClaimGranted}, nil
	case existing.claim.Digest != c.Digest:
		return briarferry.ClaimReply{Result: briarferry.ClaimMismatch}, nil
	case existing.completed:
		return briarferry.ClaimReply{Result: briarferry.ClaimCompleted, Answer: &existing.answer}, nil
	default:
		return briarferry.ClaimReply{Result: briarferry.ClaimHeld}, nil
	}
}

// Complete records the answer if the claim is held with the same token.
func (m *MemoryClaims) Complete(_ context.Context, c briarferry.Claim, a briarferry.Answer) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if existing, ok := m.table[c.Service+"/"+c.Key]; ok && existing.claim.Token == c.Token {
		existing.completed, existing.answer = true, a
	}
	return nil
}

// Release deletes the claim unless it is completed or another attempt holds the key. It must not
// be called for a request that may have been dispatched.
func (m *MemoryClaims) Release(_ context.Context, c briarferry.Claim) (briarferry.ClaimReply, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := c.Service + "/" + c.Key
	if existing, ok := m.table[key]; ok && (existing.completed || existing.claim.Token != c.Token) {
		return briarferry.ClaimReply{Result: briarferry.ClaimHeld}, nil
	}
	delete(m.table, key)
	return briarferry.ClaimReply{Result: briarferry.ClaimReleased}, nil
}

// Refuse returns ClaimReleased if no attempt holds the key. It records nothing.
func (m *MemoryClaims) Refuse(_ context.Context, c briarferry.Claim) (briarferry.ClaimReply, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.table[c.Service+"/"+c.Key]; ok {
		return briarferry.ClaimReply{Result: briarferry.ClaimHeld}, nil
	}
	return briarferry.ClaimReply{Result: briarferry.ClaimReleased}, nil
}
