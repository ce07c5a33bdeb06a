package bfstorage

import (
	"encoding/binary"
	"hash/crc32"
	"path/filepath"
	"sync"

	"github.com/rotisserie/eris"
)

const (
	commitFile = "commit"
	// commitRecord is an index with its checksum.
	commitRecord = 12
	// maxCommitFile is the size at which the file is started anew.
	maxCommitFile = 64 << 10
)

// commits notes how far the log is known to be committed. Nothing waits for its records
// to be synced: one that is lost only means that a restarted replica applies less before
// it hears a leader.
type commits struct {
	fs   FS
	path string

	mu   sync.Mutex
	file File
	size int
}

// SaveCommitIndex notes that the log is committed up to the index. The entries up to there
// must have been saved.
func (s *Storage) SaveCommitIndex(index uint64) error { return s.commits.save(index) }

// SyncCommitIndex makes the notes durable. It may be called beside all other methods.
func (s *Storage) SyncCommitIndex() error { return s.commits.sync() }

func (c *commits) sync() error {
	c.mu.Lock()
	f := c.file
	c.mu.Unlock()
	if f == nil {
		return nil
	}
	// The file may be closed meanwhile; its records stand in the next one then.
	return eris.Wrap(f.Sync(), "bfstorage: sync commit file")
}

func (c *commits) save(index uint64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.file == nil || c.size >= maxCommitFile {
		if err := c.restart(); err != nil {
			return err
		}
	}
	record := binary.BigEndian.AppendUint64(nil, index)
	record = binary.BigEndian.AppendUint32(record, crc32.Checksum(record, castagnoli))
	c.size += commitRecord
	if _, err := c.file.Write(record); err != nil {
		_ = c.closeFile()
		return eris.Wrap(err, "bfstorage: write commit")
	}
	return nil
}

func (c *commits) restart() error {
	_ = c.closeFile()
	f, err := c.fs.Create(c.path)
	if err != nil {
		return eris.Wrap(err, "bfstorage: create commit file")
	}
	c.file, c.size = f, 0
	return nil
}

func (c *commits) close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeFile()
}

func (c *commits) closeFile() error {
	if c.file == nil {
		return nil
	}
	f := c.file
	c.file = nil
	return f.Close()
}

// readCommit returns the highest index that was noted, 0 for none. Damaged records are
// passed over.
func readCommit(fsys FS, dir string) uint64 {
	data, err := fsys.ReadFile(filepath.Join(dir, commitFile))
	if err != nil {
		return 0
	}
	var highest uint64
	for ; len(data) >= commitRecord; data = data[commitRecord:] {
		index, sum := binary.BigEndian.Uint64(data), binary.BigEndian.Uint32(data[8:])
		if crc32.Checksum(data[:8], castagnoli) == sum {
			highest = max(highest, index)
		}
	}
	return highest
}
