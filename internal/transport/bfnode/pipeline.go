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

const (
	// entryCallTimeout is the timeout of a call to another entry.
	entryCallTimeout = 2 * time.Second
	// idleConnTimeout is shorter than the server's idle timeout, so that no call uses a
	// connection that the server is closing.
	idleConnTimeout = 20 * time.Second
)

// newPipeline assembles the pipeline that processes requests.
func (n *Node) newPipeline(ctx context.Context, group *errgroup.Group, mux *http.ServeMux, c *control, s *SharedState, admitter *bfadmission.Admitter) *bfentry.Pipeline {
	security := n.rpcSecurity(s)
	quarantine := &bfquarantine.Quarantine{
		Members: s.Members,
		Peers:   bfrpc.QuarantinePeers{HTTP: security.NewClient(&http.Transport{IdleConnTimeout: idleConnTimeout}, entryCallTimeout), Security: security},
		Retention: func() time.Duration {
			if cfg, _, ok := c.config.Current(); ok {
				return cfg.Limits.QuarantineDuration.Std()
			}
			return briarferry.DefaultLimits().QuarantineDuration.Std()
		},
	}
	bfrpc.HandleQuarantine(mux, quarantine)
	group.Go(func() error { return quarantine.Run(ctx) })
	upstream := bfupstream.New()
	upstream.EntryCount = func() int { return len(s.Members.Live()) }
	pipeline := &bfentry.Pipeline{
		Claims:     c.claims,
		Admitter:   admitter,
		Upstream:   upstream,
		Retry:      &bfretry.Policy{Seed: n.VM.Incarnation},
		Quarantine: quarantine,
		Config:     c.config,
	}
	upstream.SuspectAfter = pipeline.TryTimeout
	return pipeline
}
