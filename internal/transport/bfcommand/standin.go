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
	var client clientFlags
	trace := bftrace.Exporter{Process: "standin"}
	return &command{
		name:     "standin",
		synopsis: "emulate the backend servers of a configuration",
		flags: func(fs *flag.FlagSet) {
			fs.StringVar(&config, "config", "", "configuration file whose services to emulate")
			fs.StringVar(&base, "base", "127.0.0.1:21000", "address of the first server; the others follow by port")
			fs.StringVar(&admin, "admin", "127.0.0.1:20999", "address of the endpoint that changes behaviours")
			fs.StringVar(&entries, "entries", "127.0.0.1:7000", "HTTP addresses of entries, comma separated")
			client.register(fs)
			fs.DurationVar(&coldStart, "cold-start", 0, "how long servers start cold")
			fs.StringVar(&trace.Endpoint, "trace-endpoint", "", "URL of an OTLP collector; empty for no traces")
			fs.StringVar(&logLevel, "log-level", "info", "debug, info, warn or error")
		},
		run: func(ctx context.Context, _ []string) error {
			var v values
			cfg := &briarferry.Config{}
			v.document("config", config, cfg)
			fleet := &bfstandin.Fleet{
				Config: cfg, Base: v.address("base", base), Admin: v.address("admin", admin),
				Entries: v.addresses("entries", entries), ColdStart: coldStart, TLS: client.source(&v), Log: v.logger(logLevel),
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
