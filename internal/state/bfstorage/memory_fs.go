package bfstorage

import (
	"io/fs"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"github.com/rotisserie/eris"
)

// ErrCrashed is returned by a MemoryFS that has crashed.
var ErrCrashed = eris.New("bfstorage: file system crashed")

type (
	// MemoryFS is a file system in memory that simulates crashes. Each write, sync,
	// create, rename, remove and truncate counts as one operation.
	MemoryFS struct {
		// Rand selects the data and names that survive a crash.
		Rand *rand.Rand

		mu      sync.Mutex
		crashAt int
		ops     int
		crashed bool
		current map[string]*memoryNode
		durable map[string]*memoryNode
	}

	memoryNode struct {
		data   []byte
		synced []byte
	}

	memoryFile struct {
		fs   *MemoryFS
		node *memoryNode
	}
)

// NewMemoryFS returns an empty file system.
func NewMemoryFS(r *rand.Rand) *MemoryFS {
	return &MemoryFS{Rand: r, current: map[string]*memoryNode{}, durable: map[string]*memoryNode{}}
}

// Ops returns the number of operations that were started.
func (m *MemoryFS) Ops() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ops
}

// CrashAfter makes the file system crash at the given operation, counted from now.
func (m *MemoryFS) CrashAfter(ops int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.crashAt = m.ops + ops
}

// Crashed reports whether the file system has crashed.
func (m *MemoryFS) Crashed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.crashed
}

// AfterCrash returns the file system that a machine finds when it restarts after a
// crash. Names and data that were not synced may be lost in whole or in part.
func (m *MemoryFS) AfterCrash() *MemoryFS {
	m.mu.Lock()
	defer m.mu.Unlock()
	next := NewMemoryFS(m.Rand)
	names := map[string]bool{}
	for name := range m.current {
		names[name] = true
	}
	for name := range m.durable {
		names[name] = true
	}
	survivors := map[*memoryNode]*memoryNode{}
	sorted := make([]string, 0, len(names))
	for name := range names {
		sorted = append(sorted, name)
	}
	slices.Sort(sorted)
	for _, name := range sorted {
		node := m.durable[name]
		if node != m.current[name] && m.Rand.IntN(2) == 0 {
			node = m.current[name]
		}
		if node == nil {
			continue
		}
		if survivors[node] == nil {
			data := m.dataAfterCrash(node)
			survivors[node] = &memoryNode{data: data, synced: slices.Clone(data)}
		}
		next.current[name], next.durable[name] = survivors[node], survivors[node]
	}
	return next
}

// AfterKill returns the file system that a process finds when it restarts after a kill at
// the crash point: all earlier operations have taken effect.
func (m *MemoryFS) AfterKill() *MemoryFS {
	m.mu.Lock()
	defer m.mu.Unlock()
	next := NewMemoryFS(m.Rand)
	for name, node := range m.current {
		n := &memoryNode{data: slices.Clone(node.data), synced: slices.Clone(node.data)}
		next.current[name], next.durable[name] = n, n
	}
	return next
}

// dataAfterCrash returns the data of a node after a crash: the synced data and a part of
// the rest, which may be cut at any byte or have a range of zeros.
func (m *MemoryFS) dataAfterCrash(n *memoryNode) []byte {
	if len(n.data) <= len(n.synced) {
		return slices.Clone(n.synced)
	}
	rest := slices.Clone(n.data[len(n.synced):])
	switch m.Rand.IntN(4) {
	case 0:
		from := m.Rand.IntN(len(rest))
		clear(rest[from : from+1+m.Rand.IntN(len(rest)-from)])
	case 1:
	default:
		rest = rest[:m.Rand.IntN(len(rest)+1)]
	}
	return append(slices.Clone(n.synced), rest...)
}

// countOp counts an operation and reports whether it is to run. The operation at the
// crash point fails, with or without having run.
func (m *MemoryFS) countOp() (run bool, err error) {
	if m.crashed {
		return false, ErrCrashed
	}
	m.ops++
	if m.crashAt == 0 || m.ops < m.crashAt {
		return true, nil
	}
	m.crashed = true
	return m.Rand.IntN(2) == 0, ErrCrashed
}

func (m *MemoryFS) runOp(op func() error) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	run, err := m.countOp()
	if run {
		if failed := op(); failed != nil {
			return failed
		}
	}
	return err
}

// MkdirAll does nothing, since every directory exists.
func (m *MemoryFS) MkdirAll(string) error { return nil }

// ReadDir returns the sorted names of the files in a directory.
func (m *MemoryFS) ReadDir(dir string) ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for name := range m.current {
		if filepath.Dir(name) == filepath.Clean(dir) {
			names = append(names, strings.TrimPrefix(name, filepath.Clean(dir)+"/"))
		}
	}
	slices.Sort(names)
	return names, nil
}

// ReadFile reads a whole file.
func (m *MemoryFS) ReadFile(name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.current[filepath.Clean(name)]
	if n == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(n.data), nil
}

// Create creates an empty file, replacing an existing file of that name.
func (m *MemoryFS) Create(name string) (File, error) {
	n := &memoryNode{}
	err := m.runOp(func() error {
		m.current[filepath.Clean(name)] = n
		return nil
	})
	return &memoryFile{fs: m, node: n}, err
}

// Truncate truncates a file to the given size and syncs it.
func (m *MemoryFS) Truncate(name string, size int64) error {
	return m.runOp(func() error {
		n := m.current[filepath.Clean(name)]
		if n == nil || size > int64(len(n.data)) {
			return fs.ErrNotExist
		}
		n.data = slices.Clone(n.data[:size])
		n.synced = slices.Clone(n.data)
		return nil
	})
}

// Rename renames a file, replacing an existing file of the new name.
func (m *MemoryFS) Rename(from, to string) error {
	return m.runOp(func() error {
		n := m.current[filepath.Clean(from)]
		if n == nil {
			return fs.ErrNotExist
		}
		delete(m.current, filepath.Clean(from))
		m.current[filepath.Clean(to)] = n
		return nil
	})
}

// Remove removes a file.
func (m *MemoryFS) Remove(name string) error {
	return m.runOp(func() error {
		delete(m.current, filepath.Clean(name))
		return nil
	})
}

// SyncDir makes the names in a directory durable.
func (m *MemoryFS) SyncDir(dir string) error {
	return m.runOp(func() error {
		in := func(name string) bool { return filepath.Dir(name) == filepath.Clean(dir) }
		for name := range m.durable {
			if in(name) && m.current[name] == nil {
				delete(m.durable, name)
			}
		}
		for name, n := range m.current {
			if in(name) {
				m.durable[name] = n
			}
		}
		return nil
	})
}

// Corrupt inverts the bits of one byte of a file, as damage to the disk would.
func (m *MemoryFS) Corrupt(name string, at int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.current[filepath.Clean(name)]
	n.data[at] ^= 0xff
	n.synced = slices.Clone(n.data)
}

// Write appends to the file.
func (f *memoryFile) Write(p []byte) (int, error) {
	err := f.fs.runOp(func() error {
		f.node.data = append(f.node.data, p...)
		return nil
	})
	if err != nil {
		return 0, err
	}
	return len(p), nil
}

// Sync makes the file's data durable.
func (f *memoryFile) Sync() error {
	return f.fs.runOp(func() error {
		f.node.synced = slices.Clone(f.node.data)
		return nil
	})
}

// Close does nothing.
func (f *memoryFile) Close() error { return nil }
