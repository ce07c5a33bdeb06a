package bfnode

import (
	"maps"
	"slices"
	"strings"
	"time"

	"briarferry"
	"briarferry/internal/coordination/bfadmission"
	"briarferry/internal/protocol/bfapi"
	"briarferry/internal/transport/bfentry"
)

type serviceKey struct{ service, region string }

// addServiceStatus adds the status of each service by region. Queue lengths and refusals are
// those of this entry, so they are added to the entry's region.
func addServiceStatus(s *bfapi.VMStatus, shared *SharedState, admitter *bfadmission.Admitter, cfg *briarferry.Config) {
	rows := map[serviceKey]*bfapi.ServiceStatus{}
	row := func(service, region string) *bfapi.ServiceStatus {
		k := serviceKey{service, region}
		if rows[k] == nil {
			rows[k] = &bfapi.ServiceStatus{Service: service, Region: region, Refused: map[string]int64{}}
		}
		return rows[k]
	}
	inFlight := shared.Slots.InFlight()
	shared.Table.ForEach(time.Now(), func(_ uint64, b briarferry.Backend, _ time.Time) {
		r := row(b.Service, b.Region)
		r.Servers++
		r.InFlight += inFlight[b.ID()]
		if b.State == briarferry.StateDraining {
			r.Draining++
			return
		}
		r.Slots += b.Slots
	})
	for _, service := range cfg.Services {
		r := row(service.Name, s.Region)
		r.Queue = admitter.Waiting(service.Name)
		r.Refused = bfentry.Refusals(service.Name)
	}
	keys := slices.SortedFunc(maps.Keys(rows), func(a, b serviceKey) int {
		return strings.Compare(a.service+"/"+a.region, b.service+"/"+b.region)
	})
	for _, k := range keys {
		s.Services = append(s.Services, *rows[k])
	}
}
