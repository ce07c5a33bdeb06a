package bftls

import (
	"bytes"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// TestSetup guards against secrets that other users can read, and against a second run that
// replaces existing files.
func TestSetup(t *testing.T) {
	s := Setup{Folder: filepath.Join(t.TempDir(), "secrets"), System: "north", Valid: time.Hour,
		VMs: []VM{{Name: "vm1", Addresses: []netip.Addr{netip.MustParseAddr("127.0.0.1")}}, {Name: "vm2"}}}
	written, err := s.Run()
	if err != nil || len(written) != 8 {
		t.Fatalf("wrote %v: %v", written, err)
	}
	before := map[string][]byte{}
	for _, path := range written {
		info, err := os.Stat(path)
		if err != nil || info.Mode().Perm() != 0o600 {
			t.Errorf("%s: mode %v, %v", path, info.Mode(), err)
		}
		before[path], _ = os.ReadFile(path)
	}
	if again, err := s.Run(); err != nil || len(again) != 0 {
		t.Errorf("the second run wrote %v: %v", again, err)
	}
	s.Renew = true
	if again, err := s.Run(); err != nil || len(again) != 4 {
		t.Errorf("the renewal wrote %v: %v", again, err)
	}
	for path, old := range before {
		now, _ := os.ReadFile(path)
		if renewed := strings.Contains(filepath.Base(path), "vm"); renewed == bytes.Equal(now, old) {
			t.Errorf("%s: renewed is %t, but must be true for the files of the VMs only", path, !renewed)
		}
	}
	path := func(name string) File { return File{Path: filepath.Join(s.Folder, name)} }
	if _, findings := Load(Files{Cert: path("vm1.pem"), Key: path("vm1.key"), CA: path(FileCA), Name: "vm1"}); len(findings) > 0 {
		t.Error(findings)
	}
}

// TestRotation guards against steps that are accepted out of order, and against a rotation
// that loses the item in use.
func TestRotation(t *testing.T) {
	for secret, name := range map[string]string{RotateCA: FileCA, RotateGossipKey: FileGossipKey, RotateToken: FileToken} {
		s := Setup{Folder: t.TempDir(), System: "north", Valid: time.Hour, VMs: []VM{{Name: "vm1"}}}
		if _, err := s.Run(); err != nil {
			t.Fatal(err)
		}
		read := func() string {
			data, _ := os.ReadFile(filepath.Join(s.Folder, name))
			return string(data)
		}
		step := func(step string) error {
			s.Rotate, s.Step = secret, step
			_, err := s.Run()
			return err
		}
		old := read()
		if step(StepUse) == nil || step(StepDrop) == nil || read() != old {
			t.Errorf("%s: use or drop was accepted without a new item", secret)
		}
		if err := step(StepAdd); err != nil || !strings.HasPrefix(read(), old) || read() == old {
			t.Errorf("%s: add: %v", secret, err)
		}
		if step(StepAdd) == nil {
			t.Errorf("%s: a third item was added", secret)
		}
		next := strings.TrimPrefix(read(), old)
		if err := step(StepUse); err != nil || read() != next+old {
			t.Errorf("%s: use: %v", secret, err)
		}
		s.Rotate, s.Renew = "", true
		if _, err := s.Run(); err != nil {
			t.Errorf("%s: renew: %v", secret, err)
		}
		if err := step(StepDrop); err != nil || read() != next {
			t.Errorf("%s: drop: %v", secret, err)
		}
		file := func(name string) File { return File{Path: filepath.Join(s.Folder, name)} }
		if _, findings := Load(Files{Cert: file("vm1.pem"), Key: file("vm1.key"), CA: file(FileCA), Name: "vm1"}); len(findings) > 0 {
			t.Errorf("%s: after the rotation: %v", secret, findings)
		}
	}
}
