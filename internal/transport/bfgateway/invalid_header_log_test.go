package bfgateway

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"briarferry"
	"briarferry/internal/protocol/bfapi"
)

// TestInvalidLoadReports guards against using a load report that can't be parsed, against
// dropping it silently, and against one log line for each answer.
func TestInvalidLoadReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		n := &Node{Dialect: &bfapi.Dialect{LoadHeader: "X-Load", ParseLoad: func(text string) (briarferry.ServerLoad, bool) {
			return briarferry.ServerLoad{Slots: 1}, text == "good"
		}}}
		n.invalidLoads.log = zerolog.New(&log)
		before := counters.invalidLoads.Value()
		for range 100 {
			for _, text := range []string{strings.Repeat("bad", 100), "good", ""} {
				if _, ok := n.parseLoad(http.Header{"X-Load": {text}}); ok != (text == "good") {
					t.Errorf("report %q: accepted %v", text, ok)
				}
			}
			time.Sleep(time.Second)
		}
		if counted := counters.invalidLoads.Value() - before; counted != 100 {
			t.Errorf("%d invalid reports counted, want 100", counted)
		}
		if lines := strings.Count(log.String(), "\n"); lines != 10 || log.Len() > 10*250 {
			t.Errorf("%d lines with %d bytes logged in 100 s, want 10 short ones", lines, log.Len())
		}
	})
}
