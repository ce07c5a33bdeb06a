package bfstorage

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"github.com/rotisserie/eris"
)

const (
	diskIDFile          = "disk"
	lockFile            = "lock"
	defaultSegmentBytes = 16 << 20
)

type (
	// Storage stores the state of one replica. Save, SaveCommitIndex, InstallSnapshot
	// and Compact must be called by one goroutine; SaveSnapshot and SyncCommitIndex may
	// be called concurrently.
	Storage struct {
		fs          FS
		dir         string
		wal         *wal
		commitIndex commitIndexFile
		// lock locks the data directory against other processes. It is nil if the file
		// system is not a Locker.
		lock io.Closer
		// firstErr is the first write error. Nothing is written after it, since the
		// content of a file is unknown after a failed sync.
		firstErr error

		snapMu   sync.Mutex
		snapshot uint64
	}

	// Recovered is the content of the data directory.
	Recovered struct {
		// DiskID identifies the data directory. It is generated when the directory is
		// initialized.
		DiskID    string
		Formation Formation
		HardState HardState
		// CommitIndex is the highest log index that is known to be committed.
		CommitIndex uint64
		Snapshot    *Snapshot
		Entries     []Entry
	}
)

// Open opens a data directory and returns its content. An empty or missing directory is
// initialized. If segmentBytes is 0, segments have the default size.
func Open(fsys FS, dir string, segmentBytes int) (*Storage, *Recovered, error) {
	if segmentBytes <= 0 {
		segmentBytes = defaultSegmentBytes
	}
	if err := fsys.MkdirAll(dir); err != nil {
		return nil, nil, eris.Wrap(err, "bfstorage: create directory")
	}
	if err := fsys.SyncDir(filepath.Dir(dir)); err != nil {
		return nil, nil, eris.Wrap(err, "bfstorage: sync parent directory")
	}
	s := &Storage{fs: fsys, dir: dir, commitIndex: commitIndexFile{fs: fsys, path: filepath.Join(dir, commitFile)}}
	if l, ok := fsys.(Locker); ok {
		lock, err := l.Lock(filepath.Join(dir, lockFile))
		if err != nil {
			return nil, nil, eris.Wrapf(err, "bfstorage: data directory %s is in use", dir)
		}
		s.lock = lock
	}
	rec, err := s.load(segmentBytes)
	if err != nil {
		s.unlock()
		return nil, nil, err
	}
	return s, rec, nil
}

func (s *Storage) load(segmentBytes int) (*Recovered, error) {
	names, err := removeTemporaryFiles(s.fs, s.dir)
	if err != nil {
		return nil, err
	}
	rec := &Recovered{}
	if rec.DiskID, err = loadDiskID(s.fs, s.dir, names); err != nil {
		return nil, err
	}
	if rec.Formation, err = readFormation(s.fs, s.dir); err != nil {
		return nil, err
	}
	if rec.Snapshot, err = readSnapshot(s.fs, s.dir, names); err != nil {
		return nil, err
	}
	w, p, err := openWAL(s.fs, s.dir, segmentBytes, names)
	if err != nil {
		return nil, err
	}
	s.wal = w
	rec.HardState, rec.CommitIndex = p.hardState, readCommitIndex(s.fs, s.dir)
	if rec.Entries, err = p.entriesAfter(rec.Snapshot); err != nil {
		return nil, errors.Join(err, w.file.Close())
	}
	if p.lacksReset(rec) {
		if err := w.reset(rec.Snapshot.Index, rec.Snapshot.Term); err != nil {
			return nil, errors.Join(err, w.file.Close())
		}
	}
	if rec.Snapshot != nil {
		s.snapshot = rec.Snapshot.Index
	}
	return rec, nil
}

func (s *Storage) unlock() {
	if s.lock != nil {
		_ = s.lock.Close()
	}
}

// removeTemporaryFiles removes temporary files and returns the sorted names of the other
// files.
func removeTemporaryFiles(fsys FS, dir string) ([]string, error) {
	names, err := fsys.ReadDir(dir)
	if err != nil {
		return nil, eris.Wrap(err, "bfstorage: list directory")
	}
	var kept []string
	for _, name := range names {
		if !strings.HasSuffix(name, temporarySuffix) {
			kept = append(kept, name)
		} else if err := fsys.Remove(filepath.Join(dir, name)); err != nil {
			return nil, eris.Wrap(err, "bfstorage: remove temporary file")
		}
	}
	slices.Sort(kept)
	return kept, nil
}

// loadDiskID returns the ID of the data directory. It creates one if the directory holds
// no log and no snapshot.
func loadDiskID(fsys FS, dir string, names []string) (string, error) {
	data, err := fsys.ReadFile(filepath.Join(dir, diskIDFile))
	if err == nil {
		return decodeDiskID(data)
	}
	if !errors.Is(err, fs.ErrNotExist) {
		return "", eris.Wrap(err, "bfstorage: read disk ID")
	}
	for _, name := range names {
		if strings.HasSuffix(name, walSuffix) || strings.HasSuffix(name, snapshotSuffix) {
			return "", eris.Wrapf(ErrCorrupt, "bfstorage: directory holds %s but no disk ID", name)
		}
	}
	var raw [16]byte
	_, _ = rand.Read(raw[:]) // never fails
	id := hex.EncodeToString(raw[:])
	return id, writeDurable(fsys, dir, diskIDFile, encodeDiskID(id))
}

func encodeDiskID(id string) []byte {
	return withChecksum(fmt.Sprintf("briarferry %d %s", formatVersion, id))
}

func withChecksum(line string) []byte {
	return fmt.Appendf(nil, "%s %08x\n", line, crc32.Checksum([]byte(line), castagnoli))
}

func decodeDiskID(data []byte) (string, error) {
	var version int
	var id string
	var sum uint32
	if _, err := fmt.Sscanf(string(data), "briarferry %d %s %x\n", &version, &id, &sum); err != nil {
		return "", eris.Wrap(ErrCorrupt, "bfstorage: malformed disk ID file")
	}
	if version != formatVersion {
		return "", eris.Wrapf(ErrFormat, "bfstorage: data directory has version %d", version)
	}
	if string(encodeDiskID(id)) != string(data) {
		return "", eris.Wrap(ErrCorrupt, "bfstorage: disk ID checksum")
	}
	return id, nil
}

// entriesAfter returns the entries that follow the snapshot.
func (p *replay) entriesAfter(s *Snapshot) ([]Entry, error) {
	var index uint64
	entries := p.entries
	if s != nil {
		index = s.Index
	}
	if len(entries) == 0 {
		return nil, nil
	}
	first := entries[0].Index
	if first > index+1 {
		return nil, eris.Wrapf(ErrCorrupt, "bfstorage: log starts at entry %d, snapshot ends at %d", first, index)
	}
	if index < first {
		return entries, nil
	}
	at := index - first
	if at >= uint64(len(entries)) || entries[at].Term != s.Term {
		// The process crashed after it had stored a received snapshot and before it
		// reset the log. No entry after the snapshot was acknowledged.
		return nil, nil
	}
	return entries[at+1:], nil
}

// lacksReset reports whether the log must be reset to continue after the snapshot: its
// entries are not used, and the next one wouldn't follow them.
func (p *replay) lacksReset(rec *Recovered) bool {
	return rec.Snapshot != nil && len(rec.Entries) == 0 && p.nextIndex != 0 && p.nextIndex != rec.Snapshot.Index+1
}

// Save makes the entries durable, and the hard state unless it is nil.
func (s *Storage) Save(hard *HardState, entries []Entry) error {
	return s.write(func() error { return s.wal.save(hard, entries) })
}

// InstallSnapshot makes a snapshot from another replica durable and drops all entries.
func (s *Storage) InstallSnapshot(snap Snapshot) error {
	return s.write(func() error {
		if err := s.SaveSnapshot(snap); err != nil {
			return err
		}
		return s.wal.reset(snap.Index, snap.Term)
	})
}

// SaveSnapshot makes a snapshot durable and removes the older ones.
func (s *Storage) SaveSnapshot(snap Snapshot) error {
	s.snapMu.Lock()
	defer s.snapMu.Unlock()
	if snap.Index <= s.snapshot {
		return nil
	}
	if err := writeSnapshot(s.fs, s.dir, snap); err != nil {
		return err
	}
	s.snapshot = snap.Index
	return removeOlderSnapshots(s.fs, s.dir, snap.Index)
}

// Compact removes the log segments that only hold entries up to the index. It keeps all
// entries that no durable snapshot covers.
func (s *Storage) Compact(index uint64) error {
	return s.write(func() error {
		s.snapMu.Lock()
		index = min(index, s.snapshot)
		s.snapMu.Unlock()
		return s.wal.compact(index)
	})
}

// Close closes the open files and releases the lock of the data directory.
func (s *Storage) Close() error {
	defer s.unlock()
	_ = s.commitIndex.close()
	return s.wal.file.Close()
}

// write runs an operation unless an earlier one failed, and returns the first error.
func (s *Storage) write(op func() error) error {
	if s.firstErr == nil {
		s.firstErr = op()
	}
	return s.firstErr
}
