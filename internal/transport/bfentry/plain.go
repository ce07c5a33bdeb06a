package bfentry

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"briarferry"
	"briarferry/internal/protocol/bfapi"
)

type (
	// FixedConfig is a configuration that never changes.
	FixedConfig struct {
		Config *briarferry.Config
	}

	// FixedMembers is a membership that never changes.
	FixedMembers struct {
		Own briarferry.VM
		All []briarferry.VM
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

	// PlainPool hands out slots of announced servers at random while they have a
	// free slot by this entry's own count.
	PlainPool struct {
		// Share divides the announced slots among the entries.
		Share int

		mu       sync.Mutex
		backends map[briarferry.BackendID]*plainBackend
	}

	plainBackend struct {
		backend  briarferry.Backend
		inFlight int
	}

	plainSlot struct {
		pool *PlainPool
		b    *plainBackend
	}
)

// Current returns the configuration with a lease that does not end.
func (f FixedConfig) Current() (*briarferry.Config, briarferry.Lease, bool) {
	return f.Config, briarferry.Lease{Version: f.Config.Version, ExpiresAt: time.Now().Add(time.Hour)}, true
}

// Self returns the own VM.
func (f FixedMembers) Self() briarferry.VM { return f.Own }

// Live returns all VMs.
func (f FixedMembers) Live() []briarferry.VM { return f.All }

// Connected is always true.
func (f FixedMembers) Connected() bool { return true }

// Claim grants a key to its first attempt.
func (m *MemoryClaims) Claim(_ context.Context, c briarferry.Claim) (briarferry.ClaimReply, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.table == nil {
		m.table = map[string]*memoryClaim{}
	}
	held, ok := m.table[c.Service+"/"+c.Key]
	switch {
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
	delete(m.table, c.Service+"/"+c.Key)
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

// Announce stores the announcement for one lease.
func (p *PlainPool) Announce(a briarferry.Announcement) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.backends == nil {
		p.backends = map[briarferry.BackendID]*plainBackend{}
	}
	b, ok := p.backends[a.ID()]
	if !ok {
		b = &plainBackend{}
		p.backends[a.ID()] = b
	}
	now := time.Now()
	b.backend = briarferry.Backend{Announcement: a, HeardAt: now, ExpiresAt: now.Add(bfapi.AnnouncementLease)}
	return nil
}

// Synced is always true.
func (p *PlainPool) Synced() bool { return true }

// TryAcquire takes a free slot of a random server.
func (p *PlainPool) TryAcquire(service string, avoid []briarferry.BackendID) (briarferry.Slot, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ids := slices.Collect(maps.Keys(p.backends))
	rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	for _, id := range ids {
		b := p.backends[id]
		free := b.inFlight < max(1, b.backend.Slots/p.Share)
		if id.Service == service && b.takesWork() && free && !slices.Contains(avoid, id) {
			b.inFlight++
			return &plainSlot{pool: p, b: b}, true
		}
	}
	return nil, false
}

// Capacity returns the slots of the servers that take work.
func (p *PlainPool) Capacity(service string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for id, b := range p.backends {
		if id.Service == service && b.takesWork() {
			n += max(1, b.backend.Slots/p.Share)
		}
	}
	return n
}

// SetDemand does nothing, since no other entry could be asked for slots.
func (p *PlainPool) SetDemand(string, map[int]int) {}

// Freed returns no channel; the queue polls.
func (p *PlainPool) Freed(string) <-chan struct{} { return nil }

func (b *plainBackend) takesWork() bool {
	return b.backend.State != briarferry.StateDraining && time.Now().Before(b.backend.ExpiresAt)
}

func (s *plainSlot) Backend() briarferry.Backend { return s.b.backend }

func (s *plainSlot) Done(briarferry.TryReport) {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	s.b.inFlight--
}
