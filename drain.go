package briarferry

import (
	"net/netip"
	"strings"
)

const (
	// DrainBackend drains one backend server; the target is its address with port.
	DrainBackend DrainKind = "backend_server"
	// DrainVM drains one of the system's own VMs; the target is its name.
	DrainVM DrainKind = "vm"
	// DrainFailureDomain drains all VMs and backend servers in a failure domain; the
	// target is domain or region/domain.
	DrainFailureDomain DrainKind = "failure_domain"
	// DrainRegion drains all VMs and backend servers in a region; the target is its
	// name.
	DrainRegion DrainKind = "region"
)

type (
	// DrainKind is the kind of a drain's target.
	DrainKind string

	// Drain is an operator's instruction to move work away from a target.
	Drain struct {
		// ID is assigned by the control plane.
		ID     string    `json:"id,omitempty"`
		Kind   DrainKind `json:"kind"`
		Target string    `json:"target"`
	}
)

// Validate reports every field that is out of range.
func (d *Drain) Validate() Findings {
	var f Findings
	if d.ID != "" && !ValidName(d.ID) {
		f.Add("id", "must be a name: %q", d.ID)
	}
	switch d.Kind {
	case DrainBackend:
		if a, err := netip.ParseAddrPort(d.Target); err != nil || a.String() != d.Target {
			f.Add("target", "must be an IP address with a port: %q", d.Target)
		}
	case DrainFailureDomain:
		region, domain, qualified := strings.Cut(d.Target, "/")
		if !ValidName(region) || (qualified && !ValidName(domain)) {
			f.Add("target", "must be a failure domain or region/failure domain: %q", d.Target)
		}
	case DrainVM, DrainRegion:
		if !ValidName(d.Target) {
			f.Add("target", "must be a name: %q", d.Target)
		}
	default:
		f.Add("kind", "must be backend_server, vm, failure_domain or region: %q", string(d.Kind))
	}
	return f
}
