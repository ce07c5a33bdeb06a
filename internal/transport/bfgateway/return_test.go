package bfgateway

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// TestReturningCallersAreLogged guards against refusals whose log lines don't tell a caller
// that was refused before from a new one, against a Retry-After beyond a third of the caller's
// time, and against missing counts.
func TestReturningCallersAreLogged(t *testing.T) {
	e := newTestEntry(t, answer(200, "X-Signature"), answer(503, "X-Not-Run"))
	var log bytes.Buffer
	e.node.Log = zerolog.New(zerolog.SyncWriter(&log))
	cases := []struct {
		left      int
		status    int
		returning bool
	}{{300, 200, false}, {300, 503, false}, {220, 503, true}, {300, 503, false}}
	for _, c := range cases {
		log.Reset()
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, e.server.URL+"/read/1", nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Host = "shop.example"
		req.Header.Set("X-Left", strconv.Itoa(c.left))
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		after, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		longest := (time.Duration(c.left) * time.Millisecond / retryAfterDivisor).Seconds()
		if resp.StatusCode != c.status || c.status == 503 && (after <= 0 || after > longest+0.005) {
			t.Errorf("%d ms left: status %d, Retry-After %v", c.left, resp.StatusCode, after)
		}
		if got := strings.Contains(log.String(), `"returning":true`); got != c.returning {
			t.Errorf("%d ms left: logged as returning %v: %s", c.left, got, log.String())
		}
	}
	if counts := e.node.steering.Returns()["s"]; counts.Refused != 3 || counts.RefusedAgain != 1 {
		t.Errorf("counts %+v, want 3 refusals, one of a returning caller", counts)
	}
}
