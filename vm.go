package briarferry

import "net/netip"

// VM is one of the system's own machines.
type VM struct {
	Name          string         `json:"name"`
	Region        string         `json:"region"`
	FailureDomain string         `json:"failure_domain"`
	HTTP          netip.AddrPort `json:"http"`
	RPC           netip.AddrPort `json:"rpc"`
	Gossip        netip.AddrPort `json:"gossip"`
	// Incarnation is larger after each start of the process.
	Incarnation uint64 `json:"incarnation"`
	// Control tells whether the VM has a data folder and is a control replica.
	Control bool `json:"control"`
}

// ListenAt returns the address at which a VM listens that others reach at the given one:
// the same port at bind where that is set, as behind a translation of addresses.
func ListenAt(bind netip.Addr, address netip.AddrPort) netip.AddrPort {
	if !bind.IsValid() {
		return address
	}
	return netip.AddrPortFrom(bind, address.Port())
}
