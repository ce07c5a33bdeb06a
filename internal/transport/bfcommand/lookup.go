package bfcommand

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/netip"
	"os"

	"briarferry/internal/transport/bfload"
)

func lookupCommand() *command {
	var entry, service, client string
	var security clientFlags
	return &command{
		name:     "lookup",
		synopsis: "ask which entries to use for a service",
		flags: func(fs *flag.FlagSet) {
			fs.StringVar(&entry, "entry", "127.0.0.1:7000", "HTTP address of an entry")
			fs.StringVar(&service, "service", "", "name of the service")
			security.register(fs)
			fs.StringVar(&client, "client", "", "address of the client that the look-up is for")
		},
		run: func(ctx context.Context, _ []string) error {
			var v values
			v.name("service", service)
			address := v.address("entry", entry)
			var forClient netip.Addr
			if client != "" {
				var err error
				if forClient, err = netip.ParseAddr(client); err != nil {
					v.findings.Add("--client", "must be an IP address: %q", client)
				}
			}
			caller := security.caller(&v, nil)
			if err := v.findings.Err(); err != nil {
				return err
			}
			answer, err := bfload.Lookup(ctx, caller, address, service, forClient)
			if err != nil {
				return err
			}
			enc := json.NewEncoder(os.Stdout)
			enc.SetIndent("", "  ")
			if err := enc.Encode(answer); err != nil {
				return fmt.Errorf("bfcommand: print look-up: %w", err)
			}
			return nil
		},
	}
}
