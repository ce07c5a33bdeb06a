// Package bfstorage keeps a replica's log, hard state and snapshots on disk.
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
	// FS is the part of a file system that the storage uses. Data is durable after
	// File.Sync, names are durable after SyncDir.
	FS interface {
		MkdirAll(dir string) error
		// ReadDir returns the names of the files in a folder, sorted.
		ReadDir(dir string) ([]string, error)
		ReadFile(name string) ([]byte, error)
		// Create makes an empty file, replacing one of the same name.
		Create(name string) (File, error)
		// Truncate cuts a file and syncs it.
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

	// Locker is a file system that can keep a second process out of a folder.
	Locker interface {
		Lock(name string) (io.Closer, error)
	}

	// OSFS is the real file system.
	OSFS struct{}
)

// Lock takes the lock of a file until the result is closed, or fails where another
// process holds it.
func (OSFS) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

// MkdirAll makes a folder and its parents.
func (OSFS) MkdirAll(dir string) error { return os.MkdirAll(dir, 0o755) }

// ReadDir lists the regular files of a folder.
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

// Create makes an empty file.
func (OSFS) Create(name string) (File, error) {
	f, err := os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	return f, nil
}

// Truncate cuts a file and syncs it.
func (OSFS) Truncate(name string, size int64) error {
	f, err := os.OpenFile(name, os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	return errors.Join(f.Truncate(size), f.Sync(), f.Close())
}

// Rename gives a file another name, replacing a file of that name.
func (OSFS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file; a file that does not exist is no error.
func (OSFS) Remove(name string) error {
	if err := os.Remove(name); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}

// SyncDir makes the names in a folder durable.
func (OSFS) SyncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}
