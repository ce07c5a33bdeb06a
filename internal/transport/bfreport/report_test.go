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

// TestSeries guards against sampled answers that count once, and lines in a wrong second.
func TestSeries(t *testing.T) {
	text := request(0, `"outcome":"answered","status":200,"stands_for":100`) +
		request(900, `"outcome":"answered","status":200,"late":true`) +
		request(1500, `"outcome":"refused","status":503,"reason":"no room"`) +
		`{"vm":"c1","time":1700000001100,"message":"replica leads"}` + "\n"
	s := NewSeries(lines(t, text))
	for name, want := range map[string][]float64{"answered": {100, 0}, "answered late": {1, 0}, "no room": {0, 1}} {
		if got := fmt.Sprint(s.Outcomes[name]); got != fmt.Sprint(want) {
			t.Errorf("%s: %s, want %v", name, got, want)
		}
	}
	// 100 of 101 requests of the first second took 0 ms.
	if got := fmt.Sprint(s.Latency["read"]); got != "[0 500]" {
		t.Errorf("latency %s", got)
	}
	if got := fmt.Sprint(s.Beliefs); got != "map[replica leads:[0 1]]" {
		t.Errorf("beliefs %s", got)
	}
}

// TestManyCurves guards against a panel with more curves than can be told apart, and
// against counts that get lost.
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
		t.Errorf("%d curves with %v requests", len(s.Outcomes), sum)
	}
}

// TestMainWritesPicture guards the exit codes, and a picture that lacks a panel.
func TestMainWritesPicture(t *testing.T) {
	dir := t.TempDir()
	in, out := filepath.Join(dir, "log"), filepath.Join(dir, "out.svg")
	if err := os.WriteFile(in, []byte(request(5, `"outcome":"answered","status":200`)), 0o600); err != nil {
		t.Fatal(err)
	}
	var messages strings.Builder
	if code := Main([]string{"report", "-out", out, in}, strings.NewReader(""), &messages); code != exitDone {
		t.Fatalf("exit code %d: %s", code, &messages)
	}
	data, err := os.ReadFile(out)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"<svg", "Latency by route", "Requests by outcome", "Changes of belief"} {
		if !strings.Contains(string(data), want) {
			t.Errorf("%q is missing in the picture", want)
		}
	}
	if code := Main([]string{"report", "-out", out, filepath.Join(dir, "none")}, strings.NewReader(""), &messages); code != exitUsage {
		t.Errorf("missing file: exit code %d", code)
	}
	if code := Main([]string{"report", "-out", out}, strings.NewReader(""), &messages); code != exitUsage {
		t.Errorf("no lines: exit code %d", code)
	}
	if code := Main([]string{"report", "-out", filepath.Join(dir, "none", "x.svg"), in}, strings.NewReader(""), &messages); code != exitFailed {
		t.Errorf("picture not written: exit code %d", code)
	}
}
