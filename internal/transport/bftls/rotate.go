package bftls

import (
	"bytes"
	"encoding/pem"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"briarferry"
)

// What Setup rotates, and the steps of a rotation. Each file lists its items with the
// one in use first; between the steps the file goes to every VM.
const (
	RotateCA        = "ca"
	RotateGossipKey = "gossip-key"
	RotateToken     = "token"

	StepAdd  = "add"
	StepUse  = "use"
	StepDrop = "drop"
)

var errStep = errors.New("bftls: the step does not fit: add needs one item, use and drop need two")

// Validate reports a rotation that isn't known.
func (s *Setup) Validate() briarferry.Findings {
	var f briarferry.Findings
	if s.Rotate == "" && s.Step == "" {
		return f
	}
	switch s.Rotate {
	case RotateCA, RotateGossipKey, RotateToken:
	default:
		f.Add("--rotate", "must be ca, gossip-key or token: %q", s.Rotate)
	}
	switch s.Step {
	case StepAdd, StepUse, StepDrop:
	default:
		f.Add("--step", "must be add, use or drop: %q", s.Step)
	}
	return f
}

// rotate takes one step and returns the files that it wrote.
func (s *Setup) rotate() (written []string, err error) {
	switch s.Rotate {
	case RotateCA:
		return s.rotateCA()
	case RotateToken:
		return written, s.rotateFile(&written, FileToken, lines, newSecret)
	}
	return written, s.rotateFile(&written, FileGossipKey, lines, newSecret)
}

// rotateCA keeps the keys in the order of their certificates.
func (s *Setup) rotateCA() (written []string, err error) {
	_, cert, key, err := NewAuthority(s.System+" CA", s.Valid)
	if err != nil {
		return nil, err
	}
	err = s.rotateFile(&written, FileCAKey, pemBlocks, func() []byte { return key })
	if err == nil {
		err = s.rotateFile(&written, FileCA, pemBlocks, func() []byte { return cert })
	}
	return written, err
}

func (s *Setup) rotateFile(written *[]string, name string, split func([]byte) [][]byte, next func() []byte) error {
	data, err := os.ReadFile(filepath.Join(s.Folder, name))
	if err != nil {
		return fmt.Errorf("bftls: read file to rotate: %w", err)
	}
	items := split(data)
	switch {
	case s.Step == StepAdd && len(items) == 1:
		items = append(items, next())
	case s.Step == StepUse && len(items) == 2:
		items[0], items[1] = items[1], items[0]
	case s.Step == StepDrop && len(items) == 2:
		items = items[:1]
	default:
		return errStep
	}
	var out []byte
	for _, item := range items {
		out = append(append(out, bytes.TrimSpace(item)...), '\n')
	}
	return s.write(written, name, out)
}

func pemBlocks(data []byte) [][]byte {
	var out [][]byte
	for block, rest := pem.Decode(data); block != nil; block, rest = pem.Decode(rest) {
		out = append(out, pem.EncodeToMemory(block))
	}
	return out
}
