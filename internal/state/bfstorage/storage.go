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
	diskFile            = "disk"
	lockFile            = "lock"
	defaultSegmentBytes = 16 << 20
)

type (
	// Storage keeps the state of one replica. Save, Install and Compact are called
	// by one goroutine; SaveSnapshot may run at the same time in another.
	Storage struct {
		fs  FS
		dir string
		wal *wal
		// commits belongs to the goroutine that saves.
		commits commits
		// lock keeps other processes out; it is nil where the file system has no locks.
		lock io.Closer
		// failed is the first write error. A file's content is unknown after a
		// failed sync, so nothing is written after it.
		failed error

		snapMu   sync.Mutex
		snapshot uint64
	}

	// Recovered is what the data folder holds.
	Recovered struct {
		// DiskID identifies the data folder; it is made at the first use.
		DiskID    string
		HardState HardState
		// CommitIndex is how far the log is known to be committed.
		CommitIndex uint64
		Snapshot    *Snapshot
		Entries     []Entry
	}
)

// Open reads a data folder, or makes a new one where it is empty. A segmentBytes
// of zero means the default size.
func Open(fsys FS, dir string, segmentBytes int) (*Storage, *Recovered, error) {
	if segmentBytes <= 0 {
		segmentBytes = defaultSegmentBytes
	}
	if err := fsys.MkdirAll(dir); err != nil {
		return nil, nil, eris.Wrap(err, "bfstorage: make folder")
	}
	if err := fsys.SyncDir(filepath.Dir(dir)); err != nil {
		return nil, nil, eris.Wrap(err, "bfstorage: sync parent folder")
	}
	s := &Storage{fs: fsys, dir: dir, commits: commits{fs: fsys, path: filepath.Join(dir, commitFile)}}
	if l, ok := fsys.(Locker); ok {
		lock, err := l.Lock(filepath.Join(dir, lockFile))
		if err != nil {
			return nil, nil, eris.Wrapf(err, "bfstorage: data folder %s is in use", dir)
		}
		s.lock = lock
	}
	rec, err := s.recover(segmentBytes)
	if err != nil {
		s.unlock()
		return nil, nil, err
	}
	return s, rec, nil
}

func (s *Storage) recover(segmentBytes int) (*Recovered, error) {
	names, err := cleanFolder(s.fs, s.dir)
	if err != nil {
		return nil, err
	}
	rec := &Recovered{}
	if rec.DiskID, err = diskID(s.fs, s.dir, names); err != nil {
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
	rec.HardState, rec.CommitIndex = p.hard, readCommit(s.fs, s.dir)
	if rec.Entries, err = p.after(rec.Snapshot); err != nil {
		return nil, errors.Join(err, w.file.Close())
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

// cleanFolder removes temporary files and returns the other names.
func cleanFolder(fsys FS, dir string) ([]string, error) {
	names, err := fsys.ReadDir(dir)
	if err != nil {
		return nil, eris.Wrap(err, "bfstorage: list folder")
	}
	var kept []string
	for _, name := range names {
		if !strings.HasSuffix(name, temporary) {
			kept = append(kept, name)
		} else if err := fsys.Remove(filepath.Join(dir, name)); err != nil {
			return nil, eris.Wrap(err, "bfstorage: remove temporary file")
		}
	}
	slices.Sort(kept)
	return kept, nil
}

// diskID reads the id of the data folder, or makes one in an empty folder.
func diskID(fsys FS, dir string, names []string) (string, error) {
	data, err := fsys.ReadFile(filepath.Join(dir, diskFile))
	if err == nil {
		return decodeDisk(data)
	}
	if !errors.Is(err, fs.ErrNotExist) {
		return "", eris.Wrap(err, "bfstorage: read disk id")
	}
	for _, name := range names {
		if strings.HasSuffix(name, walSuffix) || strings.HasSuffix(name, snapshotSuffix) {
			return "", eris.Wrapf(ErrCorrupt, "bfstorage: folder holds %s but no disk id", name)
		}
	}
	var raw [16]byte
	_, _ = rand.Read(raw[:]) // never fails
	id := hex.EncodeToString(raw[:])
	return id, writeDurable(fsys, dir, diskFile, encodeDisk(id))
}

func encodeDisk(id string) []byte {
	line := fmt.Sprintf("briarferry %d %s", formatVersion, id)
	return fmt.Appendf(nil, "%s %08x\n", line, crc32.Checksum([]byte(line), castagnoli))
}

func decodeDisk(data []byte) (string, error) {
	var version int
	var id string
	var sum uint32
	if _, err := fmt.Sscanf(string(data), "briarferry %d %s %x\n", &version, &id, &sum); err != nil {
		return "", eris.Wrap(ErrCorrupt, "bfstorage: disk id file")
	}
	if version != formatVersion {
		return "", eris.Wrapf(ErrFormat, "bfstorage: data folder has version %d", version)
	}
	if string(encodeDisk(id)) != string(data) {
		return "", eris.Wrap(ErrCorrupt, "bfstorage: disk id checksum")
	}
	return id, nil
}

// after returns the entries that follow the snapshot.
func (p *replay) after(s *Snapshot) ([]Entry, error) {
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
		// The crash came between a received snapshot and the reset of the log;
		// nothing after it was acknowledged.
		return nil, nil
	}
	return entries[at+1:], nil
}

// Save makes the hard state, if any, and the entries durable.
func (s *Storage) Save(hard *HardState, entries []Entry) error {
	return s.guard(func() error { return s.wal.save(hard, entries) })
}

// InstallSnapshot makes a snapshot of another replica durable and drops all entries.
func (s *Storage) InstallSnapshot(snap Snapshot) error {
	return s.guard(func() error {
		if err := s.SaveSnapshot(snap); err != nil {
			return err
		}
		return s.wal.reset(snap.Index, snap.Term)
	})
}

// SaveSnapshot makes a snapshot durable and removes older ones.
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

// Compact removes log segments that only hold entries up to the index, which a
// durable snapshot must cover.
func (s *Storage) Compact(index uint64) error {
	return s.guard(func() error {
		s.snapMu.Lock()
		index = min(index, s.snapshot)
		s.snapMu.Unlock()
		return s.wal.compact(index)
	})
}

// Close closes the current segment and gives the folder's lock back.
func (s *Storage) Close() error {
	defer s.unlock()
	_ = s.commits.close()
	return s.wal.file.Close()
}

func (s *Storage) guard(fn func() error) error {
	if s.failed == nil {
		s.failed = fn()
	}
	return s.failed
}
