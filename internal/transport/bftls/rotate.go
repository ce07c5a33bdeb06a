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

// The secrets that Setup rotates, and the steps of a rotation. Each file lists its items
// with the one in use first. After each step the file must be copied to every VM before
// the next step.
const (
	RotateCA        = "ca"
	RotateGossipKey = "gossip-key"
	RotateToken     = "token"

	StepAdd  = "add"
	StepUse  = "use"
	StepDrop = "drop"
)

var errInvalidStep = errors.New("bftls: step out of order: the file must have one item for add, and two for use and drop")

// Validate reports an unknown secret or step of a rotation.
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

// rotate performs one step and returns the paths of the written files.
func (s *Setup) rotate() (written []string, err error) {
	switch s.Rotate {
	case RotateCA:
		return s.rotateCA()
	case RotateToken:
		return written, s.rotateFile(&written, FileToken, parseLines, newSecret)
	}
	return written, s.rotateFile(&written, FileGossipKey, parseLines, newSecret)
}

// rotateCA performs one step for the CA. It rotates the file with the keys as well, so that
// keys and certificates stay in the same order.
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

// rotateFile performs one step for a file. The function split returns the items of the
// file, and newItem creates the item for StepAdd.
func (s *Setup) rotateFile(written *[]string, name string, split func([]byte) [][]byte, newItem func() []byte) error {
	data, err := os.ReadFile(filepath.Join(s.Folder, name))
	if err != nil {
		return fmt.Errorf("bftls: read file to rotate: %w", err)
	}
	items := split(data)
	switch {
	case s.Step == StepAdd && len(items) == 1:
		items = append(items, newItem())
	case s.Step == StepUse && len(items) == 2:
		items[0], items[1] = items[1], items[0]
	case s.Step == StepDrop && len(items) == 2:
		items = items[:1]
	default:
		return errInvalidStep
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
