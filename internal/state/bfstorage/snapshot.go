package bfstorage

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"
)

const (
	snapshotMagic       = "BFSNP\x00"
	snapshotHeaderBytes = len(snapshotMagic) + 2 + 8 + 8 + 4 + 8
	snapshotSuffix      = ".snapshot"
	temporarySuffix     = ".tmp"
)

// Snapshot is the state after the entry at Index. Meta holds what the replica needs in
// addition to the state, such as the membership.
type Snapshot struct {
	Index uint64
	Term  uint64
	Meta  []byte
	Data  []byte
}

func snapshotName(index uint64) string { return fmt.Sprintf("%016x%s", index, snapshotSuffix) }

func encodeSnapshotHeader(s Snapshot) []byte {
	b := append([]byte(snapshotMagic), 0, 0)
	binary.LittleEndian.PutUint16(b[len(snapshotMagic):], formatVersion)
	b = binary.LittleEndian.AppendUint64(b, s.Index)
	b = binary.LittleEndian.AppendUint64(b, s.Term)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(s.Meta)))
	b = binary.LittleEndian.AppendUint64(b, uint64(len(s.Data)))
	return append(b, s.Meta...)
}

// decodeSnapshot decodes a snapshot file.
func decodeSnapshot(b []byte) (Snapshot, error) {
	if len(b) < snapshotHeaderBytes+4 || string(b[:len(snapshotMagic)]) != snapshotMagic {
		return Snapshot{}, eris.Wrap(ErrCorrupt, "bfstorage: snapshot header")
	}
	sum := crc32.Checksum(b[:len(b)-4], castagnoli)
	if sum != binary.LittleEndian.Uint32(b[len(b)-4:]) {
		return Snapshot{}, eris.Wrap(ErrCorrupt, "bfstorage: snapshot checksum")
	}
	if v := binary.LittleEndian.Uint16(b[len(snapshotMagic):]); v != formatVersion {
		return Snapshot{}, eris.Wrapf(ErrFormat, "bfstorage: snapshot has version %d", v)
	}
	s := Snapshot{Index: binary.LittleEndian.Uint64(b[8:]), Term: binary.LittleEndian.Uint64(b[16:])}
	meta := uint64(binary.LittleEndian.Uint32(b[24:]))
	data := binary.LittleEndian.Uint64(b[28:])
	body := b[snapshotHeaderBytes : len(b)-4]
	if meta > uint64(len(body)) || data != uint64(len(body))-meta {
		return Snapshot{}, eris.Wrap(ErrCorrupt, "bfstorage: snapshot lengths")
	}
	s.Meta, s.Data = body[:meta:meta], body[meta:]
	return s, nil
}

// writeDurable writes a file under a temporary name, syncs it, renames it and syncs the
// directory.
func writeDurable(fs FS, dir, name string, parts ...[]byte) error {
	path := filepath.Join(dir, name)
	f, err := fs.Create(path + temporarySuffix)
	if err != nil {
		return eris.Wrapf(err, "bfstorage: create %s", name)
	}
	for _, p := range parts {
		if _, err := f.Write(p); err != nil {
			return eris.Wrapf(err, "bfstorage: write %s", name)
		}
	}
	if err := f.Sync(); err != nil {
		return eris.Wrapf(err, "bfstorage: sync %s", name)
	}
	if err := f.Close(); err != nil {
		return eris.Wrapf(err, "bfstorage: close %s", name)
	}
	if err := fs.Rename(path+temporarySuffix, path); err != nil {
		return eris.Wrapf(err, "bfstorage: rename %s", name)
	}
	return eris.Wrap(fs.SyncDir(dir), "bfstorage: sync directory")
}

func writeSnapshot(fs FS, dir string, s Snapshot) error {
	head := encodeSnapshotHeader(s)
	sum := crc32.Update(crc32.Checksum(head, castagnoli), castagnoli, s.Data)
	return writeDurable(fs, dir, snapshotName(s.Index), head, s.Data, binary.LittleEndian.AppendUint32(nil, sum))
}

// readSnapshot reads the newest snapshot, or returns nil if there is none. A file under
// its final name has been synced, so a damaged one is an error.
func readSnapshot(fs FS, dir string, names []string) (*Snapshot, error) {
	newest := ""
	for _, name := range names {
		if strings.HasSuffix(name, snapshotSuffix) {
			newest = name // names sort by index
		}
	}
	if newest == "" {
		return nil, nil
	}
	data, err := fs.ReadFile(filepath.Join(dir, newest))
	if err != nil {
		return nil, eris.Wrap(err, "bfstorage: read snapshot")
	}
	s, err := decodeSnapshot(data)
	if err != nil {
		return nil, eris.Wrapf(err, "bfstorage: snapshot %s", newest)
	}
	if newest != snapshotName(s.Index) {
		return nil, eris.Wrapf(ErrCorrupt, "bfstorage: snapshot %s has index %d", newest, s.Index)
	}
	return &s, nil
}

func removeOlderSnapshots(fs FS, dir string, index uint64) error {
	names, err := fs.ReadDir(dir)
	if err != nil {
		return eris.Wrap(err, "bfstorage: list directory")
	}
	for _, name := range names {
		if strings.HasSuffix(name, snapshotSuffix) && name < snapshotName(index) {
			if err := fs.Remove(filepath.Join(dir, name)); err != nil {
				return eris.Wrap(err, "bfstorage: remove snapshot")
			}
		}
	}
	return nil
}
