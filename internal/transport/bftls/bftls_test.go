package bftls

import (
	"bytes"
	"crypto/tls"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// testCA is a CA that writes its certificates to a folder.
type testCA struct {
	t   *testing.T
	dir string
	*Authority
}

func newTestCA(t *testing.T) *testCA {
	t.Helper()
	a, cert, key, err := NewAuthority("test CA", time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	c := &testCA{t: t, dir: t.TempDir(), Authority: a}
	c.write("ca", cert, key)
	return c
}

func (c *testCA) write(name string, cert, key []byte) {
	c.t.Helper()
	for suffix, data := range map[string][]byte{".pem": cert, ".key": key} {
		if err := os.WriteFile(filepath.Join(c.dir, name+suffix), data, 0o600); err != nil {
			c.t.Fatal(err)
		}
	}
}

func (c *testCA) issue(name string, valid time.Duration) {
	c.t.Helper()
	cert, key, err := c.Issue(name, []netip.Addr{netip.MustParseAddr("127.0.0.1")}, valid)
	if err != nil {
		c.t.Fatal(err)
	}
	c.write(name, cert, key)
}

func (c *testCA) files(name string) Files {
	return Files{
		Cert: File{Setting: "--tls-cert", Path: filepath.Join(c.dir, name+".pem")},
		Key:  File{Setting: "--tls-key", Path: filepath.Join(c.dir, name+".key")},
		CA:   File{Setting: "--tls-ca", Path: filepath.Join(c.dir, "ca.pem")},
		Name: name,
	}
}

func (c *testCA) load(name string) *Source {
	c.t.Helper()
	c.issue(name, time.Hour)
	s, findings := Load(c.files(name))
	if len(findings) > 0 {
		c.t.Fatal(findings)
	}
	return s
}

// handshake returns the errors of a TLS handshake between a client and a server over
// loopback.
func handshake(t *testing.T, client, server *tls.Config) (clientErr, serverErr error) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	done := make(chan error, 1)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			done <- err
			return
		}
		defer conn.Close()
		done <- tls.Server(conn, server).Handshake()
	}()
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	clientErr = tls.Client(conn, client).Handshake()
	if clientErr != nil {
		_ = conn.Close()
	}
	return clientErr, <-done
}

// TestHandshakes guards against peers that are accepted without a certificate of the
// system's CA, with the name of another VM, or with an older version of TLS.
func TestHandshakes(t *testing.T) {
	ca, other := newTestCA(t), newTestCA(t)
	vm1, vm2, foreign := ca.load("vm1"), ca.load("vm2"), other.load("vm2")
	anonymous, findings := Load(Files{CA: ca.files("vm1").CA})
	if len(findings) > 0 {
		t.Fatal(findings)
	}
	old := vm2.Client("vm1")
	old.MinVersion, old.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
	// This client trusts the CA of the system, but its certificate is signed by another CA.
	foreignClient := vm2.Client("vm1")
	foreignClient.Certificates = nil
	foreignClient.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return foreign.Value().cert, nil }
	tests := []struct {
		name   string
		client *tls.Config
		server *Source
		want   string // in the error of either side; empty for success
	}{
		{"right name", vm2.Client("vm1"), vm1, ""},
		{"address", vm2.Client("127.0.0.1"), vm1, ""},
		{"any name", vm2.Client(""), vm1, ""},
		{"wrong name", vm2.Client("vm3"), vm1, "not vm3"},
		{"wrong address", vm2.Client("127.0.0.2"), vm1, "not 127.0.0.2"},
		{"server of another CA", vm2.Client("vm2"), foreign, "unknown authority"},
		{"server of another CA, any name", vm2.Client(""), foreign, "unknown authority"},
		{"client of another CA", foreignClient, vm1, "unknown authority"},
		{"client without certificate", anonymous.Client("vm1"), vm1, "didn't provide a certificate"},
		{"TLS 1.2", old, vm1, "protocol version"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clientErr, serverErr := handshake(t, tt.client, tt.server.Server(true))
			text := ""
			for _, err := range []error{clientErr, serverErr} {
				if err != nil {
					text += err.Error() + "\n"
				}
			}
			if tt.want == "" && text != "" || !strings.Contains(text, tt.want) {
				t.Errorf("got %q, want %q", text, tt.want)
			}
		})
	}
}

// TestLoadFindings guards against invalid files that are noticed only at the first
// connection, and against findings that are reported one at a time.
func TestLoadFindings(t *testing.T) {
	ca, other := newTestCA(t), newTestCA(t)
	ca.load("vm1")
	other.load("vm2")
	ca.issue("expired", -time.Minute)
	readable := ca.files("vm1")
	readable.Key.Path = filepath.Join(ca.dir, "open.key")
	key, _ := os.ReadFile(ca.files("vm1").Key.Path)
	if err := os.WriteFile(readable.Key.Path, key, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Chmod(readable.Key.Path, 0o604); err != nil {
		t.Fatal(err)
	}
	wrongName, wrongCA, noPEM, wrongKey := ca.files("vm1"), ca.files("vm1"), ca.files("vm1"), ca.files("vm1")
	wrongName.Name = "vm3"
	wrongCA.CA = other.files("vm2").CA
	noPEM.CA.Path = noPEM.Key.Path
	wrongKey.Key = ca.files("expired").Key
	missing := ca.files("none")
	missing.CA.Path = filepath.Join(ca.dir, "none.ca")
	tests := []struct {
		name  string
		files Files
		want  []string
	}{
		{"valid", ca.files("vm1"), nil},
		{"expired", ca.files("expired"), []string{"--tls-cert: ", "is valid from"}},
		{"wrong name", wrongName, []string{`must have the DNS name "vm3"`}},
		{"wrong CA", wrongCA, []string{"is not signed by a CA"}},
		{"no CA in the file", noPEM, []string{"--tls-ca: ", "no certificate in PEM format"}},
		{"key of another certificate", wrongKey, []string{"not a certificate and its key"}},
		{"key readable by others", readable, []string{"--tls-key: ", "mode 0600"}},
		{"all missing", missing, []string{"--tls-cert: ", "--tls-key: ", "--tls-ca: "}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, findings := Load(tt.files)
			if len(tt.want) == 0 && len(findings) > 0 {
				t.Error(findings)
			}
			for _, want := range tt.want {
				if !strings.Contains(findings.Error(), want) {
					t.Errorf("no %q in %q", want, findings)
				}
			}
		})
	}
}

// TestReload guards against certificates that take effect only after a restart, against an
// invalid file that interrupts the service, and against a log line at each reload of it. It
// also guards against connections that fail while the CA is replaced, and against
// certificates of the old CA that are accepted after its removal.
func TestReload(t *testing.T) {
	ca, next := newTestCA(t), newTestCA(t)
	server, client := ca.load("vm1"), ca.load("vm2")
	settings := server.Server(true)
	connect := func() error {
		clientErr, serverErr := handshake(t, client.Client("vm1"), settings)
		if clientErr != nil {
			return clientErr
		}
		return serverErr
	}
	var out bytes.Buffer
	log := zerolog.New(&out)
	first := server.Value().cert.Leaf.SerialNumber

	key, _ := os.ReadFile(ca.files("vm1").Key.Path)
	ca.write("vm1", []byte("no certificate"), key)
	for range 3 {
		server.Reload(log)
	}
	if n := strings.Count(out.String(), "the last valid ones stay in use"); n != 1 {
		t.Errorf("an invalid file was logged %d times: %s", n, out.String())
	}
	if strings.Contains(out.String(), strings.Split(string(key), "\n")[1]) {
		t.Error("the key is in the log")
	}
	if err := connect(); err != nil {
		t.Errorf("handshake with an invalid file: %v", err)
	}

	ca.issue("vm1", time.Hour)
	server.Reload(log)
	if server.Value().cert.Leaf.SerialNumber.Cmp(first) == 0 {
		t.Error("the new certificate is not in use")
	}
	if err := connect(); err != nil {
		t.Errorf("handshake with a new certificate: %v", err)
	}

	// The CA is replaced in three steps: both CAs are trusted, the new CA issues new
	// certificates, the old CA is no longer trusted.
	oldCA, _ := os.ReadFile(filepath.Join(ca.dir, "ca.pem"))
	newCA, _ := os.ReadFile(filepath.Join(next.dir, "ca.pem"))
	caKey, _ := os.ReadFile(filepath.Join(ca.dir, "ca.key"))
	step := func(bundle []byte, issuer *testCA) {
		ca.write("ca", bundle, caKey)
		if issuer != nil {
			for _, name := range []string{"vm1", "vm2"} {
				cert, key, err := issuer.Issue(name, nil, time.Hour)
				if err != nil {
					t.Fatal(err)
				}
				ca.write(name, cert, key)
			}
		}
		server.Reload(log)
		if err := connect(); err != nil {
			t.Errorf("handshake after the server reloaded the CA: %v", err)
		}
		client.Reload(log)
		if err := connect(); err != nil {
			t.Errorf("handshake after the client reloaded the CA: %v", err)
		}
	}
	step(append(oldCA, newCA...), nil)
	step(append(oldCA, newCA...), next)
	step(newCA, nil)
	old := ca.Authority
	cert, oldKey, _ := old.Issue("vm2", nil, time.Hour)
	pair, err := tls.X509KeyPair(cert, oldKey)
	if err != nil {
		t.Fatal(err)
	}
	oldClient := client.Client("vm1")
	oldClient.Certificates = nil
	oldClient.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &pair, nil }
	if _, serverErr := handshake(t, oldClient, settings); serverErr == nil {
		t.Error("a certificate of the old CA is still accepted")
	}
}
