package bfnode

import (
	"context"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"briarferry"
	"briarferry/internal/coordination/bfadmission"
	"briarferry/internal/coordination/bfquarantine"
	"briarferry/internal/coordination/bfretry"
	"briarferry/internal/transport/bfentry"
	"briarferry/internal/transport/bfrpc"
	"briarferry/internal/transport/bfupstream"
)

// callTimeout bounds a call between entries.
const (
	callTimeout = 2 * time.Second
	// idleCallTimeout is below the server's, so that no call meets a closing connection.
	idleCallTimeout = 20 * time.Second
)

// newPipeline assembles the decisions that a request passes.
func (n *Node) newPipeline(ctx context.Context, group *errgroup.Group, mux *http.ServeMux, c *control, s *Sharing, queue *bfadmission.Admitter) *bfentry.Pipeline {
	calls := n.calls(s)
	quarantine := &bfquarantine.Quarantine{
		Members: s.Members,
		Peers:   bfrpc.QuarantinePeers{HTTP: calls.NewClient(&http.Transport{IdleConnTimeout: idleCallTimeout}, callTimeout), Security: calls},
		Keep: func() time.Duration {
			if cfg, _, ok := c.config.Current(); ok {
				return cfg.Limits.QuarantineFor.Std()
			}
			return briarferry.DefaultLimits().QuarantineFor.Std()
		},
	}
	bfrpc.HandleQuarantine(mux, quarantine)
	group.Go(func() error { return quarantine.Run(ctx) })
	upstream := bfupstream.New()
	upstream.EntryCount = func() int { return len(s.Members.Live()) }
	pipeline := &bfentry.Pipeline{
		Claims:     c.claims,
		Admitter:   queue,
		Upstream:   upstream,
		Retry:      &bfretry.Policy{Seed: n.VM.Incarnation},
		Quarantine: quarantine,
		Config:     c.config,
	}
	upstream.SuspectAfter = pipeline.TryTimeout
	return pipeline
}
