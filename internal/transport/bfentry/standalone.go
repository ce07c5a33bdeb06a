package bfentry

import (
	"context"
	"sync"
	"time"

	"briarferry"
)

// maxMemoryClaims bounds the claims that a process without a control group keeps.
const maxMemoryClaims = 100_000

type (
	// FixedConfig is a configuration that never changes.
	FixedConfig struct {
		Config *briarferry.Config
	}

	// MemoryClaims keeps claims in the memory of one process.
	MemoryClaims struct {
		mu    sync.Mutex
		table map[string]*memoryClaim
	}

	memoryClaim struct {
		claim  briarferry.Claim
		done   bool
		answer briarferry.Answer
	}
)

// Current returns the configuration with a lease that does not end.
func (f FixedConfig) Current() (*briarferry.Config, briarferry.Lease, bool) {
	return f.Config, briarferry.Lease{Version: f.Config.Version, ExpiresAt: time.Now().Add(time.Hour)}, true
}

// Claim grants a key to its first attempt.
func (m *MemoryClaims) Claim(_ context.Context, c briarferry.Claim) (briarferry.ClaimReply, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.table == nil {
		m.table = map[string]*memoryClaim{}
	}
	held, ok := m.table[c.Service+"/"+c.Key]
	switch {
	case !ok && len(m.table) >= maxMemoryClaims:
		return briarferry.ClaimReply{Result: briarferry.ClaimFull}, nil
	case !ok:
		m.table[c.Service+"/"+c.Key] = &memoryClaim{claim: c}
		return briarferry.ClaimReply{Result: briarferry.ClaimGranted}, nil
	case held.claim.Digest != c.Digest:
		return briarferry.ClaimReply{Result: briarferry.ClaimMismatch}, nil
	case held.done:
		return briarferry.ClaimReply{Result: briarferry.ClaimCompleted, Answer: &held.answer}, nil
	default:
		return briarferry.ClaimReply{Result: briarferry.ClaimHeld}, nil
	}
}

// Complete records the answer.
func (m *MemoryClaims) Complete(_ context.Context, c briarferry.Claim, a briarferry.Answer) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if held, ok := m.table[c.Service+"/"+c.Key]; ok && held.claim.Token == c.Token {
		held.done, held.answer = true, a
	}
	return nil
}

// Release forgets a claim that was not dispatched.
func (m *MemoryClaims) Release(_ context.Context, c briarferry.Claim) (briarferry.ClaimReply, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := c.Service + "/" + c.Key
	if held, ok := m.table[key]; ok && (held.done || held.claim.Token != c.Token) {
		return briarferry.ClaimReply{Result: briarferry.ClaimHeld}, nil
	}
	delete(m.table, key)
	return briarferry.ClaimReply{Result: briarferry.ClaimReleased}, nil
}

// Refuse reports a key as released where no attempt holds it.
func (m *MemoryClaims) Refuse(_ context.Context, c briarferry.Claim) (briarferry.ClaimReply, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.table[c.Service+"/"+c.Key]; ok {
		return briarferry.ClaimReply{Result: briarferry.ClaimHeld}, nil
	}
	return briarferry.ClaimReply{Result: briarferry.ClaimReleased}, nil
}
