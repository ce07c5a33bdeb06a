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

// TestReadStatus guards against answers that are counted although they are not whole,
// and against a body that is taken for the next answer.
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

// TestDirectCountsEveryRequest guards against requests that are lost from the counts,
// and failures that count as answers.
func TestDirectCountsEveryRequest(t *testing.T) {
	n := 0
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n++; n%2 == 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer srv.Close()
	target := netip.MustParseAddrPort(srv.Listener.Addr().String())
	d := &direct{targets: []netip.AddrPort{target}, path: "/", rate: 500, lasts: 200 * time.Millisecond, conns: 1, seed: 1}
	o, err := d.run(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if o.sent == 0 || o.ok+o.failed != o.sent || o.ok < o.failed || o.ok > o.failed+1 || o.hist.TotalCount() != o.ok {
		t.Errorf("%d sent, %d answered, %d failed, %d latencies", o.sent, o.ok, o.failed, o.hist.TotalCount())
	}
}
