// Package bftls loads certificates and secrets from files, reloads them when they change,
// and provides TLS settings that use them.
package bftls

import (
	"context"
	"crypto/sha256"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"briarferry"
)

const (
	reloadInterval = 2 * time.Second
	// maxFileBytes is far above the size of any CA bundle.
	maxFileBytes = 1 << 20
	// othersPermissions are the permission bits of users who neither own the file nor are in
	// its group.
	othersPermissions = 0o007
)

type (
	// File is a file that a setting names.
	File struct {
		// Setting is the name of the setting for findings, such as "--tls-key".
		Setting string
		Path    string
		// Secret files must not be accessible to other users.
		Secret bool
	}

	// Watched is a value that is parsed from files and updated when they change. While the
	// contents of a file are invalid, the last valid value stays in use.
	Watched[T any] struct {
		files []File
		parse func(contents [][]byte) (T, briarferry.Findings)
		value atomic.Pointer[T]

		mu sync.Mutex
		// loadedDigest is the digest of the contents in use, rejectedDigest that of the last
		// invalid contents.
		loadedDigest, rejectedDigest [sha256.Size]byte
	}
)

// Watch reads and parses the files and returns all findings.
func Watch[T any](files []File, parse func([][]byte) (T, briarferry.Findings)) (*Watched[T], briarferry.Findings) {
	w := &Watched[T]{files: files, parse: parse}
	_, findings := w.reload()
	return w, findings
}

// Value returns the current value.
func (w *Watched[T]) Value() T { return *w.value.Load() }

// Run reloads the files periodically until the context ends.
func (w *Watched[T]) Run(ctx context.Context, log zerolog.Logger) error {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			w.Reload(log)
		}
	}
}

// Reload reads the files once and logs a change of the value. Invalid contents are logged
// only when they are first found.
func (w *Watched[T]) Reload(log zerolog.Logger) {
	changed, findings := w.reload()
	switch {
	case changed && len(findings) > 0:
		log.Error().Err(findings).Str("file", w.files[0].Path).Msg("changed files are invalid; the last valid ones stay in use")
	case changed:
		log.Info().Str("file", w.files[0].Path).Msg("changed files were reloaded")
	}
}

// reload reads the files and, if their contents are valid, updates the value. It reports
// whether the contents differ from those in use and from those that were rejected last.
func (w *Watched[T]) reload() (bool, briarferry.Findings) {
	w.mu.Lock()
	defer w.mu.Unlock()
	contents, findings := readFiles(w.files)
	digest := contentsDigest(contents, findings)
	if digest == w.loadedDigest && w.value.Load() != nil {
		w.rejectedDigest = [sha256.Size]byte{}
		return false, nil
	}
	if digest == w.rejectedDigest {
		return false, nil
	}
	var value T
	if len(findings) == 0 {
		value, findings = w.parse(contents)
	}
	if len(findings) > 0 {
		w.rejectedDigest = digest
		return true, findings
	}
	w.value.Store(&value)
	w.loadedDigest, w.rejectedDigest = digest, [sha256.Size]byte{}
	return true, nil
}

func readFiles(files []File) ([][]byte, briarferry.Findings) {
	var findings briarferry.Findings
	contents := make([][]byte, len(files))
	for i, file := range files {
		info, err := os.Stat(file.Path)
		switch {
		case err != nil:
			findings.Add(file.Setting, "%v", err)
			continue
		case info.Size() > maxFileBytes:
			findings.Add(file.Setting, "%s must have at most %d bytes", file.Path, maxFileBytes)
			continue
		case file.Secret && info.Mode().Perm()&othersPermissions != 0:
			findings.Add(file.Setting, "%s must not be open to other users (mode 0600)", file.Path)
		}
		if contents[i], err = os.ReadFile(file.Path); err != nil {
			findings.Add(file.Setting, "%v", err)
		}
	}
	return contents, findings
}

// contentsDigest includes the findings, so that a file that can't be read counts as a
// change.
func contentsDigest(contents [][]byte, findings briarferry.Findings) [sha256.Size]byte {
	h := sha256.New()
	for _, c := range contents {
		sum := sha256.Sum256(c)
		h.Write(sum[:])
	}
	h.Write([]byte(findings.Error()))
	return [sha256.Size]byte(h.Sum(nil))
}
