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

// validator parses flag values and input files and collects a finding for each invalid one.
type validator struct {
	findings briarferry.Findings
}

func (v *validator) name(flag, text string) string {
	if !briarferry.ValidName(text) {
		v.findings.Add("--"+flag, "must be a name of letters, digits, dots, dashes or underscores: %q", text)
	}
	return text
}

func (v *validator) address(flag, text string) netip.AddrPort {
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		v.findings.Add("--"+flag, "must be an IP address with a port: %q", text)
	}
	return a
}

func (v *validator) addresses(flag, text string) []netip.AddrPort {
	var out []netip.AddrPort
	for _, part := range splitList(text) {
		out = append(out, v.address(flag, part))
	}
	return out
}

func (v *validator) time(flag, text string) time.Time {
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		v.findings.Add("--"+flag, "must be an RFC 3339 time such as 2026-12-04T09:30:00Z if --request is not given: %q", text)
	}
	return t
}

func (v *validator) port(flag, text string) uint16 {
	n, err := strconv.ParseUint(text, 10, 16)
	if err != nil {
		v.findings.Add("--"+flag, "must be a port number from 0 to 65535: %q", text)
	}
	return uint16(n)
}

// namedAddresses parses a comma-separated list of NAME=IP:PORT.
func (v *validator) namedAddresses(flag, text string) map[string]netip.AddrPort {
	out := map[string]netip.AddrPort{}
	for _, part := range splitList(text) {
		name, address, _ := strings.Cut(part, "=")
		out[v.name(flag, name)] = v.address(flag, address)
	}
	return out
}

func (v *validator) prefixes(flag, text string) []netip.Prefix {
	var out []netip.Prefix
	for _, part := range splitList(text) {
		p, err := netip.ParsePrefix(part)
		if err != nil {
			v.findings.Add("--"+flag, "must be an address prefix such as 10.0.0.0/8: %q", part)
		}
		out = append(out, p)
	}
	return out
}

func (v *validator) positive(flag string, d time.Duration) time.Duration {
	if d <= 0 {
		v.findings.Add("--"+flag, "must be more than 0")
	}
	return d
}

// jsonFile decodes a JSON file into out, rejects unknown fields and validates the result.
// Findings about the content of the file begin with its path.
func (v *validator) jsonFile(flag, path string, out any) {
	data, err := os.ReadFile(path)
	if err != nil {
		v.findings.Add("--"+flag, "must name a readable file: %v", err)
		return
	}
	v.addFileErrors(path, bfapi.DecodeJSON(data, out))
}

// addFileErrors adds err, which describes the content of the file at path. An error that is
// not a list of findings becomes one finding about the whole file.
func (v *validator) addFileErrors(path string, err error) {
	var findings briarferry.Findings
	if err != nil && !errors.As(err, &findings) {
		findings = briarferry.Findings{{Place: "file", Message: err.Error()}}
	}
	for _, f := range findings {
		v.findings.Add(path+": "+strings.TrimPrefix(f.Place, path+": "), "%s", f.Message)
	}
}

func (v *validator) logger(level string) zerolog.Logger {
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
