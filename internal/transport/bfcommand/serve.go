package bfcommand

import (
	"context"
	"flag"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"briarferry"
	"briarferry/internal/transport/bfnode"
	"briarferry/internal/transport/bftrace"
)

type (
	serveFlags struct {
		name, region, failureDomain        string
		http, rpc, gossip                  string
		peers, control, data               string
		config, trustedResolvers, logLevel string
		security                           securityFlags
		traceEndpoint                      string
		traceShare                         float64
		drainFor                           time.Duration
	}

	// serveSettings are the validated settings of a serve process.
	serveSettings struct {
		vm        briarferry.VM
		peers     []netip.AddrPort
		control   map[string]netip.AddrPort
		data      string
		config    *briarferry.Config
		token     string
		security  bfnode.Security
		resolvers []netip.Prefix
		log       zerolog.Logger
		trace     bftrace.Exporter
		drainFor  time.Duration
	}
)

func serveCommand() *command {
	var f serveFlags
	return &command{
		name:     "serve",
		synopsis: "run an entry VM that callers find by look-up; with --data also a control replica",
		flags:    f.register,
		run: func(ctx context.Context, _ []string) error {
			s, err := f.check()
			if err != nil {
				return err
			}
			return s.run(ctx)
		},
	}
}

func (f *serveFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&f.name, "name", "", "name of this VM; required")
	fs.StringVar(&f.region, "region", "", "region of this VM; required")
	fs.StringVar(&f.failureDomain, "failure-domain", "", "failure domain of this VM; required")
	fs.StringVar(&f.http, "http", "127.0.0.1:7000", "HTTP address (IP:port) for callers, backend servers and operators")
	fs.StringVar(&f.rpc, "rpc", "127.0.0.1:7100", "address (IP:port) for RPCs between VMs")
	fs.StringVar(&f.gossip, "gossip", "127.0.0.1:7200", "UDP address (IP:port) for heartbeats between VMs")
	fs.StringVar(&f.peers, "peers", "", "gossip addresses (IP:port) of the other VMs, comma separated")
	fs.StringVar(&f.control, "control", "", "control VMs as NAME=IP:PORT with the RPC address, comma separated")
	fs.StringVar(&f.data, "data", "", "data directory of a control replica; empty for a VM without a replica")
	fs.StringVar(&f.config, "config", "", "configuration file (JSON) for a single process without control VMs")
	f.security.register(fs)
	fs.StringVar(&f.trustedResolvers, "trusted-resolvers", "", "address prefixes of resolvers that may look up entries for other clients, comma separated, such as 10.0.0.0/8")
	fs.StringVar(&f.logLevel, "log-level", "info", "lowest level of log lines to write: debug, info, warn or error")
	fs.StringVar(&f.traceEndpoint, "trace-endpoint", "", "URL of the OTLP collector to send traces to; empty turns traces off")
	fs.Float64Var(&f.traceShare, "trace-share", 0.01, "share of new traces to record, from 0 to 1")
	fs.DurationVar(&f.drainFor, "drain-for", 5*time.Second, "time that the VM still accepts requests after it starts to drain")
}

func (f *serveFlags) check() (*serveSettings, error) {
	var v validator
	s := &serveSettings{
		vm: briarferry.VM{
			Name: v.name("name", f.name), Region: v.name("region", f.region),
			FailureDomain: v.name("failure-domain", f.failureDomain),
			HTTP:          v.address("http", f.http), RPC: v.address("rpc", f.rpc), Gossip: v.address("gossip", f.gossip),
			Incarnation: uint64(time.Now().UnixMicro()), Control: f.data != "",
		},
		peers:     v.addresses("peers", f.peers),
		control:   v.namedAddresses("control", f.control),
		data:      f.data,
		token:     f.security.token,
		resolvers: v.prefixes("trusted-resolvers", f.trustedResolvers),
		log:       v.logger(f.logLevel).With().Str("vm", f.name).Logger(),
		trace:     bftrace.Exporter{Endpoint: f.traceEndpoint, SampleShare: f.traceShare, Process: "briarferry-" + f.name},
		drainFor:  v.positive("drain-for", f.drainFor),
	}
	s.security = f.security.check(&v, s.vm, s.control, s.peers)
	if f.config != "" {
		s.config = &briarferry.Config{}
		v.jsonFile("config", f.config, s.config)
	}
	return s, v.findings.Err()
}

func (s *serveSettings) run(ctx context.Context) error {
	flush, err := s.trace.Start(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = flush(context.WithoutCancel(ctx)) }()
	node := &bfnode.Node{
		VM: s.vm, Peers: s.peers, Control: s.control, DataDir: s.data, StandaloneConfig: s.config,
		Token: s.token, Security: s.security, TrustedResolvers: s.resolvers, DrainFor: s.drainFor, Log: s.log,
	}
	return node.Run(ctx)
}
