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

// Security is what protects a VM's sockets. The zero value stands for cleartext.
type Security struct {
	// System is the name that the VMs of one system share.
	System string
	// RPC has the VM's certificate and the CAs for calls between VMs; nil stands for
	// cleartext.
	RPC *bftls.Source
	// HTTP has the certificate for callers, backend servers and operators, and HTTPCAs
	// the CAs of such certificates of other VMs; nil stands for cleartext.
	HTTP, HTTPCAs *bftls.Source
	// Gossip has the keys for datagrams; nil stands for none.
	Gossip *bftls.Watched[*bfgossip.Keyring]
	// Tokens has the tokens for operators' changes, besides Node.Token; nil stands for
	// none.
	Tokens *bftls.Watched[[]string]
}

// watch reads the files again when they change.
func (s *Security) watch(ctx context.Context, group *errgroup.Group, log zerolog.Logger) {
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

// keys returns the keyring in use.
func (s *Security) keys() func() *bfgossip.Keyring {
	if s.Gossip != nil {
		return s.Gossip.Value
	}
	ring := bfgossip.NewKeyring(s.System)
	return func() *bfgossip.Keyring { return ring }
}

// caller asks other VMs for their status.
func (s *Security) caller() bftls.Caller {
	if s.HTTP == nil {
		return bftls.Caller{}
	}
	return bftls.NewCaller(s.HTTPCAs, &http.Transport{IdleConnTimeout: idleCallTimeout})
}

// tokens returns the tokens that operators' changes may carry.
func (n *Node) tokens() []string {
	var tokens []string
	if n.Token != "" {
		tokens = append(tokens, n.Token)
	}
	if n.Security.Tokens != nil {
		tokens = append(tokens, n.Security.Tokens.Value()...)
	}
	return tokens
}

// calls returns the protection of calls; sharing names the VMs that are not in the
// control group and may be nil.
func (n *Node) calls(sharing *Sharing) *bfrpc.Security {
	return &bfrpc.Security{
		System: n.Security.System, TLS: n.Security.RPC,
		NameOf: func(address netip.AddrPort) string {
			for name, a := range n.Control {
				if a == address {
					return name
				}
			}
			if sharing == nil {
				return ""
			}
			for _, vm := range sharing.Members.Live() {
				if vm.RPC == address {
					return vm.Name
				}
			}
			return ""
		},
	}
}
