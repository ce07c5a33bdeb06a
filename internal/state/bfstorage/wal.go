package bfstorage

import (
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"
)

const walSuffix = ".wal"

type (
	// wal is a segmented log of checksummed frames. A frame is written and synced
	// before the next one, so only the last frame can be torn.
	wal struct {
		fs       FS
		dir      string
		maxBytes int

		file    File
		seq     uint64
		salt    uint64
		frames  uint32
		size    int
		hard    HardState
		buf     []byte
		closed  []segment
		current segment
	}

	segment struct {
		name string
		// last is the highest index in the segment.
		last uint64
	}

	// replay collects what the segments hold.
	replay struct {
		hard    HardState
		entries []Entry
		// next is the expected index; zero before the first record.
		next uint64
	}
)

func (p *replay) apply(rec record) error {
	switch rec.kind {
	case recordHardState:
		p.hard = rec.hard
	case recordReset:
		p.entries, p.next = nil, rec.entry.Index+1
	case recordEntry:
		e := rec.entry
		if p.next != 0 && e.Index > p.next || e.Index == 0 {
			return eris.Wrapf(ErrCorrupt, "bfstorage: entry %d follows entry %d", e.Index, p.next-1)
		}
		if len(p.entries) > 0 && e.Index > p.entries[0].Index {
			p.entries = p.entries[:e.Index-p.entries[0].Index]
		} else {
			p.entries = nil
		}
		p.entries, p.next = append(p.entries, e), e.Index+1
	}
	return nil
}

// openWAL replays all segments, cuts a torn tail and starts a new segment.
func openWAL(fs FS, dir string, maxBytes int, names []string) (*wal, *replay, error) {
	w := &wal{fs: fs, dir: dir, maxBytes: maxBytes}
	var p replay
	var segments []string
	for _, name := range names {
		if strings.HasSuffix(name, walSuffix) {
			segments = append(segments, name)
		}
	}
	for i, name := range segments {
		if err := w.readSegment(name, i == len(segments)-1, &p); err != nil {
			return nil, nil, err
		}
	}
	w.hard = p.hard
	if err := w.startSegment(); err != nil {
		return nil, nil, err
	}
	return w, &p, nil
}

func (w *wal) readSegment(name string, newest bool, p *replay) error {
	path := filepath.Join(w.dir, name)
	data, err := w.fs.ReadFile(path)
	if err != nil {
		return eris.Wrap(err, "bfstorage: read segment")
	}
	seq, salt, err := decodeSegmentHeader(data)
	if err != nil {
		if newest && len(data) <= segmentHeader && !eris.Is(err, ErrFormat) {
			// The crash came before the header was synced; no frame follows it.
			return eris.Wrap(w.fs.Remove(path), "bfstorage: remove unfinished segment")
		}
		return eris.Wrapf(err, "bfstorage: segment %s", name)
	}
	if name != segmentName(seq) || w.seq != 0 && seq != w.seq+1 {
		return eris.Wrapf(ErrCorrupt, "bfstorage: segment %s has number %d after %d", name, seq, w.seq)
	}
	w.seq = seq
	seg := segment{name: name}
	at, number := segmentHeader, uint32(0)
	for at < len(data) {
		got, payload, ok := readFrame(data[at:], salt)
		if !ok || got != number {
			if !newest || validFrameAfter(data[at+1:], salt, number) {
				return eris.Wrapf(ErrCorrupt, "bfstorage: segment %s, frame at byte %d", name, at)
			}
			if err := w.fs.Truncate(path, int64(at)); err != nil {
				return eris.Wrap(err, "bfstorage: cut torn frame")
			}
			break
		}
		records, err := decodeRecords(payload)
		if err != nil {
			return eris.Wrapf(err, "bfstorage: segment %s, frame at byte %d", name, at)
		}
		for _, rec := range records {
			if err := p.apply(rec); err != nil {
				return err
			}
			seg.last = max(seg.last, rec.entry.Index)
		}
		at += frameHeader + len(payload)
		number++
	}
	w.closed = append(w.closed, seg)
	return nil
}

// validFrameAfter tells whether a whole frame with a later number stands after a
// damaged one. Then the damaged frame had been synced, so this is corruption and
// not a torn write.
func validFrameAfter(data []byte, salt uint64, damaged uint32) bool {
	for at := range data {
		if number, _, ok := readFrame(data[at:], salt); ok && number > damaged {
			return true
		}
	}
	return false
}

func segmentName(seq uint64) string { return fmt.Sprintf("%016x%s", seq, walSuffix) }

// startSegment makes the next segment current. It begins with the hard state, so
// that older segments can be removed.
func (w *wal) startSegment() error {
	if w.file != nil {
		if err := w.file.Close(); err != nil {
			return eris.Wrap(err, "bfstorage: close segment")
		}
		w.closed = append(w.closed, w.current)
	}
	w.seq++
	w.salt, w.frames, w.size = rand.Uint64(), 0, segmentHeader
	w.current = segment{name: segmentName(w.seq)}
	f, err := w.fs.Create(filepath.Join(w.dir, w.current.name))
	if err != nil {
		return eris.Wrap(err, "bfstorage: create segment")
	}
	w.file = f
	if _, err := f.Write(encodeSegmentHeader(w.seq, w.salt)); err != nil {
		return eris.Wrap(err, "bfstorage: write segment header")
	}
	if err := f.Sync(); err != nil {
		return eris.Wrap(err, "bfstorage: sync segment header")
	}
	if err := w.fs.SyncDir(w.dir); err != nil {
		return eris.Wrap(err, "bfstorage: sync folder")
	}
	return w.writeFrame(appendHardState(w.begin(), w.hard))
}

func (w *wal) begin() []byte {
	return append(w.buf[:0], make([]byte, frameHeader)...)
}

// writeFrame writes and syncs one frame.
func (w *wal) writeFrame(frame []byte) error {
	sealFrame(frame, w.salt, w.frames)
	w.frames++
	w.size += len(frame)
	if _, err := w.file.Write(frame); err != nil {
		return eris.Wrap(err, "bfstorage: write frame")
	}
	if err := w.file.Sync(); err != nil {
		return eris.Wrap(err, "bfstorage: sync frame")
	}
	w.buf = frame
	if cap(w.buf) > splitFrameBytes {
		w.buf = nil
	}
	return nil
}

// save makes the hard state and the entries durable, with one sync where they fit one frame.
func (w *wal) save(hard *HardState, entries []Entry) error {
	if w.size >= w.maxBytes {
		if err := w.startSegment(); err != nil {
			return err
		}
	}
	frame := w.begin()
	if hard != nil {
		w.hard = *hard
		frame = appendHardState(frame, w.hard)
	}
	for _, e := range entries {
		if len(frame) > frameHeader && len(frame)+len(e.Data) > splitFrameBytes {
			if err := w.writeFrame(frame); err != nil {
				return err
			}
			frame = w.begin()
		}
		frame = appendEntry(frame, e)
		w.current.last = max(w.current.last, e.Index)
	}
	if len(frame) == frameHeader {
		return nil
	}
	return w.writeFrame(frame)
}

// reset drops all entries; the log goes on after the index.
func (w *wal) reset(index, term uint64) error {
	w.current.last = max(w.current.last, index)
	return w.writeFrame(appendReset(w.begin(), index, term))
}

// compact removes the oldest segments whose entries are all up to the index.
func (w *wal) compact(index uint64) error {
	removed := 0
	for removed < len(w.closed) && w.closed[removed].last <= index {
		if err := w.fs.Remove(filepath.Join(w.dir, w.closed[removed].name)); err != nil {
			return eris.Wrap(err, "bfstorage: remove segment")
		}
		removed++
		// Each removal is made durable before the next, so that no gap can appear
		// between the segments that survive a crash.
		if err := w.fs.SyncDir(w.dir); err != nil {
			return eris.Wrap(err, "bfstorage: sync folder")
		}
	}
	w.closed = w.closed[removed:]
	return nil
}
