// Package bfstandin emulates backend servers for tests and demos, including faults of real
// ones.
package bfstandin

import (
	"time"

	"briarferry"
)

// Behaviour controls how an emulated backend server handles requests. It can be changed
// while the server runs.
type Behaviour struct {
	// MeanExecutionTime is the mean execution time of a request.
	MeanExecutionTime briarferry.Duration `json:"service_time"`
	// Spread is the share of the mean by which execution times vary in both directions.
	Spread float64 `json:"spread"`
	// ColdStart is the time after a start in which caches are cold. Execution times are
	// then multiplied by ColdFactor.
	ColdStart  briarferry.Duration `json:"cold_start"`
	ColdFactor float64             `json:"cold_factor"`
	// ReportedLoad is announced instead of the measured load unless it is negative.
	ReportedLoad float64 `json:"reported_load"`
	// ReportLag is the age of the load that is announced.
	ReportLag briarferry.Duration `json:"report_lag"`
	// Unhealthy makes the health endpoint fail.
	Unhealthy bool `json:"unhealthy"`
	// FailShare is the share of requests answered with status 500.
	FailShare float64 `json:"fail_share"`
	// LateShare is the share of requests whose execution takes LateBy longer.
	LateShare float64             `json:"late_share"`
	LateBy    briarferry.Duration `json:"late_by"`
	// CrossedShare is the share of requests that get the answer to another request.
	CrossedShare float64 `json:"crossed_share"`
	// TruncatedShare is the share of answers whose body is incomplete.
	TruncatedShare float64 `json:"truncated_share"`
	// Silent stops answers on connections that were opened before it was set.
	Silent bool `json:"silent"`
	// Frozen stops answers on all connections.
	Frozen bool `json:"frozen"`
	// CrashOn is a text that crashes the server if the body or the URL of a request
	// contains it.
	CrashOn string `json:"crash_on"`
	// RestartAfter is the time between a crash and the restart.
	RestartAfter briarferry.Duration `json:"restart_after"`
	// Draining announces the server as draining.
	Draining bool `json:"draining"`
	// AnnounceOff disables announcements.
	AnnounceOff bool `json:"announce_off"`
}

// DefaultBehaviour returns the behaviour of a healthy server.
func DefaultBehaviour(meanExecutionTime time.Duration) Behaviour {
	return Behaviour{
		MeanExecutionTime: briarferry.Duration(meanExecutionTime),
		Spread:            0.3,
		ColdFactor:        3,
		ReportedLoad:      -1,
		LateBy:            briarferry.Duration(2 * time.Second),
		RestartAfter:      briarferry.Duration(2 * time.Second),
	}
}

// Validate reports every share that is not between 0 and 1.
func (b *Behaviour) Validate() briarferry.Findings {
	var f briarferry.Findings
	shares := []struct {
		place string
		value float64
	}{
		{"spread", b.Spread}, {"fail_share", b.FailShare}, {"late_share", b.LateShare},
		{"crossed_share", b.CrossedShare}, {"truncated_share", b.TruncatedShare},
	}
	for _, s := range shares {
		if s.value < 0 || s.value > 1 {
			f.Add(s.place, "must be between 0 and 1")
		}
	}
	return f
}
