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
	// statusNoValidAnswer marks a request that got no complete answer, or the answer to
	// another request.
	statusNoValidAnswer = "cut"
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

	// answerBody has the fields of an emulated server's answer that identify the request.
	answerBody struct {
		RequestID  string `json:"request_id"`
		Key        string `json:"key"`
		BodyDigest string `json:"body_digest"`
	}
)

// send sends one request and resends it, with the same key, after an unknown outcome, at
// most MaxResends times and until the deadline.
func (g *Generator) send(ctx context.Context, f Flow, scheduled time.Time, rng *rand.Rand) result {
	key := ""
	if f.Keyed {
		key = fmt.Sprintf("key-%016x", rng.Uint64())
	}
	body := fmt.Sprintf(`{"item":%d}`, rng.IntN(1000))
	deadline := scheduled.Add(f.Timeout.Std())
	var res result
	for resends := 0; ; resends++ {
		res = g.sendOnce(ctx, f, key, body, deadline, rng)
		if res.status != statusUnknown || resends >= f.MaxResends || time.Now().After(deadline) {
			break
		}
	}
	res.key, res.sent, res.ended = key, scheduled, time.Now()
	res.latency = res.ended.Sub(scheduled)
	res.inTime = res.status == statusOK && res.latency <= f.Timeout.Std()
	return res
}

// sendOnce sends a request to an entry from the look-up, and to the next one if an entry
// can't be reached.
func (g *Generator) sendOnce(ctx context.Context, f Flow, key, body string, deadline time.Time, rng *rand.Rand) result {
	entries, err := g.lookups.get(ctx, f.Service)
	if err != nil || len(entries) == 0 {
		return result{status: statusNotRun, reason: "no entry to use"}
	}
	for _, entry := range entryOrder(entries, rng) {
		req, err := g.newRequest(ctx, f, entry, key, body, deadline)
		if err != nil {
			return result{status: statusNotRun, reason: err.Error()}
		}
		res, reached := g.doRequest(req, body, deadline)
		if !reached || res.status == statusNoValidAnswer {
			// The entry may be down or unresponsive. A new look-up no longer returns it.
			g.lookups.invalidate(f.Service)
		}
		if reached {
			return res
		}
	}
	return result{status: statusNotRun, reason: "no entry could be reached"}
}

// entryOrder returns the addresses in the order in which they are tried: a random one, in
// proportion to the weights, and then the others as they were named.
func entryOrder(entries []bfapi.LookupEntry, rng *rand.Rand) []netip.AddrPort {
	order := []netip.AddrPort{pickEntry(entries, rng)}
	for _, e := range entries {
		if e.Address != order[0] {
			order = append(order, e.Address)
		}
	}
	return order
}

// pickEntry returns a random entry, in proportion to the weights.
func pickEntry(entries []bfapi.LookupEntry, rng *rand.Rand) netip.AddrPort {
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

// doRequest returns the result of a request, and false if no connection to the entry could
// be opened.
func (g *Generator) doRequest(req *http.Request, body string, deadline time.Time) (result, bool) {
	// The entry answers requests that miss their deadline. The margin allows for that
	// answer to arrive.
	ctx, cancel := context.WithDeadline(req.Context(), deadline.Add(time.Second))
	defer cancel()
	resp, err := g.client.Do(req.WithContext(ctx))
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return result{}, false
		}
		return result{status: statusNoValidAnswer, reason: noAnswerReason(err)}, true
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return result{status: statusNoValidAnswer, reason: "answer was truncated"}, true
	}
	return classify(req, resp, data, body), true
}

func noAnswerReason(err error) string {
	if errors.Is(err, context.DeadlineExceeded) {
		return "no answer by the deadline"
	}
	return "connection ended without an answer"
}

func classify(req *http.Request, resp *http.Response, data []byte, body string) result {
	if resp.StatusCode == http.StatusOK {
		if !isOwnAnswer(req, resp, data, body) {
			return result{status: statusNoValidAnswer, reason: "answer of another request"}
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

// isOwnAnswer reports whether an answer belongs to the request. The recorded answer to a
// request with an idempotency key has the ID of the attempt that ran, so the key is
// compared instead of the ID.
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
