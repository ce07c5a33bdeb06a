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

func makeSecrets(t *testing.T, vms string) func(name string) string {
	t.Helper()
	dir := t.TempDir()
	var v values
	s := bftls.Setup{Folder: dir, System: "s", VMs: v.vmList("vms", vms), Valid: time.Hour}
	if _, err := s.Run(); err != nil {
		t.Fatal(err)
	}
	return func(name string) string { return filepath.Join(dir, name) }
}

// TestServeSecurity guards against addresses that other VMs reach without protection
// and against settings that are given by half.
func TestServeSecurity(t *testing.T) {
	file := makeSecrets(t, "a=192.0.2.1+127.0.0.1")
	full := securityFlags{
		system: "s", cert: file("a.pem"), key: file("a.key"), ca: file("ca.pem"), httpCert: file("a.pem"), httpKey: file("a.key"),
		gossipKeys: file("gossip.key"), tokenFile: file("token"),
	}
	tests := []struct {
		name   string
		change func(f *serveFlags)
		want   []string
	}{
		{"all set", func(*serveFlags) {}, nil},
		{"cleartext calls", func(f *serveFlags) { f.security.cert, f.security.key, f.security.ca = "", "", "" }, []string{"--rpc: ", "--control: "}},
		{"cleartext calls allowed", func(f *serveFlags) {
			f.security.cert, f.security.key, f.security.insecureRPC, f.security.httpCA, f.security.ca = "", "", true, f.security.ca, ""
		}, nil},
		{"no gossip key", func(f *serveFlags) { f.security.gossipKeys = "" }, []string{"--gossip: ", "--peers: "}},
		{"no token", func(f *serveFlags) { f.security.tokenFile = "" }, []string{"--token: "}},
		{"two tokens", func(f *serveFlags) { f.security.token = "x" }, []string{"--token: "}},
		{"half of the calls' files", func(f *serveFlags) { f.security.ca, f.security.httpCA = "", f.security.ca }, []string{"--tls-cert: "}},
		{"half of the HTTP files", func(f *serveFlags) { f.security.httpKey = "" }, []string{"--http-tls-cert: "}},
		{"another VM's certificate", func(f *serveFlags) { f.name = "b" }, []string{`--tls-cert: `, `"b"`}},
		{"another address", func(f *serveFlags) { f.http = "192.0.2.9:1" }, []string{`--http-tls-cert: `, "192.0.2.9"}},
		{"gossip key is no key", func(f *serveFlags) { f.security.gossipKeys = file("ca.key") }, []string{"--gossip-key-file: "}},
		{"system", func(f *serveFlags) { f.security.system = "a b" }, []string{"--system: "}},
		{"several", func(f *serveFlags) { f.security = securityFlags{} }, []string{"--system: ", "--rpc: ", "--gossip: ", "--token: "}},
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
				t.Errorf("findings: %v", err)
			}
			for _, want := range tt.want {
				if err == nil || !strings.Contains(err.Error(), want) {
					t.Errorf("no %q in %v", want, err)
				}
			}
			if err != nil && strings.Contains(err.Error(), "PRIVATE") {
				t.Errorf("a finding shows a secret: %v", err)
			}
		})
	}
}

// TestHelpHidesToken guards against a token in the environment that help shows.
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
			t.Errorf("help of %s: %s", c.name, text)
		}
	}
}

// TestOperatorToken guards against the old token being sent during a rotation.
func TestOperatorToken(t *testing.T) {
	path := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(path, []byte("# in use, then old\n\nfirst-token-0123456789\nsecond-token-0123456789\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	var v values
	f := clientFlags{tokenFile: path}
	if c := f.operator(&v, "127.0.0.1:1"); len(v.findings) > 0 || c.token != "first-token-0123456789" {
		t.Errorf("token %q, findings %v", c.token, v.findings)
	}
}
