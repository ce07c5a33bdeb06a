package bftls

import (
	"bytes"
	"encoding/hex"

	"briarferry"
)

const minTokenBytes = 16

// LoadTokens reads a file with one token per line. All of them are valid; the first is the
// one to send.
func LoadTokens(setting, path string) (*Watched[[]string], briarferry.Findings) {
	return Watch([]File{{Setting: setting, Path: path, Secret: true}}, func(contents [][]byte) ([]string, briarferry.Findings) {
		var findings briarferry.Findings
		var tokens []string
		for _, line := range parseLines(contents[0]) {
			if len(line) < minTokenBytes {
				findings.Add(setting, "%s: each token must have at least %d characters", path, minTokenBytes)
			}
			tokens = append(tokens, string(line))
		}
		if len(tokens) == 0 {
			findings.Add(setting, "%s has no token", path)
		}
		return tokens, findings
	})
}

// LoadGossipKeys reads a file with one hexadecimal key per line. The function build
// turns the keys into the value.
func LoadGossipKeys[T any](setting, path string, build func(keys [][]byte) T) (*Watched[T], briarferry.Findings) {
	return Watch([]File{{Setting: setting, Path: path, Secret: true}}, func(contents [][]byte) (T, briarferry.Findings) {
		var findings briarferry.Findings
		var keys [][]byte
		for i, line := range parseLines(contents[0]) {
			key := make([]byte, hex.DecodedLen(len(line)))
			// The finding must not contain the line, which is secret.
			if _, err := hex.Decode(key, line); err != nil || len(key) < SecretBytes {
				findings.Add(setting, "%s: key %d must have at least %d hexadecimal digits", path, i+1, 2*SecretBytes)
			}
			keys = append(keys, key)
		}
		if len(keys) == 0 || len(keys) > 2 {
			findings.Add(setting, "%s must have one key, or two during a rotation", path)
		}
		return build(keys), findings
	})
}

// parseLines returns the trimmed lines that are neither empty nor comments.
func parseLines(data []byte) [][]byte {
	var out [][]byte
	for line := range bytes.Lines(data) {
		if line = bytes.TrimSpace(line); len(line) > 0 && line[0] != '#' {
			out = append(out, line)
		}
	}
	return out
}
