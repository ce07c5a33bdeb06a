// Package bftls reads certificates and secrets from files, reads them again when
// they change, and makes TLS settings of them.
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
	// maxFileBytes is far above any CA bundle in use.
	maxFileBytes = 1 << 20
	// othersMode are the permissions that let every user of the VM read or write.
	othersMode = 0o007
)

type (
	// File is a file that a setting names.
	File struct {
		// Setting is the place that findings name, such as "--tls-key".
		Setting string
		Path    string
		// Secret files must not be open to other users.
		Secret bool
	}

	// Watched is a value made of the contents of files. A file whose new contents are
	// bad leaves the last good value in use.
	Watched[T any] struct {
		files []File
		parse func(contents [][]byte) (T, briarferry.Findings)
		value atomic.Pointer[T]

		mu sync.Mutex
		// loaded is the digest of the contents in use, rejected that of the last bad ones.
		loaded, rejected [sha256.Size]byte
	}
)

// Watch reads the files and returns every finding.
func Watch[T any](files []File, parse func([][]byte) (T, briarferry.Findings)) (*Watched[T], briarferry.Findings) {
	w := &Watched[T]{files: files, parse: parse}
	_, findings := w.reload()
	return w, findings
}

// Value returns the value in use.
func (w *Watched[T]) Value() T { return *w.value.Load() }

// Run reads the files again and again until the context ends.
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

// Reload reads the files once and logs a change of the value in use. Bad contents
// are logged when they are first seen.
func (w *Watched[T]) Reload(log zerolog.Logger) {
	changed, findings := w.reload()
	switch {
	case changed && len(findings) > 0:
		log.Error().Err(findings).Str("file", w.files[0].Path).Msg("changed files are bad; the last good ones stay in use")
	case changed:
		log.Info().Str("file", w.files[0].Path).Msg("changed files are in use")
	}
}

// reload returns whether the contents are others than at the last call.
func (w *Watched[T]) reload() (bool, briarferry.Findings) {
	w.mu.Lock()
	defer w.mu.Unlock()
	contents, findings := readFiles(w.files)
	digest := digestOf(contents, findings)
	if digest == w.loaded && w.value.Load() != nil {
		w.rejected = [sha256.Size]byte{}
		return false, nil
	}
	if digest == w.rejected {
		return false, nil
	}
	var value T
	if len(findings) == 0 {
		value, findings = w.parse(contents)
	}
	if len(findings) > 0 {
		w.rejected = digest
		return true, findings
	}
	w.value.Store(&value)
	w.loaded, w.rejected = digest, [sha256.Size]byte{}
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
		case file.Secret && info.Mode().Perm()&othersMode != 0:
			findings.Add(file.Setting, "%s must not be open to other users (mode 0600)", file.Path)
		}
		if contents[i], err = os.ReadFile(file.Path); err != nil {
			findings.Add(file.Setting, "%v", err)
		}
	}
	return contents, findings
}

// digestOf covers the findings too, so that a missing file counts as other contents.
func digestOf(contents [][]byte, findings briarferry.Findings) [sha256.Size]byte {
	h := sha256.New()
	for _, c := range contents {
		sum := sha256.Sum256(c)
		h.Write(sum[:])
	}
	h.Write([]byte(findings.Error()))
	return [sha256.Size]byte(h.Sum(nil))
}
