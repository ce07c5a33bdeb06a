// Package bfstandin emulates backend servers, with the faults that real ones show.
package bfstandin

import (
	"time"

	"briarferry"
)

// Behaviour is what a backend server does to its requests; it can be changed while
// the server runs.
type Behaviour struct {
	// ServiceTime is the mean time to run a request.
	ServiceTime briarferry.Duration `json:"service_time"`
	// Spread is the share by which service times vary around the mean.
	Spread float64 `json:"spread"`
	// ColdStart is how long caches are cold after a start; service times are then
	// multiplied by ColdFactor.
	ColdStart  briarferry.Duration `json:"cold_start"`
	ColdFactor float64             `json:"cold_factor"`
	// ReportedLoad replaces the announced load where it is not negative.
	ReportedLoad float64 `json:"reported_load"`
	// ReportLag delays the announced load.
	ReportLag briarferry.Duration `json:"report_lag"`
	// Unhealthy makes the health endpoint fail.
	Unhealthy bool `json:"unhealthy"`
	// FailShare is the share of requests answered with 500.
	FailShare float64 `json:"fail_share"`
	// LateShare is the share of requests answered after LateBy more.
	LateShare float64             `json:"late_share"`
	LateBy    briarferry.Duration `json:"late_by"`
	// CrossedShare is the share of requests answered with another request's answer.
	CrossedShare float64 `json:"crossed_share"`
	// TruncatedShare is the share of answers that end in the middle.
	TruncatedShare float64 `json:"truncated_share"`
	// Silent makes connections opened before it was set stop answering.
	Silent bool `json:"silent"`
	// Frozen makes all connections stop answering.
	Frozen bool `json:"frozen"`
	// CrashOn crashes the server on a request whose body or target contains it.
	CrashOn string `json:"crash_on"`
	// RestartAfter is how long the server is gone after a crash.
	RestartAfter briarferry.Duration `json:"restart_after"`
	// Draining announces the server as draining.
	Draining bool `json:"draining"`
	// AnnounceOff stops the announcements.
	AnnounceOff bool `json:"announce_off"`
}

// DefaultBehaviour returns a healthy server's behaviour.
func DefaultBehaviour(serviceTime time.Duration) Behaviour {
	return Behaviour{
		ServiceTime:  briarferry.Duration(serviceTime),
		Spread:       0.3,
		ColdFactor:   3,
		ReportedLoad: -1,
		LateBy:       briarferry.Duration(2 * time.Second),
		RestartAfter: briarferry.Duration(2 * time.Second),
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
