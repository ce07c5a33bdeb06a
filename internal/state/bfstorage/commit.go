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
	// commitRecordBytes is the size of a record: an index and its checksum.
	commitRecordBytes = 12
	// maxCommitFileBytes is the size at which the file is replaced by an empty one.
	maxCommitFileBytes = 64 << 10
)

// commitIndexFile records the highest log index that is known to be committed. Nothing
// waits until its records are synced: if one is lost, a restarted replica only applies
// fewer entries before it hears from a leader.
type commitIndexFile struct {
	fs   FS
	path string

	mu   sync.Mutex
	file File
	size int
}

// SaveCommitIndex records that the log is committed up to the index. The entries up to
// the index must have been saved.
func (s *Storage) SaveCommitIndex(index uint64) error { return s.commitIndex.save(index) }

// SyncCommitIndex makes the recorded commit index durable. It may be called concurrently
// with all other methods.
func (s *Storage) SyncCommitIndex() error { return s.commitIndex.sync() }

func (c *commitIndexFile) sync() error {
	c.mu.Lock()
	f := c.file
	c.mu.Unlock()
	if f == nil {
		return nil
	}
	// replaceFile may close the file meanwhile. Sync then fails, and the next file holds a
	// newer index.
	return eris.Wrap(f.Sync(), "bfstorage: sync commit file")
}

func (c *commitIndexFile) save(index uint64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.file == nil || c.size >= maxCommitFileBytes {
		if err := c.replaceFile(); err != nil {
			return err
		}
	}
	record := binary.BigEndian.AppendUint64(nil, index)
	record = binary.BigEndian.AppendUint32(record, crc32.Checksum(record, castagnoli))
	c.size += commitRecordBytes
	if _, err := c.file.Write(record); err != nil {
		_ = c.closeFile()
		return eris.Wrap(err, "bfstorage: write commit file")
	}
	return nil
}

func (c *commitIndexFile) replaceFile() error {
	_ = c.closeFile()
	f, err := c.fs.Create(c.path)
	if err != nil {
		return eris.Wrap(err, "bfstorage: create commit file")
	}
	c.file, c.size = f, 0
	return nil
}

func (c *commitIndexFile) close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeFile()
}

func (c *commitIndexFile) closeFile() error {
	if c.file == nil {
		return nil
	}
	f := c.file
	c.file = nil
	return f.Close()
}

// readCommitIndex returns the highest recorded commit index, or 0 if there is none. It
// skips damaged records.
func readCommitIndex(fsys FS, dir string) uint64 {
	data, err := fsys.ReadFile(filepath.Join(dir, commitFile))
	if err != nil {
		return 0
	}
	var highest uint64
	for ; len(data) >= commitRecordBytes; data = data[commitRecordBytes:] {
		index, sum := binary.BigEndian.Uint64(data), binary.BigEndian.Uint32(data[8:])
		if crc32.Checksum(data[:8], castagnoli) == sum {
			highest = max(highest, index)
		}
	}
	return highest
}
