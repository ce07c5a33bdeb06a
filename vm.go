package briarferry

import "net/netip"

// VM is a machine of the system itself, as opposed to a backend server.
type VM struct {
	Name          string         `json:"name"`
	Region        string         `json:"region"`
	FailureDomain string         `json:"failure_domain"`
	HTTP          netip.AddrPort `json:"http"`
	RPC           netip.AddrPort `json:"rpc"`
	Gossip        netip.AddrPort `json:"gossip"`
	// Incarnation increases with each start of the process.
	Incarnation uint64 `json:"incarnation"`
	// Control reports whether the VM has a data directory and runs a control replica.
	Control bool `json:"control"`
}

// ListenAt returns the address that a VM listens on if others reach it at the given
// address. A valid bind replaces the IP address but not the port; this is needed behind
// network address translation.
func ListenAt(bind netip.Addr, address netip.AddrPort) netip.AddrPort {
	if !bind.IsValid() {
		return address
	}
	return netip.AddrPortFrom(bind, address.Port())
}
