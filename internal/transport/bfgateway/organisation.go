package bfgateway

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"briarferry"
	"briarferry/internal/coordination/bfroute"
)

// noRegionRetryAfter is the Retry-After of requests that no region may handle. Only another
// route table changes that.
const noRegionRetryAfter = 2 * time.Second

// maxWordKey is the key length in bytes above which the limits of words don't matter. The search
// for words takes a time of the product of both lengths.
const maxWordKey = 256

// presentedKeys are the values of a request's key header. They must not reach a server, a
// log line or a trace, whether they are valid or not.
type presentedKeys []string

func (n *Node) presentedKeys(h http.Header) presentedKeys {
	if n.Dialect.KeyHeader == "" {
		return nil
	}
	return h.Values(n.Dialect.KeyHeader)
}

// only returns the key if the request has exactly one, or else "".
func (p presentedKeys) only() string {
	if len(p) != 1 {
		return ""
	}
	return p[0]
}

// in reports whether the text has one of the keys as a word of its own, or one above
// maxWordKey anywhere.
func (p presentedKeys) in(text string) bool {
	for _, key := range p {
		switch {
		case key == "":
		case len(key) > maxWordKey && strings.Contains(text, key), len(key) <= maxWordKey && containsWord(text, key):
			return true
		}
	}
	return false
}

// hide returns the text, or a placeholder if it has one of the keys.
func (p presentedKeys) hide(text string) string {
	if p.in(text) {
		return "(has the key)"
	}
	return text
}

// containsWord reports whether the text has the word between other characters than letters
// and digits. Short keys would otherwise be found in unrelated text.
func containsWord(text, word string) bool {
	for from := 0; ; {
		i := strings.Index(text[from:], word)
		if i < 0 {
			return false
		}
		start, end := from+i, from+i+len(word)
		before, _ := utf8.DecodeLastRuneInString(text[:start])
		after, _ := utf8.DecodeRuneInString(text[end:])
		if !isWordRune(before) && !isWordRune(after) {
			return true
		}
		from = start + 1
	}
}

func isWordRune(r rune) bool {
	return r != utf8.RuneError && (unicode.IsLetter(r) || unicode.IsDigit(r))
}

// traceContext returns the context of the trace that the caller's headers name, unless they
// have the caller's key.
func (n *Node) traceContext(r *http.Request) context.Context {
	propagator, keys := otel.GetTextMapPropagator(), n.presentedKeys(r.Header)
	hasKey := func(field string) bool { return slices.ContainsFunc(r.Header.Values(field), keys.in) }
	if len(keys) > 0 && slices.ContainsFunc(propagator.Fields(), hasKey) {
		return r.Context()
	}
	return propagator.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
}

// requestID returns the request's ID as the caller sent it. An ID that has the caller's key
// counts as none.
func (n *Node) requestID(r *http.Request) string {
	id := r.Header.Get(n.Dialect.RequestIDHeader)
	if n.presentedKeys(r.Header).in(id) {
		return ""
	}
	return id
}

// identify finds the organisation of the request by its key. It refuses the request if its
// route needs a key, and if no region is a home of both the route and the organisation.
func (n *Node) identify(c *call, table *bfroute.Table, r *http.Request) *briarferry.Refusal {
	c.organisation = table.Organisation(n.presentedKeys(r.Header).only())
	if c.organisation == nil {
		if table.NeedsKey(c.route) {
			counters.keyRefusals.Add(1)
			return &briarferry.Refusal{Status: http.StatusUnauthorized, Outcome: briarferry.OutcomeNotRun, Reason: "the request has no valid key of an organisation"}
		}
		return nil
	}
	c.request.Organisation = c.organisation.Name
	if !c.organisation.SharesRegion(c.route.Route) {
		return &briarferry.Refusal{
			Status: http.StatusServiceUnavailable, Outcome: briarferry.OutcomeNotRun, Reason: "no region is a home of both the route and the organisation", RetryAfter: noRegionRetryAfter,
		}
	}
	return nil
}

// setOrganisation removes the caller's keys and what it says about its organisation from the
// headers for the server, and adds the name of its organisation. Many servers take dashes and
// underscores of header names for the same.
func (n *Node) setOrganisation(h http.Header, keys presentedKeys, organisation string) {
	d := n.Dialect
	for name, values := range h {
		if isSameHeader(name, d.KeyHeader) || isSameHeader(name, d.OrganisationHeader) || len(keys) > 0 && (keys.in(name) || slices.ContainsFunc(values, keys.in)) {
			delete(h, name)
		}
	}
	if organisation != "" && d.OrganisationHeader != "" {
		h.Set(d.OrganisationHeader, organisation)
	}
}

func isSameHeader(a, b string) bool {
	return b != "" && len(a) == len(b) && strings.EqualFold(strings.ReplaceAll(a, "_", "-"), strings.ReplaceAll(b, "_", "-"))
}
