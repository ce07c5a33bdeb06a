package bfgateway

import (
	"context"
	"expvar"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"briarferry/internal/coordination/bfsteering"
)

const downloadBytes = 90 << 10

// download answers with downloadBytes bytes, of which it sends the given number.
func download(sent int) behaviour {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set("X-Signature", "1")
		w.Header().Set("Content-Length", strconv.Itoa(downloadBytes))
		_, _ = io.WriteString(w, strings.Repeat("d", sent))
		if sent < downloadBytes {
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
}

// TestDownload guards against a download that ends early and looks complete, against one
// whose end is not recorded for its server, and against streaming the answers of servers that
// failed recently.
func TestDownload(t *testing.T) {
	const part = downloadBytes / 2
	const servers = 2
	e := newTestEntry(t, download(downloadBytes), download(part), download(part), download(part), download(downloadBytes))
	next := *e.state
	next.Revision, next.Servers = 2, next.Servers[:servers]
	e.node.update(&next)
	got, err := e.send(t.Context(), "/chart/1", "")
	if err != nil || got.status != 200 || len(got.body) != downloadBytes || got.header.Get("X-Signature") != "1" {
		t.Fatalf("status %d, %d bytes, %v", got.status, len(got.body), err)
	}
	// The caller has the whole body before the entry logs the request.
	waitFor(t, func() bool {
		e.node.logSampler.mu.Lock()
		defer e.node.logSampler.mu.Unlock()
		return e.node.logSampler.lines > 0
	})
	e.node.logSampler.mu.Lock()
	if lines := e.node.logSampler.lines; lines != 1 {
		t.Errorf("%d log lines for an ordinary download that comes first, want 1", lines)
	}
	if e.node.logSampler.ordinary != 1 {
		t.Error("a complete download is logged like a failed request")
	}
	e.node.logSampler.mu.Unlock()
	aborted := counters.streamsAborted.Value()
	invalid := tryCount(bfsteering.InvalidAnswer)
	// Each server is reliable until its first incomplete answer.
	for i := range int64(servers) {
		if got, err := e.send(t.Context(), "/chart/1", ""); err == nil {
			t.Errorf("an incomplete download came as a whole answer: status %d, %d bytes", got.status, len(got.body))
		}
		for end := time.Now().Add(2 * time.Second); tryCount(bfsteering.InvalidAnswer)-invalid < i+1; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%d incomplete downloads were recorded for their servers, want %d", tryCount(bfsteering.InvalidAnswer)-invalid, i+1)
			}
		}
	}
	if n := counters.streamsAborted.Value() - aborted; n != servers {
		t.Errorf("%d streams were aborted, want %d", n, servers)
	}
	got, err = e.send(t.Context(), "/chart/1", "")
	if err != nil || got.status != 200 || len(got.body) != downloadBytes {
		t.Errorf("an incomplete download of a server that failed recently was not repeated: status %d, %d bytes, %v", got.status, len(got.body), err)
	}
	held := func() int64 { bytes, _ := e.node.upstream.HeldAnswers(); return bytes }
	for end := time.Now().Add(2 * time.Second); held() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes of answers are still held", held())
		}
	}
}

func tryCount(o bfsteering.Outcome) int64 {
	n, ok := counters.tries.Get(string(o)).(*expvar.Int)
	if !ok {
		return 0
	}
	return n.Value()
}

// limitedConn is a connection whose reads share the bandwidth of a link.
type limitedConn struct {
	net.Conn
	link *rate.Limiter
}

func (c limitedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b[:min(len(b), c.link.Burst())])
	if n > 0 {
		_ = c.link.WaitN(context.Background(), n)
	}
	return n, err
}

// BenchmarkDownloads measures 30 downloads at once through an entry with a link of 12 Mbit/s
// in each direction, with the answers held until they are complete and streamed: the time to the last byte and the memory that the entry holds for answers.
func BenchmarkDownloads(b *testing.B) {
	const (
		downloads     = 30
		linkBandwidth = 12e6 / 8
		burst         = 4 << 10
	)
	for name, stream := range map[string]bool{"held": false, "streamed": true} {
		b.Run(name, func(b *testing.B) {
			server := httptest.NewServer(http.HandlerFunc(download(downloadBytes)))
			defer server.Close()
			e := newTestEntry(b, answer(200, "X-Signature"))
			table := *e.state.Routes
			table.Version, table.Routes[2].LargeAnswers = 2, stream
			table.Routes[2].Timeout, table.Routes[2].Target = table.Routes[2].Timeout*100, table.Routes[2].Target*100
			next := *e.state
			next.Revision, next.Routes, next.Servers = 2, &table, next.Servers[:1]
			next.Servers[0].Address, next.Servers[0].Slots = netip.MustParseAddrPort(server.Listener.Addr().String()), 100
			e.node.update(&next)
			in, out := rate.NewLimiter(linkBandwidth, burst), rate.NewLimiter(linkBandwidth, burst)
			e.node.upstream.Dial = func(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
				c, err := (&net.Dialer{}).DialContext(ctx, "tcp", a.String())
				return limitedConn{c, in}, err
			}
			client := &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, a string) (net.Conn, error) {
				c, err := (&net.Dialer{}).DialContext(ctx, network, a)
				return limitedConn{c, out}, err
			}}}
			defer client.CloseIdleConnections()
			var total, longest time.Duration
			var peak, complete atomic.Int64
			var mu sync.Mutex
			for b.Loop() {
				var group sync.WaitGroup
				started := time.Now()
				for i := range downloads {
					group.Go(func() {
						req, _ := http.NewRequest(http.MethodGet, e.server.URL+"/chart/"+strconv.Itoa(i), nil)
						req.Host = "shop.example"
						req.Header.Set("X-Id", strconv.Itoa(i))
						resp, err := client.Do(req)
						if err != nil {
							return
						}
						defer resp.Body.Close()
						if n, err := io.Copy(io.Discard, resp.Body); err == nil && n == downloadBytes {
							complete.Add(1)
						}
						bytes, _ := e.node.upstream.HeldAnswers()
						mu.Lock()
						defer mu.Unlock()
						took := time.Since(started)
						total, longest = total+took, max(longest, took)
						peak.Store(max(peak.Load(), bytes))
					})
				}
				group.Wait()
			}
			n := float64(b.N * downloads)
			b.ReportMetric(float64(total.Milliseconds())/n, "ms/last_byte")
			b.ReportMetric(float64(longest.Milliseconds()), "ms/longest")
			b.ReportMetric(float64(peak.Load())/1e6, "MB_held")
			b.ReportMetric(float64(complete.Load())/n, "complete")
		})
	}
}
