package bfcommand

import (
	"context"
	"flag"
	"time"

	"briarferry"
	"briarferry/internal/transport/bfstandin"
	"briarferry/internal/transport/bftrace"
)

func standinCommand() *command {
	var config, base, admin, entries, logLevel string
	var coldStart time.Duration
	var security clientFlags
	trace := bftrace.Exporter{Process: "standin"}
	return &command{
		name:     "standin",
		synopsis: "emulate the backend servers of a configuration, for tests",
		flags: func(fs *flag.FlagSet) {
			fs.StringVar(&config, "config", "", "configuration file (JSON) with the services to emulate; required")
			fs.StringVar(&base, "base", "127.0.0.1:21000", "address (IP:port) of the first backend server; the others use the ports that follow")
			fs.StringVar(&admin, "admin", "127.0.0.1:20999", "address (IP:port) of the endpoint that changes the behaviour of the backend servers")
			fs.StringVar(&entries, "entries", "127.0.0.1:7000", "HTTP addresses (IP:port) of entries, comma separated")
			security.register(fs)
			fs.DurationVar(&coldStart, "cold-start", 0, "time after its start in which a backend server is slower, as its caches are cold; 0 for none")
			fs.StringVar(&trace.Endpoint, "trace-endpoint", "", "URL of the OTLP collector to send traces to; empty turns traces off")
			fs.StringVar(&logLevel, "log-level", "info", "lowest level of log lines to write: debug, info, warn or error")
		},
		run: func(ctx context.Context, _ []string) error {
			var v validator
			cfg := &briarferry.Config{}
			v.jsonFile("config", config, cfg)
			fleet := &bfstandin.Fleet{
				Config: cfg, Base: v.address("base", base), Admin: v.address("admin", admin),
				Entries: v.addresses("entries", entries), ColdStart: coldStart, TLS: security.trustedCAs(&v), Log: v.logger(logLevel),
			}
			if err := v.findings.Err(); err != nil {
				return err
			}
			flush, err := trace.Start(ctx)
			if err != nil {
				return err
			}
			defer func() { _ = flush(context.WithoutCancel(ctx)) }()
			return fleet.Run(ctx)
		},
	}
}
