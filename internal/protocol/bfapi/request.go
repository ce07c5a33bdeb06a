package bfapi

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"briarferry"
)

var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// IsSafe reports whether the method is GET, HEAD or OPTIONS. These methods are safe (RFC
// 9110), so their requests may run more than once at every service.
func IsSafe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// NewRequestID returns a random request ID.
func NewRequestID() string {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// RequestService returns the name of the service in a request's path.
func RequestService(r *http.Request) string {
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), PathRequests), "/")
	return name
}

// ReadRequest reads a caller's request, including its body. Its errors are
// briarferry.Findings.
func ReadRequest(w http.ResponseWriter, r *http.Request, cfg *briarferry.Config, s briarferry.Service) (*briarferry.Request, error) {
	var f briarferry.Findings
	req := &briarferry.Request{
		ID:      requestID(r),
		Service: s.Name,
		Method:  r.Method,
		Target:  target(r),
		Header:  ForwardHeader(r.Header),
		Key:     r.Header.Get(HeaderIdempotencyKey),
		Caller:  CallerAddr(r),
	}
	req.Deadline = time.Now().Add(timeout(&f, r, cfg.Limits.MaxTimeout.Std()))
	req.Class = cfg.ClassFor(s, urgency(&f, r))
	checkKey(&f, req, s)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, cfg.Limits.MaxBodyBytes))
	if err != nil {
		f.Add("body", "%s", bodyMessage(err, cfg.Limits.MaxBodyBytes))
	}
	req.Body = body
	req.Fingerprint = Fingerprint(CallerIdentity{Address: req.Caller}, req.Body, req.Service, req.Method, req.Target)
	return req, f.Err()
}

func bodyMessage(err error, limit int64) string {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return fmt.Sprintf("must have at most %d bytes", limit)
	}
	return "could not be read"
}

func requestID(r *http.Request) string {
	if id := r.Header.Get(HeaderRequestID); id != "" && len(id) <= 128 {
		return id
	}
	return NewRequestID()
}

func target(r *http.Request) string {
	_, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), PathRequests), "/")
	if r.URL.RawQuery != "" {
		return "/" + rest + "?" + r.URL.RawQuery
	}
	return "/" + rest
}

func timeout(f *briarferry.Findings, r *http.Request, limit time.Duration) time.Duration {
	text := r.Header.Get(HeaderRequestTimeout)
	if text == "" {
		return min(DefaultTimeout, limit)
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(seconds) || seconds <= 0 {
		f.Add(HeaderRequestTimeout, "must be a number of seconds above 0: %q", text)
		return limit
	}
	if seconds > limit.Seconds() {
		return limit
	}
	return time.Duration(seconds * float64(time.Second))
}

// urgency returns the u parameter of the Priority header (RFC 9218), or -1 if there is
// none or it is invalid. An invalid one is added to the findings.
func urgency(f *briarferry.Findings, r *http.Request) int {
	for _, part := range strings.Split(r.Header.Get(HeaderPriority), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "u=")
		if !ok {
			continue
		}
		u, err := strconv.Atoi(value)
		if err != nil || u < 0 || u > 7 {
			f.Add(HeaderPriority, "must have an urgency between 0 and 7: %q", value)
			return -1
		}
		return u
	}
	return -1
}

func checkKey(f *briarferry.Findings, req *briarferry.Request, s briarferry.Service) {
	if s.Idempotent || IsSafe(req.Method) {
		req.Key = ""
		return
	}
	if req.Key == "" {
		f.Add(HeaderIdempotencyKey, "is required for service %s", s.Name)
	}
	if len(req.Key) > MaxKeyLength {
		f.Add(HeaderIdempotencyKey, "must have at most %d characters", MaxKeyLength)
	}
}

// ForwardHeader returns a copy of the headers without the hop-by-hop headers.
func ForwardHeader(h http.Header) http.Header {
	out := h.Clone()
	for _, name := range strings.Split(h.Get("Connection"), ",") {
		out.Del(strings.TrimSpace(name))
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// CallerAddr returns the IP address that a request was received from.
func CallerAddr(r *http.Request) netip.Addr {
	ap, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}
	}
	return ap.Addr().Unmap()
}

// FormatTimeout formats a remaining time for the Request-Timeout header.
func FormatTimeout(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}
