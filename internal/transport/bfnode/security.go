package bfnode

import (
	"context"
	"net/http"
	"net/netip"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"briarferry/internal/transport/bfgossip"
	"briarferry/internal/transport/bfrpc"
	"briarferry/internal/transport/bftls"
)

// Security holds the certificates, keys and tokens of a VM. The zero value means cleartext.
type Security struct {
	// System is the name of the system, which all its VMs share.
	System string
	// RPC holds the VM's certificate and the CAs for calls between VMs; nil means cleartext.
	RPC *bftls.Source
	// HTTP holds the certificate for callers, backend servers and operators. HTTPCAs holds
	// the CAs that sign these certificates of other VMs. nil means cleartext.
	HTTP, HTTPCAs *bftls.Source
	// Gossip holds the keys that authenticate datagrams; nil means no authentication.
	Gossip *bftls.Watched[*bfgossip.Keyring]
	// Tokens holds further tokens that authorize changes by operators; it may be nil.
	Tokens *bftls.Watched[[]string]
}

// watchFiles reloads the files when they change.
func (s *Security) watchFiles(ctx context.Context, group *errgroup.Group, log zerolog.Logger) {
	for _, source := range []*bftls.Source{s.RPC, s.HTTP, s.HTTPCAs} {
		if source != nil {
			group.Go(func() error { return source.Run(ctx, log) })
		}
	}
	if s.Gossip != nil {
		group.Go(func() error { return s.Gossip.Run(ctx, log) })
	}
	if s.Tokens != nil {
		group.Go(func() error { return s.Tokens.Run(ctx, log) })
	}
}

// gossipKeyring returns a function that returns the keyring in use.
func (s *Security) gossipKeyring() func() *bfgossip.Keyring {
	if s.Gossip != nil {
		return s.Gossip.Value
	}
	ring := bfgossip.NewKeyring(s.System)
	return func() *bfgossip.Keyring { return ring }
}

// statusClient returns the client that fetches the status of other VMs.
func (s *Security) statusClient() bftls.Caller {
	if s.HTTP == nil {
		return bftls.Caller{}
	}
	return bftls.NewCaller(s.HTTPCAs, &http.Transport{IdleConnTimeout: idleConnTimeout})
}

// operatorTokens returns the tokens that authorize changes by operators.
func (n *Node) operatorTokens() []string {
	var tokens []string
	if n.Token != "" {
		tokens = append(tokens, n.Token)
	}
	if n.Security.Tokens != nil {
		tokens = append(tokens, n.Security.Tokens.Value()...)
	}
	return tokens
}

// rpcSecurity returns the security of calls between VMs. It looks up the names of VMs outside
// the control group in shared, which may be nil.
func (n *Node) rpcSecurity(shared *SharedState) *bfrpc.Security {
	return &bfrpc.Security{
		System: n.Security.System, TLS: n.Security.RPC,
		NameOf: func(address netip.AddrPort) string {
			for name, a := range n.Control {
				if a == address {
					return name
				}
			}
			if shared == nil {
				return ""
			}
			for _, vm := range shared.Members.Live() {
				if vm.RPC == address {
					return vm.Name
				}
			}
			return ""
		},
	}
}
