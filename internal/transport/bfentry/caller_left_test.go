package bfentry

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"briarferry"
	"briarferry/internal/transport/bfcaller"
	"briarferry/internal/transport/bfupstream"
)

// TestCallerLeaves guards against a server that keeps running a request whose caller had sent
// bytes of its next request before it left, and against a success that no server gave for a
// caller that has closed its sending side.
func TestCallerLeaves(t *testing.T) {
	cases := []struct {
		name, ahead string
		leave       func(c *net.TCPConn) error
	}{
		{"closed", "", (*net.TCPConn).Close},
		{"closed after a byte of the next request", "G", (*net.TCPConn).Close},
		{"sending side closed", "", (*net.TCPConn).CloseWrite},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			started, ended := make(chan struct{}), make(chan struct{})
			backend := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				close(started)
				<-r.Context().Done()
				close(ended)
			}))
			defer backend.Close()
			servers := newTestServers(1, 1, 1)
			servers.servers[0].backend.Address = netip.MustParseAddrPort(strings.TrimPrefix(backend.URL, "http://"))
			p := newTestPipeline(servers)
			p.Upstream = bfupstream.New()
			cfg := &briarferry.Config{Limits: briarferry.DefaultLimits(), Services: []briarferry.Service{{Name: testService, Slots: 1, ExpectedLatency: briarferry.Duration(10 * time.Second)}}}
			e := &Entry{Config: FixedConfig{Config: cfg}, Members: fixedMembers{}, Announcements: syncedTable{}, Pipeline: p}
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			srv := &http.Server{Handler: e.Handler(), ConnContext: bfcaller.WithConn}
			go func() { _ = srv.Serve(bfcaller.Listener{Listener: ln}) }()
			defer func() { _ = srv.Close() }()
			c, err := net.DialTCP("tcp", nil, ln.Addr().(*net.TCPAddr))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			if _, err := io.WriteString(c, "GET /s/"+testService+"/x HTTP/1.1\r\nHost: a\r\nRequest-Timeout: 30\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			<-started
			if _, err := io.WriteString(c, tc.ahead); err != nil {
				t.Fatal(err)
			}
			time.Sleep(20 * time.Millisecond)
			_ = tc.leave(c)
			select {
			case <-ended:
			case <-time.After(5 * time.Second):
				t.Fatal("the server still runs the request after 5 s")
			}
			if data, _ := io.ReadAll(c); strings.HasPrefix(string(data), "HTTP/1.1 200") {
				t.Errorf("the caller got %q", data)
			}
		})
	}
}
