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
		synopsis: "print the entries that callers of a service should use",
		flags: func(fs *flag.FlagSet) {
			fs.StringVar(&entry, "entry", "127.0.0.1:7000", "HTTP address (IP:port) of the entry to ask")
			fs.StringVar(&service, "service", "", "name of the service")
			security.register(fs)
			fs.StringVar(&client, "client", "", "IP address of the client that the look-up is for; needs an entry that trusts this host as a resolver (--trusted-resolvers)")
		},
		run: func(ctx context.Context, _ []string) error {
			var v validator
			v.name("service", service)
			address := v.address("entry", entry)
			var forClient netip.Addr
			if client != "" {
				var err error
				if forClient, err = netip.ParseAddr(client); err != nil {
					v.findings.Add("--client", "must be an IP address: %q", client)
				}
			}
			httpClient := security.newHTTPClient(&v, nil)
			if err := v.findings.Err(); err != nil {
				return err
			}
			answer, err := bfload.Lookup(ctx, httpClient, address, service, forClient)
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
