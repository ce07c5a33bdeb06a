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

type serviceRegion struct{ service, region string }

// describeServices adds what this VM knows of each service by region. Queue and
// refusals are this entry's own, so they stand under its region.
func describeServices(s *bfapi.VMStatus, sharing *Sharing, queue *bfadmission.Admitter, cfg *briarferry.Config) {
	rows := map[serviceRegion]*bfapi.ServiceStatus{}
	row := func(service, region string) *bfapi.ServiceStatus {
		k := serviceRegion{service, region}
		if rows[k] == nil {
			rows[k] = &bfapi.ServiceStatus{Service: service, Region: region, Refused: map[string]int64{}}
		}
		return rows[k]
	}
	inFlight := sharing.Slots.InFlight()
	sharing.Table.ForEach(time.Now(), func(_ uint64, b briarferry.Backend, _ time.Time) {
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
		r.Queue = queue.Waiting(service.Name)
		r.Refused = bfentry.Refusals(service.Name)
	}
	keys := slices.SortedFunc(maps.Keys(rows), func(a, b serviceRegion) int {
		return strings.Compare(a.service+"/"+a.region, b.service+"/"+b.region)
	})
	for _, k := range keys {
		s.Services = append(s.Services, *rows[k])
	}
}
