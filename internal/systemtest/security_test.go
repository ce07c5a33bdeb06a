package systemtest

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"briarferry"
	"briarferry/internal/protocol/bfapi"
	"briarferry/internal/transport/bftls"
)

// TestSecuredSystem guards against a system that doesn't form a group, distribute a
// configuration or serve requests when it uses the TLS certificates, the gossip key and
// the token that the certificates command generates. It also guards against cleartext
// requests and wrong tokens that are accepted, and against a token in the logs.
func TestSecuredSystem(t *testing.T) {
	dir := t.TempDir()
	secrets := filepath.Join(dir, "secrets")
	file := func(name string) string { return filepath.Join(secrets, name) }
	var vms []string
	for i := range vmCount {
		vms = append(vms, fmt.Sprintf("vm%d=127.0.0.1", i+1))
	}
	out, err := exec.Command(binaryPath(t), "certificates", "--folder", secrets, "--system", "north", "--vms", strings.Join(vms, ",")).CombinedOutput()
	if err != nil {
		t.Fatalf("certificates: %v: %s", err, out)
	}
	trust, findings := bftls.Load(bftls.Files{CA: bftls.File{Path: file(bftls.FileCA)}})
	if len(findings) > 0 {
		t.Fatal(findings)
	}
	client := trust.HTTPClient(&http.Transport{})
	client.Timeout = 30 * time.Second
	token, err := os.ReadFile(file(bftls.FileToken))
	if err != nil {
		t.Fatal(err)
	}
	c := startClusterWith(t, clusterOptions{
		serveArgs: func(name string) []string {
			return []string{
				"--system", "north", "--gossip-key-file", file(bftls.FileGossipKey), "--token-file", file(bftls.FileToken),
				"--tls-cert", file(name + ".pem"), "--tls-key", file(name + ".key"), "--tls-ca", file(bftls.FileCA),
				"--http-tls-cert", file(name + ".pem"), "--http-tls-key", file(name + ".key"),
			}
		},
		standinArgs: []string{"--ca", file(bftls.FileCA)},
		client:      client, scheme: "https", token: strings.TrimSpace(string(token)),
	})
	for i, v := range c.vms {
		status, _, body := c.call(t.Context(), v, http.MethodGet, bfapi.PathRequests+"catalogue/items", "", "", 3*time.Second)
		if status != http.StatusOK {
			t.Errorf("%s: read: status %d: %s", v.name, status, body)
		}
		status, outcome, body := c.call(t.Context(), v, http.MethodPost, bfapi.PathRequests+"order-desk/orders", fmt.Sprint("order-", i), "{}", 3*time.Second)
		if status != http.StatusOK {
			t.Errorf("%s: order: status %d, outcome %q: %s", v.name, status, outcome, body)
		}
	}
	var s bfapi.Status
	if c.get(c.vms[0].http, bfapi.PathStatus, &s) != http.StatusOK || len(s.VMs) != vmCount {
		t.Errorf("status lists %d VMs, degraded: %v", len(s.VMs), s.Degraded)
	}
	c.checkAccessControl(t)
	run := exec.Command(binaryPath(t), "drain", "--entries", c.vms[1].http.String(), "--ca", file(bftls.FileCA),
		"--token-file", file(bftls.FileToken), "--kind", string(briarferry.DrainVM), "--target", "vm7")
	if out, err := run.CombinedOutput(); err != nil {
		t.Errorf("drain: %v: %s", err, out)
	}
	c.checkTokenNotLogged(t)
}

// checkAccessControl checks that cleartext requests and changes with a wrong token are
// rejected.
func (c *cluster) checkAccessControl(t *testing.T) {
	t.Helper()
	resp, err := http.Get("http://" + c.vms[0].http.String() + bfapi.PathStatus)
	if err == nil {
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			t.Error("an entry with a certificate answers a cleartext request")
		}
	}
	cfg, etag, err := c.config(c.vms[0])
	if err != nil {
		t.Fatal(err)
	}
	token := c.options.token
	c.options.token = "wrong"
	if status := c.put(t.Context(), c.vms[0], cfg, etag, "stranger"); status != http.StatusUnauthorized {
		t.Errorf("change with a wrong token: status %d", status)
	}
	c.options.token = token
}

// checkTokenNotLogged checks that the token is in no VM's log.
func (c *cluster) checkTokenNotLogged(t *testing.T) {
	t.Helper()
	for _, v := range c.vms {
		path := v.log.Name()
		data, err := os.ReadFile(path)
		if err != nil || len(data) == 0 {
			t.Errorf("log %s is empty or can't be read: %v", path, err)
		}
		if strings.Contains(string(data), c.options.token) {
			t.Errorf("%s contains the token", path)
		}
	}
}
