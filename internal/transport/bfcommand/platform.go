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
	"briarferry/internal/coordination/bfquota"
	"briarferry/internal/coordination/bfsteering"
	"briarferry/internal/transport/bfcontrol"
	"briarferry/internal/transport/bfgateway"
	"briarferry/internal/transport/bflog"
	"briarferry/internal/transport/bftrace"
	"briarferry/platform"
)

const (
	// runtimeMemoryShare is the share of the process's memory limit that becomes the memory
	// limit of the Go runtime. The rest is left for stacks, the program itself and unread
	// bytes of connections.
	runtimeMemoryShare = 0.7
	// bodyMemoryShare is the share of the process's memory limit that the request bodies of
	// callers may occupy.
	bodyMemoryShare = 0.25
	// answerMemoryShare is the share that the answers of backend servers may occupy.
	answerMemoryShare = 0.25
	// drainGraceShare is the share of the grace period during which a stopping entry still
	// accepts requests.
	drainGraceShare = 0.5
	// maxDrainTime bounds the time during which a stopping entry still accepts requests.
	// It is the time for which callers use a response of the directory, plus a margin.
	maxDrainTime     = 3 * time.Second
	bytesPerMebibyte = 1 << 20
	// Link bandwidth is given in decimal units.
	bitsPerMegabit = 1_000_000
	bitsPerByte    = 8
)

// Offsets of the internal ports from the first port of the range in the settings file.
const (
	entryRPCOffset uint16 = iota
	entryGossipOffset
	controlRPCOffset
	controlGossipOffset
)

type (
	// vmFlags are the flags of the entry and control commands.
	vmFlags struct {
		nodeFile, bind, metricsPort, logLevel, traceEndpoint string
		traceShare                                           float64
		insecureRPC                                          bool
	}

	// vmSettings are the validated settings of an entry or control process.
	vmSettings struct {
		platform    *platform.Settings
		watcher     *platform.Watcher
		bind        netip.Addr
		metricsPort uint16
		log         zerolog.Logger
		writer      *bflog.Writer
		trace       bftrace.Exporter
	}
)

// standardLogWriter writes the lines of the standard logger to the log of the process.
type standardLogWriter struct{ log zerolog.Logger }

// Write logs one line.
func (l standardLogWriter) Write(line []byte) (int, error) {
	l.log.Warn().Str("line", strings.TrimSpace(string(line))).Msg("library")
	return len(line), nil
}

func entryCommand() *command {
	return vmCommand("entry", "run the process of an entry VM in a routed deployment, with the platform's settings file (--node-file)", func(ctx context.Context, s *vmSettings) error {
		return s.entryNode().Run(ctx)
	})
}

func controlCommand() *command {
	return vmCommand("control", "run the process of a control VM in a routed deployment, with the platform's settings file (--node-file)", func(ctx context.Context, s *vmSettings) error {
		return s.controlNode().Run(ctx)
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
	fs.StringVar(&f.nodeFile, "node-file", "", "settings file of the platform (TOML); required")
	fs.StringVar(&f.bind, "bind", "", "IP address to listen on, if it differs from the address at which others reach this VM (address translation); empty for the address in the settings file")
	fs.StringVar(&f.metricsPort, "metrics-port", "9464", "TCP port of the metrics endpoint (/metrics); 0 turns it off")
	fs.StringVar(&f.logLevel, "log-level", "info", "lowest level of log lines to write: debug, info, warn or error")
	fs.StringVar(&f.traceEndpoint, "trace-endpoint", "", "URL of the OTLP collector to send traces to; empty turns traces off")
	fs.Float64Var(&f.traceShare, "trace-share", 0.01, "share of new traces to record, from 0 to 1")
	fs.BoolVar(&f.insecureRPC, "insecure-rpc", false, "send traffic between VMs without encryption and authentication; required, as routed deployments do not support them yet")
}

func (f *vmFlags) check() (*vmSettings, error) {
	var v validator
	s := &vmSettings{writer: &bflog.Writer{Out: os.Stdout}, metricsPort: v.port("metrics-port", f.metricsPort)}
	if !f.insecureRPC {
		v.findings.Add("--insecure-rpc", "must be given to confirm that traffic between the VMs of a routed deployment is not encrypted or authenticated")
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
	// Libraries write to the standard logger, for example net/http about a connection that
	// sends no data.
	log.SetFlags(0)
	log.SetOutput(standardLogWriter{s.log})
	s.watcher.Log = s.log
	s.trace = bftrace.Exporter{Endpoint: f.traceEndpoint, SampleShare: f.traceShare, Process: "briarferry-" + s.platform.Name}
	return s, v.findings.Err()
}

func (s *vmSettings) run(ctx context.Context, name string, run func(ctx context.Context, s *vmSettings) error) error {
	if s.platform.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(runtimeMemoryShare * float64(s.platform.MemoryMB) * bytesPerMebibyte))
	}
	flush, err := s.trace.Start(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = flush(context.WithoutCancel(ctx)) }()
	s.log.Warn().Str("role", name).Msg("traffic between VMs is not encrypted or authenticated")
	go s.watcher.Run(ctx)
	s.serveMetrics()
	if err := run(ctx, s); err != nil {
		s.log.Error().Err(err).Msg("process failed")
		return err
	}
	return nil
}

// serveMetrics serves the metrics of the process. If the port can't be opened, the process
// runs without them.
func (s *vmSettings) serveMetrics() {
	if s.metricsPort == 0 {
		return
	}
	ln, err := net.Listen("tcp", briarferry.ListenAt(s.bind, netip.AddrPortFrom(s.platform.Address, s.metricsPort)).String())
	if err != nil {
		s.log.Warn().Err(err).Msg("metrics endpoint not started; process continues without it")
		return
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", expvar.Handler())
	go func() { _ = http.Serve(ln, mux) }()
}

// internalAddress returns the address of the internal port with the given offset.
func (s *vmSettings) internalAddress(offset uint16) netip.AddrPort {
	return netip.AddrPortFrom(s.platform.Address, s.platform.FirstPort+offset)
}

func (s *vmSettings) entryNode() *bfgateway.Node {
	p := s.platform
	return &bfgateway.Node{
		VM: briarferry.VM{
			Name: p.Name, Region: p.Region, FailureDomain: p.FailureDomain, HTTP: p.Listen.Callers,
			RPC: s.internalAddress(entryRPCOffset), Gossip: s.internalAddress(entryGossipOffset), Incarnation: uint64(time.Now().UnixMicro()),
		},
		Bind: s.bind, Regions: p.Regions, Seeds: s.watcher.Seeds, ControlGossipPort: p.FirstPort + controlGossipOffset,
		ReadyAddress: p.Listen.Ready, ReadyPath: platform.ReadyPath, Dialect: platform.Dialect(),
		Limits: bfsteering.Limits{
			RetryShare: p.Bounds.RetryShare, RetrySlack: p.Bounds.RetrySlack, RetryWindow: p.Bounds.RetryWindow, MaxShift: p.Bounds.MaxShift,
		},
		GracePeriod: p.Bounds.Grace, DrainTime: min(maxDrainTime, time.Duration(drainGraceShare*float64(p.Bounds.Grace))), Log: s.log,
		LinkBandwidth: p.LinkMbps * bitsPerMegabit / bitsPerByte, MaxBodyMemory: s.memoryShare(bodyMemoryShare),
		MaxAnswerMemory: s.memoryShare(answerMemoryShare),
	}
}

// memoryShare returns a share of the process's memory limit in bytes.
func (s *vmSettings) memoryShare(share float64) int64 {
	return int64(share * float64(s.platform.MemoryMB) * bytesPerMebibyte)
}

func (s *vmSettings) controlNode() *bfcontrol.Node {
	p := s.platform
	n := &bfcontrol.Node{
		Address: p.Address, Bind: s.bind, FailureDomain: p.FailureDomain, RPC: s.internalAddress(controlRPCOffset), Gossip: s.internalAddress(controlGossipOffset),
		Seeds: s.watcher.Seeds, Bootstrap: p.Bootstrap, DataDir: p.DataDir, Regions: p.Regions, LookupTTL: p.Bounds.LookupTTL,
		MaxShift: p.Bounds.MaxShift, MaxLostVMs: p.Bounds.MaxLostVMs, Log: s.log,
		QuotaTolerance: bfquota.Tolerance{Window: p.Bounds.QuotaWindow, Share: p.Bounds.QuotaShare, Requests: p.Bounds.QuotaRequests},
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
