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
	// wal is a write-ahead log of checksummed frames in segments. Each frame is synced
	// before the next one is written, so only the last frame can be incomplete.
	wal struct {
		fs       FS
		dir      string
		maxBytes int

		file      File
		seq       uint64
		salt      uint64
		frames    uint32
		size      int
		hardState HardState
		buf       []byte
		closed    []segment
		current   segment
	}

	segment struct {
		name string
		// lastIndex is the highest log index in the segment.
		lastIndex uint64
	}

	// replay is the state that results from reading the segments.
	replay struct {
		hardState HardState
		entries   []Entry
		// nextIndex is the expected index of the next entry, or 0 before the first
		// record.
		nextIndex uint64
	}
)

func (p *replay) apply(rec record) error {
	switch rec.kind {
	case recordHardState:
		p.hardState = rec.hardState
	case recordReset:
		p.entries, p.nextIndex = nil, rec.entry.Index+1
	case recordEntry:
		e := rec.entry
		if p.nextIndex != 0 && e.Index > p.nextIndex || e.Index == 0 {
			return eris.Wrapf(ErrCorrupt, "bfstorage: entry %d follows entry %d", e.Index, p.nextIndex-1)
		}
		if len(p.entries) > 0 && e.Index > p.entries[0].Index {
			p.entries = p.entries[:e.Index-p.entries[0].Index]
		} else {
			p.entries = nil
		}
		p.entries, p.nextIndex = append(p.entries, e), e.Index+1
	}
	return nil
}

// openWAL reads all segments, truncates an incomplete last frame and starts a new segment.
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
	w.hardState = p.hardState
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
		if newest && len(data) <= segmentHeaderBytes && !eris.Is(err, ErrFormat) {
			// The process crashed before the header was synced, so no frame follows.
			return eris.Wrap(w.fs.Remove(path), "bfstorage: remove unfinished segment")
		}
		return eris.Wrapf(err, "bfstorage: segment %s", name)
	}
	if name != segmentName(seq) || w.seq != 0 && seq != w.seq+1 {
		return eris.Wrapf(ErrCorrupt, "bfstorage: segment %s has number %d after %d", name, seq, w.seq)
	}
	w.seq = seq
	seg := segment{name: name}
	at, number := segmentHeaderBytes, uint32(0)
	for at < len(data) {
		got, payload, ok := readFrame(data[at:], salt)
		if !ok || got != number {
			if !newest || validFrameAfter(data[at+1:], salt, number) {
				return eris.Wrapf(ErrCorrupt, "bfstorage: segment %s, frame at byte %d", name, at)
			}
			if err := w.fs.Truncate(path, int64(at)); err != nil {
				return eris.Wrap(err, "bfstorage: truncate incomplete frame")
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
			seg.lastIndex = max(seg.lastIndex, rec.entry.Index)
		}
		at += frameHeaderBytes + len(payload)
		number++
	}
	w.closed = append(w.closed, seg)
	return nil
}

// validFrameAfter reports whether a valid frame with a higher number follows a damaged
// one. The damaged frame has then been synced, so it is corrupt and not merely incomplete.
func validFrameAfter(data []byte, salt uint64, damaged uint32) bool {
	for at := range data {
		if number, _, ok := readFrame(data[at:], salt); ok && number > damaged {
			return true
		}
	}
	return false
}

func segmentName(seq uint64) string { return fmt.Sprintf("%016x%s", seq, walSuffix) }

// startSegment starts the next segment. Its first record is the hard state, so that older
// segments can be removed.
func (w *wal) startSegment() error {
	if w.file != nil {
		if err := w.file.Close(); err != nil {
			return eris.Wrap(err, "bfstorage: close segment")
		}
		w.closed = append(w.closed, w.current)
	}
	w.seq++
	w.salt, w.frames, w.size = rand.Uint64(), 0, segmentHeaderBytes
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
		return eris.Wrap(err, "bfstorage: sync directory")
	}
	return w.writeFrame(appendHardState(w.newFrame(), w.hardState))
}

// newFrame returns an empty frame with room for its header.
func (w *wal) newFrame() []byte {
	return append(w.buf[:0], make([]byte, frameHeaderBytes)...)
}

// writeFrame writes and syncs one frame.
func (w *wal) writeFrame(frame []byte) error {
	writeFrameHeader(frame, w.salt, w.frames)
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

// save makes the hard state and the entries durable, with a single sync if they fit into
// one frame.
func (w *wal) save(hard *HardState, entries []Entry) error {
	if w.size >= w.maxBytes {
		if err := w.startSegment(); err != nil {
			return err
		}
	}
	frame := w.newFrame()
	if hard != nil {
		w.hardState = *hard
		frame = appendHardState(frame, w.hardState)
	}
	for _, e := range entries {
		if len(frame) > frameHeaderBytes && len(frame)+len(e.Data) > splitFrameBytes {
			if err := w.writeFrame(frame); err != nil {
				return err
			}
			frame = w.newFrame()
		}
		frame = appendEntry(frame, e)
		w.current.lastIndex = max(w.current.lastIndex, e.Index)
	}
	if len(frame) == frameHeaderBytes {
		return nil
	}
	return w.writeFrame(frame)
}

// reset drops all entries. The next entry follows the one at the index.
func (w *wal) reset(index, term uint64) error {
	w.current.lastIndex = max(w.current.lastIndex, index)
	return w.writeFrame(appendReset(w.newFrame(), index, term))
}

// compact removes the segments that hold only entries up to the index.
func (w *wal) compact(index uint64) error {
	removed := 0
	for removed < len(w.closed) && w.closed[removed].lastIndex <= index {
		if err := w.fs.Remove(filepath.Join(w.dir, w.closed[removed].name)); err != nil {
			return eris.Wrap(err, "bfstorage: remove segment")
		}
		removed++
		// Each removal is made durable before the next one, so that a crash can't
		// leave a gap between segments.
		if err := w.fs.SyncDir(w.dir); err != nil {
			return eris.Wrap(err, "bfstorage: sync directory")
		}
	}
	w.closed = w.closed[removed:]
	return nil
}
