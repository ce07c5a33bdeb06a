// Package bfstorage stores a replica's log, hard state and snapshots on disk.
package bfstorage

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"slices"
	"syscall"
)

type (
	// FS is the part of a file system that Storage uses. The data of a file is durable
	// after File.Sync, the names in a directory after SyncDir.
	FS interface {
		MkdirAll(dir string) error
		// ReadDir returns the sorted names of the files in a directory.
		ReadDir(dir string) ([]string, error)
		ReadFile(name string) ([]byte, error)
		// Create creates an empty file, replacing an existing file of that name.
		Create(name string) (File, error)
		// Truncate truncates a file to the given size and syncs it.
		Truncate(name string, size int64) error
		Rename(from, to string) error
		Remove(name string) error
		SyncDir(dir string) error
	}

	// File is a file open for appending.
	File interface {
		io.Writer
		Sync() error
		Close() error
	}

	// Locker is implemented by file systems that can lock a file against other
	// processes.
	Locker interface {
		Lock(name string) (io.Closer, error)
	}

	// OSFS is the file system of the operating system.
	OSFS struct{}
)

// Lock locks a file until the returned closer is closed. It fails if another process
// holds the lock.
func (OSFS) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

// MkdirAll creates a directory and its parents.
func (OSFS) MkdirAll(dir string) error { return os.MkdirAll(dir, 0o755) }

// ReadDir returns the sorted names of the regular files in a directory.
func (OSFS) ReadDir(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	slices.Sort(names)
	return names, nil
}

// ReadFile reads a whole file.
func (OSFS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// Create creates an empty file, replacing an existing file of that name.
func (OSFS) Create(name string) (File, error) {
	f, err := os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	return f, nil
}

// Truncate truncates a file to the given size and syncs it.
func (OSFS) Truncate(name string, size int64) error {
	f, err := os.OpenFile(name, os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	return errors.Join(f.Truncate(size), f.Sync(), f.Close())
}

// Rename renames a file, replacing an existing file of the new name.
func (OSFS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file. It returns nil if the file does not exist.
func (OSFS) Remove(name string) error {
	if err := os.Remove(name); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}

// SyncDir makes the names in a directory durable.
func (OSFS) SyncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}
