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

// serveStatus writes the status of the whole system, or only this VM's if the scope is local.
func (e *Entry) serveStatus(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get(bfapi.ParamScope) == bfapi.ScopeLocal {
		bfapi.WriteJSON(w, http.StatusOK, e.localStatus())
		return
	}
	bfapi.WriteJSON(w, http.StatusOK, e.collectStatus(r.Context()))
}

func (e *Entry) localStatus() bfapi.VMStatus {
	vm := e.Members.Self()
	s := bfapi.VMStatus{Name: vm.Name, Region: vm.Region, FailureDomain: vm.FailureDomain, HTTP: vm.HTTP, Role: bfapi.RoleEntry}
	if vm.Control {
		s.Role = bfapi.RoleControl
	}
	s.Reason = e.unreadyReason()
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

// collectStatus fetches the status of every live VM and merges them.
func (e *Entry) collectStatus(ctx context.Context) bfapi.Status {
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
			answers[i], errs[i] = fetchStatus(ctx, e.StatusClient, vm.HTTP)
		})
	}
	wg.Wait()
	return mergeStatus(live, answers, errs)
}

// fetchStatus fetches the local status of another VM.
func fetchStatus(ctx context.Context, client bftls.Caller, address netip.AddrPort) (bfapi.VMStatus, error) {
	var s bfapi.VMStatus
	url := client.URL(address, bfapi.PathStatus+"?"+bfapi.ParamScope+"="+bfapi.ScopeLocal)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return s, fmt.Errorf("bfentry: build status request: %w", err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return s, fmt.Errorf("bfentry: fetch status: %w", err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
		return s, fmt.Errorf("bfentry: decode status: %w", err)
	}
	return s, nil
}

// mergeStatus merges the status of the VMs and lists what is degraded. errs holds the errors
// of the VMs that gave no status.
func mergeStatus(live []briarferry.VM, answers []bfapi.VMStatus, errs []error) bfapi.Status {
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
		mergeServices(services, s.Services)
		mergeDrains(drains, s.Drains)
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

// mergeServices merges the status of services. Every VM knows all servers, so it takes the
// maximum of the numbers of servers, draining servers and slots. In-flight, queued and
// refused requests are counted by each VM for itself and are added up.
func mergeServices(merged map[string]*bfapi.ServiceStatus, part []bfapi.ServiceStatus) {
	for _, s := range part {
		key := strings.Join([]string{s.Service, s.Region}, "/")
		sum, ok := merged[key]
		if !ok {
			sum = &bfapi.ServiceStatus{Service: s.Service, Region: s.Region, Refused: map[string]int64{}}
			merged[key] = sum
		}
		sum.Servers = max(sum.Servers, s.Servers)
		sum.Draining = max(sum.Draining, s.Draining)
		sum.Slots = max(sum.Slots, s.Slots)
		sum.InFlight += s.InFlight
		sum.Queue += s.Queue
		for class, n := range s.Refused {
			sum.Refused[class] += n
		}
	}
}

// mergeDrains merges the status of drains. It takes the least advanced state and the most
// requests in flight, so that a drain is empty only if every VM says so.
func mergeDrains(merged map[string]*bfapi.DrainStatus, part []bfapi.DrainStatus) {
	for _, d := range part {
		current, ok := merged[d.ID]
		if !ok {
			merged[d.ID] = &d
			continue
		}
		current.InFlight = max(current.InFlight, d.InFlight)
		current.Empty = min(current.Empty, d.Empty)
		current.InsufficientCapacity = current.InsufficientCapacity || d.InsufficientCapacity
		if drainStage(d.State) < drainStage(current.State) {
			current.State = d.State
		}
	}
}

// drainStage returns the position of a state in the course of a drain.
func drainStage(state string) int {
	stages := []bfdrain.State{bfdrain.StateWaiting, bfdrain.StateStopping, bfdrain.StateEmptying, bfdrain.StateEmpty}
	return slices.Index(stages, bfdrain.State(state))
}
