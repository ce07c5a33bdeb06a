package bftls

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io/fs"
	"net/netip"
	"os"
	"path/filepath"
	"time"
)

// Names of the files that Setup writes. Those of a VM are NAME.pem and NAME.key.
const (
	FileCA        = "ca.pem"
	FileCAKey     = "ca.key"
	FileGossipKey = "gossip.key"
	FileToken     = "token"

	// SecretBytes is the number of random bytes in a gossip key or token.
	SecretBytes = 32
)

type (
	// Setup creates the certificates, keys and tokens of a system in one folder. It
	// replaces existing files only if Renew or Rotate is set.
	Setup struct {
		Folder string
		System string
		VMs    []VM
		Valid  time.Duration
		// Renew replaces the certificates and keys of the VMs.
		Renew bool
		// Rotate and Step select one step of a rotation; Run then does nothing else.
		Rotate, Step string
	}

	// VM is a VM that gets a certificate.
	VM struct {
		Name      string
		Addresses []netip.Addr
	}
)

// Run writes the missing files, or those of a renewal or rotation, and returns their paths.
func (s *Setup) Run() ([]string, error) {
	if s.Rotate != "" {
		return s.rotate()
	}
	if err := os.MkdirAll(s.Folder, 0o700); err != nil {
		return nil, fmt.Errorf("bftls: create folder: %w", err)
	}
	authority, written, err := s.authority()
	if err != nil {
		return nil, err
	}
	for _, name := range []string{FileGossipKey, FileToken} {
		if s.exists(name) {
			continue
		}
		if err := s.write(&written, name, newSecret()); err != nil {
			return nil, err
		}
	}
	for _, vm := range s.VMs {
		if s.exists(vm.Name+".pem") && !s.Renew {
			continue
		}
		cert, key, err := authority.Issue(vm.Name, vm.Addresses, s.Valid)
		if err != nil {
			return nil, err
		}
		err = errors.Join(s.write(&written, vm.Name+".key", key), s.write(&written, vm.Name+".pem", cert))
		if err != nil {
			return nil, err
		}
	}
	return written, nil
}

func (s *Setup) authority() (*Authority, []string, error) {
	if !s.exists(FileCA) {
		a, cert, key, err := NewAuthority(s.System+" CA", s.Valid)
		if err != nil {
			return nil, nil, err
		}
		var written []string
		return a, written, errors.Join(s.write(&written, FileCAKey, key), s.write(&written, FileCA, cert))
	}
	cert, err := os.ReadFile(filepath.Join(s.Folder, FileCA))
	if err != nil {
		return nil, nil, fmt.Errorf("bftls: read CA: %w", err)
	}
	key, err := os.ReadFile(filepath.Join(s.Folder, FileCAKey))
	if err != nil {
		return nil, nil, fmt.Errorf("bftls: read CA key: %w", err)
	}
	a, err := ParseAuthority(cert, key)
	return a, nil, err
}

func (s *Setup) exists(name string) bool {
	_, err := os.Stat(filepath.Join(s.Folder, name))
	return !errors.Is(err, fs.ErrNotExist)
}

// write replaces a file atomically. Only its owner can read it.
func (s *Setup) write(written *[]string, name string, data []byte) error {
	path := filepath.Join(s.Folder, name)
	f, err := os.CreateTemp(s.Folder, ".new-*")
	if err != nil {
		return fmt.Errorf("bftls: create file: %w", err)
	}
	_, err = f.Write(data)
	err = errors.Join(err, f.Chmod(0o600), f.Close())
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		_ = os.Remove(f.Name())
		return fmt.Errorf("bftls: write %s: %w", path, err)
	}
	*written = append(*written, path)
	return nil
}

func newSecret() []byte {
	secret := make([]byte, SecretBytes)
	_, _ = rand.Read(secret) // never fails
	return append([]byte(hex.EncodeToString(secret)), '\n')
}
