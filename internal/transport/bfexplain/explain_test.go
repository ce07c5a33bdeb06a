package bfexplain

import (
	"strings"
	"testing"
	"time"
)

const log = `  1.20 core-1 {"level":"info","vm":"core-1","time":1700000001200,"version":3,"message":"route table ordered"}
plain text
{"level":"info","vm":"entry-1","request_id":"q1","outcome":"refused","status":502,"took_ms":300,"tries":[{"instance":"i-1","outcome":"died","took_ms":299,"expected_ms":250,"load":3,"load_age_ms":40,"warm":true,"left_region":"planned"}],"time":1700000001500,"message":"request"}
{"level":"info","vm":"entry-1","request_id":"q2","outcome":"answered","status":200,"took_ms":10,"tries":[],"time":1700000001500,"message":"request"}
{"level":"warn","vm":"entry-1","instance":"i-1","cause":"connections die","time":1700000001490,"message":"backend server ejected"}
{"level":"warn","vm":"entry-2","cause":"later","time":1700000009000,"message":"control VM lost"}
{"broken":
`

// TestExplain guards against output that lacks the tries of a request or the events near it,
// that includes lines about other requests or events outside the margin, or that is not
// sorted by time.
func TestExplain(t *testing.T) {
	var out strings.Builder
	err := Explain(&out, Query{RequestID: "q1", Margin: time.Second}, strings.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	got := out.String()
	for _, want := range []string{"route table ordered version=3", "> 22:13:21.500 entry-1", "try 1 at i-1: died after 299 ms", "outside the region of its entry: planned", "cause=connections die"} {
		if !strings.Contains(got, want) {
			t.Errorf("output lacks %q:\n%s", want, got)
		}
	}
	if strings.Contains(got, "q2") || strings.Contains(got, "later") {
		t.Errorf("output has lines that the query does not select:\n%s", got)
	}
	if strings.Index(got, "connections die") > strings.Index(got, "request_id=q1") {
		t.Error("lines are not sorted by time")
	}
}

// TestExplainUnknownRequest guards against empty output without an error for a request that no
// log line mentions, and against a query by time range that fails without a request ID.
func TestExplainUnknownRequest(t *testing.T) {
	if err := Explain(&strings.Builder{}, Query{RequestID: "none"}, strings.NewReader(log)); err == nil {
		t.Error("no error for an unknown request")
	}
	var out strings.Builder
	span := Query{From: time.UnixMilli(1700000008000), To: time.UnixMilli(1700000010000)}
	if err := Explain(&out, span, strings.NewReader(log)); err != nil || !strings.Contains(out.String(), "control VM lost") {
		t.Errorf("error %v, output %q", err, out.String())
	}
}
