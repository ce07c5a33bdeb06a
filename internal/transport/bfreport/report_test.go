package bfreport

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"briarferry/internal/transport/bfexplain"
)

func request(ms int, fields string) string {
	return fmt.Sprintf(`{"vm":"e1","route":"read","took_ms":%d,"time":%d,"message":"request",%s}`+"\n", ms%1000, 1700000000000+ms, fields)
}

func lines(t *testing.T, text string) []bfexplain.Line {
	t.Helper()
	list, err := bfexplain.ReadLines(strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	return list
}

// TestSeries guards against sampled requests that are counted once instead of with their
// weight, and against lines that are counted in a wrong second.
func TestSeries(t *testing.T) {
	text := request(0, `"outcome":"answered","status":200,"stands_for":100`) +
		request(900, `"outcome":"answered","status":200,"late":true`) +
		request(1500, `"outcome":"refused","status":503,"reason":"no room"`) +
		`{"vm":"c1","time":1700000001100,"message":"replica became leader"}` + "\n"
	s := NewSeries(lines(t, text))
	for name, want := range map[string][]float64{"answered": {100, 0}, "answered late": {1, 0}, "no room": {0, 1}} {
		if got := fmt.Sprint(s.Outcomes[name]); got != fmt.Sprint(want) {
			t.Errorf("%s: %s, want %v", name, got, want)
		}
	}
	// 100 of the 101 requests in the first second took 0 ms, which makes the 99th percentile 0.
	if got := fmt.Sprint(s.Latency["read"]); got != "[0 500]" {
		t.Errorf("latency %s, want [0 500]", got)
	}
	if got := fmt.Sprint(s.Events); got != "map[replica became leader:[0 1]]" {
		t.Errorf("events %s, want one event at index 1", got)
	}
}

// TestManyCurves guards against a panel with more than maxCurves curves, which can't be told
// apart, and against counts that are lost when curves are merged.
func TestManyCurves(t *testing.T) {
	var text strings.Builder
	for i := range 20 {
		text.WriteString(request(i, fmt.Sprintf(`"outcome":"refused","status":503,"reason":"reason %d"`, i)))
	}
	s := NewSeries(lines(t, text.String()))
	sum := 0.0
	for _, curve := range s.Outcomes {
		sum += total(curve)
	}
	if len(s.Outcomes) != maxCurves || sum != 20 {
		t.Errorf("%d curves with %v requests, want 6 curves with 20 requests", len(s.Outcomes), sum)
	}
}

// TestMainWritesSVG guards against wrong exit codes and an SVG file that lacks a panel.
func TestMainWritesSVG(t *testing.T) {
	dir := t.TempDir()
	in, out := filepath.Join(dir, "log"), filepath.Join(dir, "out.svg")
	if err := os.WriteFile(in, []byte(request(5, `"outcome":"answered","status":200`)), 0o600); err != nil {
		t.Fatal(err)
	}
	var messages strings.Builder
	if code := Main([]string{"report", "-out", out, in}, strings.NewReader(""), &messages); code != exitOK {
		t.Fatalf("exit code %d: %s", code, &messages)
	}
	data, err := os.ReadFile(out)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"<svg", "Latency by route", "Requests by outcome", "Events by log message"} {
		if !strings.Contains(string(data), want) {
			t.Errorf("the SVG file lacks %q", want)
		}
	}
	if code := Main([]string{"report", "-out", out, filepath.Join(dir, "none")}, strings.NewReader(""), &messages); code != exitUsage {
		t.Errorf("missing file: exit code %d", code)
	}
	if code := Main([]string{"report", "-out", out}, strings.NewReader(""), &messages); code != exitUsage {
		t.Errorf("no lines: exit code %d", code)
	}
	if code := Main([]string{"report", "-out", filepath.Join(dir, "none", "x.svg"), in}, strings.NewReader(""), &messages); code != exitFailed {
		t.Errorf("SVG file not writable: exit code %d", code)
	}
}
