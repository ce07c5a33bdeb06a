package bfstandin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"briarferry"
	"briarferry/internal/protocol/bfapi"
	"briarferry/internal/transport/bftls"
)

const (
	announceInterval = time.Second
	announceTimeout  = 500 * time.Millisecond
	connectionLimit  = 400
)

// announcer tells one entry about a server, and another one where that fails.
type announcer struct {
	server  *Server
	entries []netip.AddrPort
	client  bftls.Caller
	next    int
	loads   []float64
}

// run announces until ctx ends, and at once after a change of state.
func (a *announcer) run(ctx context.Context) {
	tick := time.NewTicker(announceInterval / 10)
	defer tick.Stop()
	var last time.Time
	var lastState briarferry.BackendState
	for {
		state := a.state()
		if state != lastState || time.Since(last) >= announceInterval {
			if a.server.isUp() && !a.server.Behaviour().AnnounceOff && a.announce(ctx, state) {
				last, lastState = time.Now(), state
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (a *announcer) state() briarferry.BackendState {
	b := a.server.Behaviour()
	switch {
	case b.Draining:
		return briarferry.StateDraining
	case a.server.isCold(b):
		return briarferry.StateStarting
	default:
		return briarferry.StateReady
	}
}

func (a *announcer) announce(ctx context.Context, state briarferry.BackendState) bool {
	s := a.server
	body, err := json.Marshal(briarferry.Announcement{
		Service: s.Service, Address: s.Address, Region: s.Region, FailureDomain: s.FailureDomain,
		Slots: s.Slots, ConnectionLimit: connectionLimit, State: state, Load: a.load(),
		Sequence: uint64(time.Now().UnixMicro()),
	})
	if err != nil {
		return false
	}
	for range a.entries {
		entry := a.entries[a.next%len(a.entries)]
		if a.post(ctx, entry, body) == nil {
			return true
		}
		a.next++
	}
	return false
}

func (a *announcer) load() float64 {
	b := a.server.Behaviour()
	a.loads = append(a.loads, float64(a.server.busy.Load())/float64(a.server.Slots))
	lag := int(b.ReportLag.Std() / announceInterval)
	if len(a.loads) > lag+1 {
		a.loads = a.loads[len(a.loads)-lag-1:]
	}
	if b.ReportedLoad >= 0 {
		return b.ReportedLoad
	}
	return a.loads[0]
}

func (a *announcer) post(ctx context.Context, entry netip.AddrPort, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	url := a.client.URL(entry, bfapi.PathAnnouncements)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("bfstandin: build announcement: %w", err)
	}
	req.Header.Set("Content-Type", bfapi.TypeJSON)
	resp, err := a.client.Do(req)
	if err != nil {
		return fmt.Errorf("bfstandin: announce: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("bfstandin: announce: status %d", resp.StatusCode)
	}
	return nil
}
