package bfload

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"briarferry"
	"briarferry/internal/protocol/bfapi"
)

const (
	statusOK      = "ok"
	statusNotRun  = "not_run"
	statusUnknown = "unknown"
	// statusCut is a connection that ended without an answer, or a wrong answer.
	statusCut = "cut"
)

type (
	result struct {
		status  string
		reason  string
		latency time.Duration
		inTime  bool
		key     string
		sent    time.Time
		ended   time.Time
	}

	// answerBody is the part of a stand-in's answer that shows whose it is.
	answerBody struct {
		RequestID  string `json:"request_id"`
		Key        string `json:"key"`
		BodyDigest string `json:"body_digest"`
	}
)

// send makes one request as a caller would: it looks up an entry, goes to the next
// where one can't be reached, and sends a keyed request again after an unknown outcome.
func (g *Generator) send(ctx context.Context, f Flow, scheduled time.Time, rng *rand.Rand) result {
	key := ""
	if f.Keyed {
		key = fmt.Sprintf("key-%016x", rng.Uint64())
	}
	body := fmt.Sprintf(`{"item":%d}`, rng.IntN(1000))
	deadline := scheduled.Add(f.Timeout.Std())
	var res result
	for try := 0; ; try++ {
		res = g.sendOnce(ctx, f, key, body, deadline, rng)
		if res.status != statusUnknown || try >= f.MaxResends || time.Now().After(deadline) {
			break
		}
	}
	res.key, res.sent, res.ended = key, scheduled, time.Now()
	res.latency = res.ended.Sub(scheduled)
	res.inTime = res.status == statusOK && res.latency <= f.Timeout.Std()
	return res
}

func (g *Generator) sendOnce(ctx context.Context, f Flow, key, body string, deadline time.Time, rng *rand.Rand) result {
	entries, err := g.lookups.get(ctx, f.Service)
	if err != nil || len(entries) == 0 {
		return result{status: statusNotRun, reason: "no entry to use"}
	}
	for i := range entries {
		entry := entries[i].Address
		if i == 0 {
			entry = pick(entries, rng)
		}
		req, err := g.newRequest(ctx, f, entry, key, body, deadline)
		if err != nil {
			return result{status: statusNotRun, reason: err.Error()}
		}
		res, reached := g.do(req, body, deadline)
		if !reached || res.status == statusCut {
			// The entry may be gone or frozen; a new look-up leaves it out.
			g.lookups.forget(f.Service)
		}
		if reached {
			return res
		}
	}
	return result{status: statusNotRun, reason: "no entry could be reached"}
}

func pick(entries []bfapi.LookupEntry, rng *rand.Rand) netip.AddrPort {
	total := 0
	for _, e := range entries {
		total += max(e.Weight, 1)
	}
	n := rng.IntN(total)
	for _, e := range entries {
		n -= max(e.Weight, 1)
		if n < 0 {
			return e.Address
		}
	}
	return entries[0].Address
}

func (g *Generator) newRequest(ctx context.Context, f Flow, entry netip.AddrPort, key, body string, deadline time.Time) (*http.Request, error) {
	method, payload := http.MethodGet, ""
	if f.Keyed {
		method, payload = http.MethodPost, body
	}
	url := g.client.URL(entry, bfapi.PathRequests) + f.Service + "/items?q=" + hexDigest(body)
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(payload))
	if err != nil {
		return nil, err
	}
	req.Header.Set(bfapi.HeaderRequestID, bfapi.NewRequestID())
	req.Header.Set(bfapi.HeaderRequestTimeout, bfapi.FormatTimeout(time.Until(deadline)))
	if key != "" {
		req.Header.Set(bfapi.HeaderIdempotencyKey, key)
	}
	if f.Urgency >= 0 {
		req.Header.Set(bfapi.HeaderPriority, fmt.Sprintf("u=%d", f.Urgency))
	}
	return req, nil
}

// do returns the result, and false where the entry refused the connection.
func (g *Generator) do(req *http.Request, body string, deadline time.Time) (result, bool) {
	// An entry answers late requests itself; the margin leaves it time to do so.
	ctx, cancel := context.WithDeadline(req.Context(), deadline.Add(time.Second))
	defer cancel()
	resp, err := g.client.Do(req.WithContext(ctx))
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return result{}, false
		}
		return result{status: statusCut, reason: cutReason(err)}, true
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return result{status: statusCut, reason: "answer was truncated"}, true
	}
	return classify(req, resp, data, body), true
}

func cutReason(err error) string {
	if errors.Is(err, context.DeadlineExceeded) {
		return "no answer by the deadline"
	}
	return "connection ended without an answer"
}

func classify(req *http.Request, resp *http.Response, data []byte, body string) result {
	if resp.StatusCode == http.StatusOK {
		if !isOwnAnswer(req, resp, data, body) {
			return result{status: statusCut, reason: "answer of another request"}
		}
		return result{status: statusOK}
	}
	var p bfapi.Problem
	if err := json.Unmarshal(data, &p); err != nil || p.Outcome == "" {
		return result{status: statusUnknown, reason: fmt.Sprintf("status %d", resp.StatusCode)}
	}
	status := statusUnknown
	if p.Outcome == briarferry.OutcomeNotRun {
		status = statusNotRun
	}
	return result{status: status, reason: p.Detail}
}

// isOwnAnswer checks the answer against the request. A recorded answer of a keyed
// request carries the id of the attempt that ran, so there the key must match.
func isOwnAnswer(req *http.Request, resp *http.Response, data []byte, body string) bool {
	var a answerBody
	if err := json.Unmarshal(data, &a); err != nil {
		return false
	}
	if resp.Header.Get(bfapi.HeaderRequestID) != req.Header.Get(bfapi.HeaderRequestID) {
		return false
	}
	if key := req.Header.Get(bfapi.HeaderIdempotencyKey); key != "" {
		return a.Key == key && a.BodyDigest == hexDigest(body)
	}
	return a.RequestID == req.Header.Get(bfapi.HeaderRequestID)
}

func hexDigest(body string) string {
	sum := sha256.Sum256(bytes.TrimSpace([]byte(body)))
	return hex.EncodeToString(sum[:8])
}
