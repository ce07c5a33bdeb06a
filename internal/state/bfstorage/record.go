package bfstorage

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/rotisserie/eris"
)

const (
	recordEntry byte = iota + 1
	recordHardState
	recordReset
)

const (
	walMagic           = "BFWAL\x00"
	formatVersion      = 1
	segmentHeaderBytes = len(walMagic) + 2 + 8 + 8 + 4
	frameHeaderBytes   = 16
	// maxFrameBytes is the maximum size of a frame's payload, so that a damaged length
	// is detected before memory is allocated for it.
	maxFrameBytes = 64 << 20
	// splitFrameBytes is the size above which a group of entries continues in another
	// frame.
	splitFrameBytes = 16 << 20
)

var (
	// ErrCorrupt is returned if data that was synced can't be read back.
	ErrCorrupt = eris.New("bfstorage: data is corrupt")
	// ErrFormat is returned for a data directory of another format version.
	ErrFormat = eris.New("bfstorage: unsupported format version")

	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

type (
	// Entry is an entry of the replicated log.
	Entry struct {
		Index uint64
		Term  uint64
		Kind  uint8
		Data  []byte
	}

	// HardState is the term and the vote of a replica.
	HardState struct {
		Term uint64
		Vote string
	}

	record struct {
		kind      byte
		entry     Entry
		hardState HardState
	}
)

func appendEntry(b []byte, e Entry) []byte {
	b = append(b, recordEntry)
	b = binary.AppendUvarint(b, e.Index)
	b = binary.AppendUvarint(b, e.Term)
	b = append(b, e.Kind)
	b = binary.AppendUvarint(b, uint64(len(e.Data)))
	return append(b, e.Data...)
}

func appendHardState(b []byte, h HardState) []byte {
	b = append(b, recordHardState)
	b = binary.AppendUvarint(b, h.Term)
	b = binary.AppendUvarint(b, uint64(len(h.Vote)))
	return append(b, h.Vote...)
}

func appendReset(b []byte, index, term uint64) []byte {
	b = append(b, recordReset)
	b = binary.AppendUvarint(b, index)
	return binary.AppendUvarint(b, term)
}

type recordReader struct {
	b      []byte
	failed bool
}

func (r *recordReader) byte() byte {
	if len(r.b) == 0 {
		r.failed = true
		return 0
	}
	c := r.b[0]
	r.b = r.b[1:]
	return c
}

func (r *recordReader) uvarint() uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 {
		r.failed = true
		return 0
	}
	r.b = r.b[n:]
	return v
}

func (r *recordReader) bytes() []byte {
	n := r.uvarint()
	if r.failed || n > uint64(len(r.b)) {
		r.failed = true
		return nil
	}
	p := r.b[:n:n]
	r.b = r.b[n:]
	return p
}

// decodeRecords decodes the records in the payload of a frame.
func decodeRecords(payload []byte) ([]record, error) {
	var out []record
	r := recordReader{b: payload}
	for len(r.b) > 0 {
		rec := record{kind: r.byte()}
		switch rec.kind {
		case recordEntry:
			rec.entry = Entry{Index: r.uvarint(), Term: r.uvarint(), Kind: r.byte(), Data: r.bytes()}
		case recordHardState:
			rec.hardState = HardState{Term: r.uvarint(), Vote: string(r.bytes())}
		case recordReset:
			rec.entry = Entry{Index: r.uvarint(), Term: r.uvarint()}
		default:
			r.failed = true
		}
		if r.failed {
			return nil, eris.Wrap(ErrCorrupt, "bfstorage: malformed record")
		}
		out = append(out, rec)
	}
	return out, nil
}

func encodeSegmentHeader(seq, salt uint64) []byte {
	b := append([]byte(walMagic), 0, 0)
	binary.LittleEndian.PutUint16(b[len(walMagic):], formatVersion)
	b = binary.LittleEndian.AppendUint64(b, seq)
	b = binary.LittleEndian.AppendUint64(b, salt)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

func decodeSegmentHeader(b []byte) (seq, salt uint64, err error) {
	if len(b) < segmentHeaderBytes || string(b[:len(walMagic)]) != walMagic {
		return 0, 0, eris.Wrap(ErrCorrupt, "bfstorage: segment header")
	}
	at := segmentHeaderBytes - 4
	if crc32.Checksum(b[:at], castagnoli) != binary.LittleEndian.Uint32(b[at:]) {
		return 0, 0, eris.Wrap(ErrCorrupt, "bfstorage: segment header checksum")
	}
	if v := binary.LittleEndian.Uint16(b[len(walMagic):]); v != formatVersion {
		return 0, 0, eris.Wrapf(ErrFormat, "bfstorage: segment has version %d", v)
	}
	return binary.LittleEndian.Uint64(b[8:]), binary.LittleEndian.Uint64(b[16:]), nil
}

// frameHeaderChecksum returns the checksum of a frame's header. It covers the segment's
// random salt, so that bytes of a command that look like a frame are not taken for one.
func frameHeaderChecksum(salt uint64, length, number uint32) uint32 {
	var head [16]byte
	binary.LittleEndian.PutUint64(head[:], salt)
	binary.LittleEndian.PutUint32(head[8:], length)
	binary.LittleEndian.PutUint32(head[12:], number)
	return crc32.Checksum(head[:], castagnoli)
}

// writeFrameHeader writes the header of a frame: the payload's length, the frame's
// number, the checksum of both and the checksum of the payload.
func writeFrameHeader(frame []byte, salt uint64, number uint32) {
	payload := frame[frameHeaderBytes:]
	length := uint32(len(payload))
	binary.LittleEndian.PutUint32(frame, length)
	binary.LittleEndian.PutUint32(frame[4:], number)
	binary.LittleEndian.PutUint32(frame[8:], frameHeaderChecksum(salt, length, number))
	binary.LittleEndian.PutUint32(frame[12:], crc32.Checksum(payload, castagnoli))
}

// readFrame returns the number and the payload of the frame at the start of b. It
// reports false if there is no valid frame.
func readFrame(b []byte, salt uint64) (number uint32, payload []byte, ok bool) {
	if len(b) < frameHeaderBytes {
		return 0, nil, false
	}
	length := binary.LittleEndian.Uint32(b)
	number = binary.LittleEndian.Uint32(b[4:])
	if length == 0 || length > maxFrameBytes || int(length) > len(b)-frameHeaderBytes {
		return 0, nil, false
	}
	if frameHeaderChecksum(salt, length, number) != binary.LittleEndian.Uint32(b[8:]) {
		return 0, nil, false
	}
	payload = b[frameHeaderBytes : frameHeaderBytes+int(length)]
	return number, payload, crc32.Checksum(payload, castagnoli) == binary.LittleEndian.Uint32(b[12:])
}
