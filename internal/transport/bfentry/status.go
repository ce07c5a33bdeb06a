package bfentry

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"briarferry"
	"briarferry/internal/coordination/bfdrain"
	"briarferry/internal/protocol/bfapi"
	"briarferry/internal/transport/bftls"
)

const statusTimeout = 500 * time.Millisecond

// serveStatus answers with this VM's status, or asks every live VM and joins the answers.
func (e *Entry) serveStatus(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get(bfapi.ParamScope) == bfapi.ScopeLocal {
		bfapi.WriteJSON(w, http.StatusOK, e.localStatus())
		return
	}
	bfapi.WriteJSON(w, http.StatusOK, e.gatherStatus(r.Context()))
}

func (e *Entry) localStatus() bfapi.VMStatus {
	vm := e.Members.Self()
	s := bfapi.VMStatus{Name: vm.Name, Region: vm.Region, FailureDomain: vm.FailureDomain, HTTP: vm.HTTP, Role: bfapi.RoleEntry}
	if vm.Control {
		s.Role = bfapi.RoleControl
	}
	s.Reason = e.unready()
	s.Ready = s.Reason == ""
	if _, lease, ok := e.Config.Current(); ok {
		s.ConfigVersion = lease.Version
		s.LeaseSeconds = time.Until(lease.ExpiresAt).Seconds()
	}
	if e.AddStatus != nil {
		e.AddStatus(&s)
	}
	return s
}

func (e *Entry) gatherStatus(ctx context.Context) bfapi.Status {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	live := e.Members.Live()
	answers := make([]bfapi.VMStatus, len(live))
	errs := make([]error, len(live))
	var wg sync.WaitGroup
	for i, vm := range live {
		wg.Go(func() {
			if vm.Name == e.Members.Self().Name {
				answers[i] = e.localStatus()
				return
			}
			answers[i], errs[i] = askStatus(ctx, e.StatusClient, vm.HTTP)
		})
	}
	wg.Wait()
	return joinStatus(live, answers, errs)
}

func askStatus(ctx context.Context, caller bftls.Caller, address netip.AddrPort) (bfapi.VMStatus, error) {
	var s bfapi.VMStatus
	url := caller.URL(address, bfapi.PathStatus+"?"+bfapi.ParamScope+"="+bfapi.ScopeLocal)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return s, fmt.Errorf("bfentry: build status request: %w", err)
	}
	resp, err := caller.Do(req)
	if err != nil {
		return s, fmt.Errorf("bfentry: ask status: %w", err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
		return s, fmt.Errorf("bfentry: read status: %w", err)
	}
	return s, nil
}

// joinStatus sums what each VM told and lists what is degraded.
func joinStatus(live []briarferry.VM, answers []bfapi.VMStatus, errs []error) bfapi.Status {
	out := bfapi.Status{VMs: []bfapi.VMStatus{}, Services: []bfapi.ServiceStatus{}, Drains: []bfapi.DrainStatus{}, Degraded: []string{}}
	services := map[string]*bfapi.ServiceStatus{}
	drains := map[string]*bfapi.DrainStatus{}
	newest := uint64(0)
	for i, vm := range live {
		if errs[i] != nil {
			out.Degraded = append(out.Degraded, vm.Name+": gave no status")
			continue
		}
		s := answers[i]
		newest = max(newest, s.ConfigVersion)
		joinServices(services, s.Services)
		joinDrains(drains, s.Drains)
		if s.Placement != nil {
			out.Placement = s.Placement
		}
		if !s.Ready {
			out.Degraded = append(out.Degraded, s.Name+": "+s.Reason)
		}
		s.Services, s.Drains, s.Placement = nil, nil, nil
		out.VMs = append(out.VMs, s)
	}
	for _, s := range out.VMs {
		if s.ConfigVersion < newest {
			out.Degraded = append(out.Degraded, fmt.Sprintf("%s: configuration %d, newest is %d", s.Name, s.ConfigVersion, newest))
		}
	}
	for _, key := range slices.Sorted(maps.Keys(services)) {
		out.Services = append(out.Services, *services[key])
	}
	for _, key := range slices.Sorted(maps.Keys(drains)) {
		out.Drains = append(out.Drains, *drains[key])
	}
	return out
}

// joinServices takes the largest view of the servers, since every VM knows all of
// them, and sums what each VM does itself.
func joinServices(all map[string]*bfapi.ServiceStatus, part []bfapi.ServiceStatus) {
	for _, s := range part {
		key := strings.Join([]string{s.Service, s.Region}, "/")
		have, ok := all[key]
		if !ok {
			have = &bfapi.ServiceStatus{Service: s.Service, Region: s.Region, Refused: map[string]int64{}}
			all[key] = have
		}
		have.Servers = max(have.Servers, s.Servers)
		have.Draining = max(have.Draining, s.Draining)
		have.Slots = max(have.Slots, s.Slots)
		have.InFlight += s.InFlight
		have.Queue += s.Queue
		for class, n := range s.Refused {
			have.Refused[class] += n
		}
	}
}

// joinDrains takes the VM that sees the most in flight: a drain is empty only where
// every VM says so.
func joinDrains(all map[string]*bfapi.DrainStatus, part []bfapi.DrainStatus) {
	for _, d := range part {
		have, ok := all[d.ID]
		if !ok {
			all[d.ID] = &d
			continue
		}
		have.InFlight = max(have.InFlight, d.InFlight)
		have.Empty = min(have.Empty, d.Empty)
		have.BreaksLimit = have.BreaksLimit || d.BreaksLimit
		if drainStage(d.State) < drainStage(have.State) {
			have.State = d.State
		}
	}
}

func drainStage(state string) int {
	stages := []bfdrain.State{bfdrain.StateWaiting, bfdrain.StateStopping, bfdrain.StateEmptying, bfdrain.StateEmpty}
	return slices.Index(stages, bfdrain.State(state))
}
