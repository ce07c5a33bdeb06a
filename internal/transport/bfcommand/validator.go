package bfcommand

import (
	"errors"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"briarferry"
	"briarferry/internal/protocol/bfapi"
)

// values reads text settings and collects a finding for each bad one.
type values struct {
	findings briarferry.Findings
}

func (v *values) name(flag, text string) string {
	if !briarferry.ValidName(text) {
		v.findings.Add("--"+flag, "must be a name of letters, digits, dots, dashes or underscores: %q", text)
	}
	return text
}

func (v *values) address(flag, text string) netip.AddrPort {
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		v.findings.Add("--"+flag, "must be an IP address with a port: %q", text)
	}
	return a
}

func (v *values) addresses(flag, text string) []netip.AddrPort {
	var out []netip.AddrPort
	for _, part := range splitList(text) {
		out = append(out, v.address(flag, part))
	}
	return out
}

func (v *values) time(flag, text string) time.Time {
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		v.findings.Add("--"+flag, "must be a time such as 2026-12-04T09:30:00Z where --request is not given: %q", text)
	}
	return t
}

func (v *values) port(flag, text string) uint16 {
	n, err := strconv.ParseUint(text, 10, 16)
	if err != nil {
		v.findings.Add("--"+flag, "must be a port: %q", text)
	}
	return uint16(n)
}

// namedAddresses reads a list of NAME=ADDRESS.
func (v *values) namedAddresses(flag, text string) map[string]netip.AddrPort {
	out := map[string]netip.AddrPort{}
	for _, part := range splitList(text) {
		name, address, _ := strings.Cut(part, "=")
		out[v.name(flag, name)] = v.address(flag, address)
	}
	return out
}

func (v *values) prefixes(flag, text string) []netip.Prefix {
	var out []netip.Prefix
	for _, part := range splitList(text) {
		p, err := netip.ParsePrefix(part)
		if err != nil {
			v.findings.Add("--"+flag, "must be address prefixes such as 10.0.0.0/8: %q", part)
		}
		out = append(out, p)
	}
	return out
}

func (v *values) positive(flag string, d time.Duration) time.Duration {
	if d <= 0 {
		v.findings.Add("--"+flag, "must be more than 0")
	}
	return d
}

// document reads a JSON file strictly; its findings carry the file's name.
func (v *values) document(flag, path string, out any) {
	data, err := os.ReadFile(path)
	if err != nil {
		v.findings.Add("--"+flag, "%v", err)
		return
	}
	v.merge(path, bfapi.DecodeJSON(data, out))
}

// merge adds the findings of a file; all others are findings about the file itself.
func (v *values) merge(path string, err error) {
	var findings briarferry.Findings
	if err != nil && !errors.As(err, &findings) {
		findings = briarferry.Findings{{Place: "file", Message: err.Error()}}
	}
	for _, f := range findings {
		v.findings.Add(path+": "+strings.TrimPrefix(f.Place, path+": "), "%s", f.Message)
	}
}

func (v *values) logger(level string) zerolog.Logger {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		v.findings.Add("--log-level", "must be debug, info, warn or error: %q", level)
	}
	return zerolog.New(os.Stderr).Level(l).With().Timestamp().Logger()
}

func splitList(text string) []string {
	var out []string
	for _, part := range strings.Split(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}
