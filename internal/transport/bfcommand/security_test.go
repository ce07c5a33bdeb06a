package bfcommand

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"briarferry/internal/transport/bftls"
)

// makeSecrets creates certificates, keys and a token for the VMs and returns a function from
// the name of a file to its path.
func makeSecrets(t *testing.T, vms string) func(name string) string {
	t.Helper()
	dir := t.TempDir()
	var v validator
	s := bftls.Setup{Folder: dir, System: "s", VMs: v.vmList("vms", vms), Valid: time.Hour}
	if _, err := s.Run(); err != nil {
		t.Fatal(err)
	}
	return func(name string) string { return filepath.Join(dir, name) }
}

// TestServeSecurity guards against a process that starts with a non-loopback address but
// without TLS, a gossip key or a token for it, with an incomplete set of flags, or with a
// certificate of another VM or address. It also guards against findings that contain a
// private key.
func TestServeSecurity(t *testing.T) {
	file := makeSecrets(t, "a=192.0.2.1+127.0.0.1")
	full := securityFlags{
		system: "s", tlsCert: file("a.pem"), tlsKey: file("a.key"), tlsCA: file("ca.pem"), httpCert: file("a.pem"), httpKey: file("a.key"),
		gossipKeyFile: file("gossip.key"), tokenFile: file("token"),
	}
	tests := []struct {
		name   string
		change func(f *serveFlags)
		want   []string
	}{
		{"all set", func(*serveFlags) {}, nil},
		{"RPC without TLS", func(f *serveFlags) { f.security.tlsCert, f.security.tlsKey, f.security.tlsCA = "", "", "" }, []string{"--rpc: ", "--control: "}},
		{"RPC without TLS allowed", func(f *serveFlags) {
			f.security.tlsCert, f.security.tlsKey, f.security.insecureRPC, f.security.httpCA, f.security.tlsCA = "", "", true, f.security.tlsCA, ""
		}, nil},
		{"no gossip key", func(f *serveFlags) { f.security.gossipKeyFile = "" }, []string{"--gossip: ", "--peers: "}},
		{"no token", func(f *serveFlags) { f.security.tokenFile = "" }, []string{"--token: "}},
		{"token and token file", func(f *serveFlags) { f.security.token = "x" }, []string{"--token: "}},
		{"RPC files without a CA", func(f *serveFlags) { f.security.tlsCA, f.security.httpCA = "", f.security.tlsCA }, []string{"--tls-cert: "}},
		{"HTTP certificate without a key", func(f *serveFlags) { f.security.httpKey = "" }, []string{"--http-tls-cert: "}},
		{"RPC certificate of another VM", func(f *serveFlags) { f.name = "b" }, []string{`--tls-cert: `, `"b"`}},
		{"HTTP certificate of another address", func(f *serveFlags) { f.http = "192.0.2.9:1" }, []string{`--http-tls-cert: `, "192.0.2.9"}},
		{"invalid gossip key", func(f *serveFlags) { f.security.gossipKeyFile = file("ca.key") }, []string{"--gossip-key-file: "}},
		{"invalid system name", func(f *serveFlags) { f.security.system = "a b" }, []string{"--system: "}},
		{"several findings", func(f *serveFlags) { f.security = securityFlags{} }, []string{"--system: ", "--rpc: ", "--gossip: ", "--token: "}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := serveFlags{
				name: "a", region: "r", failureDomain: "d", http: "192.0.2.1:1", rpc: "192.0.2.1:2", gossip: "192.0.2.1:3",
				peers: "192.0.2.2:3", control: "a=192.0.2.1:2", logLevel: "info", drainFor: 1, security: full,
			}
			tt.change(&f)
			_, err := f.check()
			if len(tt.want) == 0 && err != nil {
				t.Errorf("unexpected findings: %v", err)
			}
			for _, want := range tt.want {
				if err == nil || !strings.Contains(err.Error(), want) {
					t.Errorf("no finding contains %q: %v", want, err)
				}
			}
			if err != nil && strings.Contains(err.Error(), "PRIVATE") {
				t.Errorf("a finding contains a private key: %v", err)
			}
		})
	}
}

// TestHelpHidesToken guards against help that prints the token of the environment variable as
// the default of a flag.
func TestHelpHidesToken(t *testing.T) {
	const secret = "a-secret-of-operators"
	t.Setenv("BRIARFERRY_TOKEN", secret)
	for _, c := range []*command{serveCommand(), applyCommand(), drainCommand()} {
		fs := flag.NewFlagSet(c.name, flag.ContinueOnError)
		var out bytes.Buffer
		fs.SetOutput(&out)
		c.SetFlags(fs)
		fs.PrintDefaults()
		if text := out.String(); strings.Contains(text, secret) || !strings.Contains(text, "token-file") {
			t.Errorf("help of %s contains the token or lacks --token-file: %s", c.name, text)
		}
	}
}

// TestOperatorToken guards against sending the old token during a rotation: the first token
// in the file is the one to send.
func TestOperatorToken(t *testing.T) {
	path := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(path, []byte("# in use, then old\n\nfirst-token-0123456789\nsecond-token-0123456789\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	var v validator
	f := clientFlags{tokenFile: path}
	if c := f.newOperatorClient(&v, "127.0.0.1:1"); len(v.findings) > 0 || c.token != "first-token-0123456789" {
		t.Errorf("token %q, findings %v", c.token, v.findings)
	}
}
