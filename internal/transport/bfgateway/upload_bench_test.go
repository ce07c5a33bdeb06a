package bfgateway

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/time/rate"
)

// limitedListener returns connections whose reads share the bandwidth of a link.
type limitedListener struct {
	net.Listener
	link *rate.Limiter
}

func (l limitedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return limitedConn{c, l.link}, nil
}

// serveLimited serves on connections whose reads share the bandwidth of a link.
func serveLimited(h http.Handler, link *rate.Limiter) *httptest.Server {
	s := httptest.NewUnstartedServer(h)
	s.Listener = limitedListener{s.Listener, link}
	s.Start()
	return s
}

// BenchmarkUploads measures 30 uploads of 60 KB at once through an entry with a link of
// 12 Mbit/s in each direction, with the bodies held until they are complete and passed on while
// they arrive: the time to the answer and the memory that the entry reserves for bodies.
func BenchmarkUploads(b *testing.B) {
	const (
		uploads       = 30
		uploadBytes   = 60 << 10
		linkBandwidth = 12e6 / 8
		burst         = 4 << 10
	)
	body := strings.Repeat("u", uploadBytes)
	for _, mode := range []struct {
		name   string
		stream bool
	}{{"held", false}, {"passed_on", true}} {
		b.Run(mode.name, func(b *testing.B) {
			in, out := rate.NewLimiter(linkBandwidth, burst), rate.NewLimiter(linkBandwidth, burst)
			server := serveLimited(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if n, err := io.Copy(io.Discard, r.Body); err != nil || n != uploadBytes {
					panic(http.ErrAbortHandler)
				}
				answer(200, "X-Signature")(w, r)
			}), out)
			defer server.Close()
			e := newTestEntry(b, answer(200, "X-Signature"))
			next, table := *e.state, *e.state.Routes
			table.Version, table.Routes, table.Limits.MaxBodyBytes = 2, slices.Clone(table.Routes), 400<<10
			table.Routes[1].LargeBodies = mode.stream
			table.Routes[1].Timeout, table.Routes[1].Target = table.Routes[1].Timeout*100, table.Routes[1].Target*100
			next.Revision, next.Routes, next.Servers = 2, &table, next.Servers[:1]
			next.Servers[0].Address, next.Servers[0].Slots = netip.MustParseAddrPort(server.Listener.Addr().String()), 100
			e.node.update(&next)
			entry := serveLimited(e.node, in)
			defer entry.Close()
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			var mu sync.Mutex
			var total, longest time.Duration
			var peak int64
			var complete atomic.Int64
			for b.Loop() {
				stop := make(chan struct{})
				go func() {
					for {
						select {
						case <-stop:
							return
						case <-time.After(time.Millisecond):
						}
						held := e.node.bodyMemory.used.Load()
						mu.Lock()
						peak = max(peak, held)
						mu.Unlock()
					}
				}()
				var group sync.WaitGroup
				started := time.Now()
				for i := range uploads {
					group.Go(func() {
						req, _ := http.NewRequest(http.MethodPost, entry.URL+"/order/"+strconv.Itoa(i), strings.NewReader(body))
						req.Host = "shop.example"
						req.Header.Set("X-Id", strconv.Itoa(i))
						resp, err := client.Do(req)
						if err != nil {
							return
						}
						defer resp.Body.Close()
						_, _ = io.Copy(io.Discard, resp.Body)
						if resp.StatusCode == http.StatusOK {
							complete.Add(1)
						}
						mu.Lock()
						defer mu.Unlock()
						took := time.Since(started)
						total, longest = total+took, max(longest, took)
					})
				}
				group.Wait()
				close(stop)
			}
			n := float64(b.N * uploads)
			b.ReportMetric(float64(total.Milliseconds())/n, "ms/answer")
			b.ReportMetric(float64(longest.Milliseconds()), "ms/longest")
			b.ReportMetric(float64(peak)/1e6, "MB_held")
			b.ReportMetric(float64(complete.Load())/n, "complete")
		})
	}
}
