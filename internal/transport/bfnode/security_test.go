package bfnode

import (
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"briarferry/internal/transport/bfgossip"
	"briarferry/internal/transport/bftls"
)

// makeSecrets returns a folder with the certificates and keys for the VMs of a test system.
func makeSecrets(t testing.TB) string {
	t.Helper()
	setup := bftls.Setup{Folder: t.TempDir(), System: "north", Valid: time.Hour}
	for i := range 4 {
		setup.VMs = append(setup.VMs, bftls.VM{Name: fmt.Sprint("vm", i)})
	}
	if _, err := setup.Run(); err != nil {
		t.Fatal(err)
	}
	return setup.Folder
}

// security returns the certificates and keys of a VM of the test system.
func (s *testSystem) security(vm string) Security {
	if s.secretsDir == "" {
		return Security{}
	}
	file := func(name string) bftls.File { return bftls.File{Path: filepath.Join(s.secretsDir, name)} }
	source, findings := bftls.Load(bftls.Files{Cert: file(vm + ".pem"), Key: file(vm + ".key"), CA: file(bftls.FileCA), Name: vm})
	keys, more := bftls.LoadGossipKeys("keys", file(bftls.FileGossipKey).Path, func(keys [][]byte) *bfgossip.Keyring {
		return bfgossip.NewKeyring("north", keys...)
	})
	if findings = append(findings, more...); len(findings) > 0 {
		s.t.Fatal(findings)
	}
	return Security{System: "north", RPC: source, Gossip: keys}
}
