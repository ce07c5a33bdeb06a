package bfbench

import (
	"bufio"
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"
)

// TestReadStatus guards against counting incomplete answers, and against reading a body
// as the next answer.
func TestReadStatus(t *testing.T) {
	for _, tc := range []struct {
		name, answer string
		want         []int
	}{
		{"two answers", "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabcHTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", []int{200, 503, 0}},
		{"truncated body", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", []int{0}},
		{"truncated head", "HTTP/1.1 200 OK\r\nContent-Le", []int{0}},
		{"nothing", "", []int{0}},
	} {
		br := bufio.NewReader(strings.NewReader(tc.answer))
		for i, want := range tc.want {
			if got := readStatus(br); got != want {
				t.Errorf("%s: answer %d has status %d, want %d", tc.name, i, got, want)
			}
		}
	}
}

// TestLoadClientCountsEveryRequest guards against requests that are not counted, and
// against failures that count as answers.
func TestLoadClientCountsEveryRequest(t *testing.T) {
	n := 0
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n++; n%2 == 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer srv.Close()
	target := netip.MustParseAddrPort(srv.Listener.Addr().String())
	client := &loadClient{targets: []netip.AddrPort{target}, path: "/", rate: 500, duration: 200 * time.Millisecond, connsPerTarget: 1, seed: 1}
	result, err := client.run(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if result.sent == 0 || result.ok+result.failed != result.sent || result.ok < result.failed || result.ok > result.failed+1 || result.hist.TotalCount() != result.ok {
		t.Errorf("%d sent, %d answered, %d failed, %d latencies", result.sent, result.ok, result.failed, result.hist.TotalCount())
	}
}
