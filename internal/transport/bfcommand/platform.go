package bfcommand

import (
	"context"
	"errors"
	"expvar"
	"flag"
	"log"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"briarferry"
	"briarferry/internal/coordination/bfsteering"
	"briarferry/internal/transport/bfcontrol"
	"briarferry/internal/transport/bfgateway"
	"briarferry/internal/transport/bflog"
	"briarferry/internal/transport/bftrace"
	"briarferry/platform"
)

const (
	// memoryShare is the part of the memory limit that the runtime may fill; the rest
	// holds stacks, the program and unread bytes of connections.
	memoryShare = 0.7
	// bodyShare is the part of the memory limit that callers' bodies may fill.
	bodyShare = 0.25
	// drainShare is the part of the grace time in which a stopping entry still takes
	// requests.
	drainShare = 0.5
	// maxDrain is how long callers use an answer of the directory, with some margin.
	maxDrain = 3 * time.Second
	megabyte = 1 << 20
	// Links are rated in decimal units.
	megabit     = 1_000_000
	bitsPerByte = 8
)

// The offsets of the internal ports from the first one.
const (
	entryRPCPort uint16 = iota
	entryGossipPort
	controlRPCPort
	controlGossipPort
)

type (
	// vmFlags are the settings of an entry or control process as text.
	vmFlags struct {
		nodeFile, bind, metrics, logLevel, traceEndpoint string
		traceShare                                       float64
		insecure                                         bool
	}

	// vmSettings are the checked settings of an entry or control process.
	vmSettings struct {
		platform *platform.Settings
		watcher  *platform.Watcher
		bind     netip.Addr
		metrics  uint16
		log      zerolog.Logger
		writer   *bflog.Writer
		trace    bftrace.Exporter
	}
)

// libraryLog turns lines of the standard logger into lines of this process.
type libraryLog struct{ log zerolog.Logger }

// Write logs one line.
func (l libraryLog) Write(line []byte) (int, error) {
	l.log.Warn().Str("line", strings.TrimSpace(string(line))).Msg("library")
	return len(line), nil
}

func entryCommand() *command {
	return vmCommand("entry", "run an entry VM of a routed deployment", func(ctx context.Context, s *vmSettings) error {
		return s.entry().Run(ctx)
	})
}

func controlCommand() *command {
	return vmCommand("control", "run a control VM of a routed deployment", func(ctx context.Context, s *vmSettings) error {
		return s.control().Run(ctx)
	})
}

func vmCommand(name, synopsis string, run func(ctx context.Context, s *vmSettings) error) *command {
	var f vmFlags
	return &command{
		name: name, synopsis: synopsis, flags: f.register,
		run: func(ctx context.Context, _ []string) error {
			s, err := f.check()
			if err != nil {
				return err
			}
			defer s.writer.Flush()
			return s.run(ctx, name, run)
		},
	}
}

func (f *vmFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&f.nodeFile, "node-file", "", "settings file of the platform (TOML)")
	fs.StringVar(&f.bind, "bind", "", "IP address to listen on, where others reach this VM at another one; empty for the one in the settings file")
	fs.StringVar(&f.metrics, "metrics-port", "9464", "port for metrics; 0 for none")
	fs.StringVar(&f.logLevel, "log-level", "info", "debug, info, warn or error")
	fs.StringVar(&f.traceEndpoint, "trace-endpoint", "", "URL of an OTLP collector; empty for no traces")
	fs.Float64Var(&f.traceShare, "trace-share", 0.01, "share of new traces that are recorded")
	fs.BoolVar(&f.insecure, "insecure-rpc", false, "carry traffic between VMs without TLS and keys; routed deployments have no other mode yet")
}

func (f *vmFlags) check() (*vmSettings, error) {
	var v values
	s := &vmSettings{writer: &bflog.Writer{Out: os.Stdout}, metrics: v.port("metrics-port", f.metrics)}
	if !f.insecure {
		v.findings.Add("--insecure-rpc", "must be given, as traffic between the VMs of a routed deployment is not protected")
	}
	var err error
	if f.bind != "" {
		if s.bind, err = netip.ParseAddr(f.bind); err != nil {
			v.findings.Add("--bind", "must be an IP address: %q", f.bind)
		}
	}
	level, err := zerolog.ParseLevel(f.logLevel)
	if err != nil {
		v.findings.Add("--log-level", "must be debug, info, warn or error: %q", f.logLevel)
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	s.log = zerolog.New(s.writer).Level(level).With().Timestamp().Logger()
	s.watcher = &platform.Watcher{Path: f.nodeFile, Log: s.log}
	if s.platform, err = s.watcher.Load(); err != nil {
		var findings briarferry.Findings
		if !errors.As(err, &findings) {
			findings = briarferry.Findings{{Place: "--node-file", Message: err.Error()}}
		}
		v.findings = append(v.findings, findings...)
		return nil, v.findings
	}
	s.log = s.log.With().Str("vm", s.platform.Name).Logger()
	// Libraries write to the standard logger, such as net/http about a silent connection.
	log.SetFlags(0)
	log.SetOutput(libraryLog{s.log})
	s.watcher.Log = s.log
	s.trace = bftrace.Exporter{Endpoint: f.traceEndpoint, SampleShare: f.traceShare, Process: "briarferry-" + s.platform.Name}
	return s, v.findings.Err()
}

func (s *vmSettings) run(ctx context.Context, name string, run func(ctx context.Context, s *vmSettings) error) error {
	if s.platform.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.platform.MemoryMB) * megabyte))
	}
	flush, err := s.trace.Start(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = flush(context.WithoutCancel(ctx)) }()
	s.log.Warn().Str("role", name).Msg("traffic between VMs is not protected")
	go s.watcher.Run(ctx)
	s.serveMetrics()
	if err := run(ctx, s); err != nil {
		s.log.Error().Err(err).Msg("process fails")
		return err
	}
	return nil
}

// serveMetrics serves the counters; a process works without them too.
func (s *vmSettings) serveMetrics() {
	if s.metrics == 0 {
		return
	}
	ln, err := net.Listen("tcp", briarferry.ListenAt(s.bind, netip.AddrPortFrom(s.platform.Address, s.metrics)).String())
	if err != nil {
		s.log.Warn().Err(err).Msg("metrics not served")
		return
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", expvar.Handler())
	go func() { _ = http.Serve(ln, mux) }()
}

func (s *vmSettings) port(offset uint16) netip.AddrPort {
	return netip.AddrPortFrom(s.platform.Address, s.platform.FirstPort+offset)
}

func (s *vmSettings) entry() *bfgateway.Node {
	p := s.platform
	return &bfgateway.Node{
		VM: briarferry.VM{
			Name: p.Name, Region: p.Region, FailureDomain: p.FailureDomain, HTTP: p.Listen.Callers,
			RPC: s.port(entryRPCPort), Gossip: s.port(entryGossipPort), Incarnation: uint64(time.Now().UnixMicro()),
		},
		Bind: s.bind, Regions: p.Regions, Seeds: s.watcher.Seeds, ControlGossipPort: p.FirstPort + controlGossipPort,
		ReadyAddress: p.Listen.Ready, ReadyPath: platform.ReadyPath, Dialect: platform.Dialect(),
		Limits: bfsteering.Limits{
			RetryShare: p.Bounds.RetryShare, RetrySlack: p.Bounds.RetrySlack, RetryWindow: p.Bounds.RetryWindow, MaxShift: p.Bounds.MaxShift,
		},
		GracePeriod: p.Bounds.Grace, DrainTime: min(maxDrain, time.Duration(drainShare*float64(p.Bounds.Grace))), Log: s.log,
		LinkBandwidth: p.LinkMbps * megabit / bitsPerByte, MaxBodyMemory: int64(bodyShare * float64(p.MemoryMB) * megabyte),
	}
}

func (s *vmSettings) control() *bfcontrol.Node {
	p := s.platform
	n := &bfcontrol.Node{
		Address: p.Address, Bind: s.bind, FailureDomain: p.FailureDomain, RPC: s.port(controlRPCPort), Gossip: s.port(controlGossipPort),
		Seeds: s.watcher.Seeds, Bootstrap: p.Bootstrap, DataDir: p.DataDir, Regions: p.Regions, LookupTTL: p.Bounds.LookupTTL,
		MaxShift: p.Bounds.MaxShift, Log: s.log,
	}
	n.Setup()
	api := &platform.API{Control: n, Status: bfcontrol.HTTPStatus, Log: s.log}
	n.Handlers = map[netip.AddrPort]http.Handler{}
	if p.Listen.Control.IsValid() {
		n.Handlers[p.Listen.Control] = api.Handler()
	}
	if p.Listen.Directory.IsValid() {
		n.Handlers[p.Listen.Directory] = api.Directory()
	}
	return n
}
