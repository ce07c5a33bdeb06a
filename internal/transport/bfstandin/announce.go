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

// announcer announces a server to an entry, and fails over to the next one on errors.
type announcer struct {
	server  *Server
	entries []netip.AddrPort
	client  bftls.Caller
	// nextEntry is the index of the entry to announce to, modulo their number.
	nextEntry int
	// loadHistory has the loads of the latest announcements, oldest first.
	loadHistory []float64
}

// run announces the server at every announceInterval, and within a tenth of it after its
// state changes, until ctx ends.
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

// announce sends one announcement and reports whether an entry accepted it.
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
		entry := a.entries[a.nextEntry%len(a.entries)]
		if a.post(ctx, entry, body) == nil {
			return true
		}
		a.nextEntry++
	}
	return false
}

// load returns the load to announce, as a share of the server's slots.
func (a *announcer) load() float64 {
	b := a.server.Behaviour()
	a.loadHistory = append(a.loadHistory, float64(a.server.busy.Load())/float64(a.server.Slots))
	lag := int(b.ReportLag.Std() / announceInterval)
	if len(a.loadHistory) > lag+1 {
		a.loadHistory = a.loadHistory[len(a.loadHistory)-lag-1:]
	}
	if b.ReportedLoad >= 0 {
		return b.ReportedLoad
	}
	return a.loadHistory[0]
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
