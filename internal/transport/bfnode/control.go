package bfnode

import (
	"context"
	"net/http"

	"golang.org/x/sync/errgroup"

	"briarferry"
	"briarferry/internal/transport/bfentry"
)

// control is this VM's side of the control group.
type control struct {
	config briarferry.ConfigSource
	claims briarferry.Claimer
	// operators serves the operators' paths; it may be nil.
	operators http.Handler
}

// startControl starts the replica where this VM has a data folder, and the clients
// of the control group.
func (n *Node) startControl(_ context.Context, _ *errgroup.Group, _ *http.ServeMux) (*control, error) {
	return &control{config: bfentry.FixedConfig{Config: n.Alone}, claims: &bfentry.MemoryClaims{}}, nil
}
