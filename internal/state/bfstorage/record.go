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
	walMagic      = "BFWAL\x00"
	formatVersion = 1
	segmentHeader = len(walMagic) + 2 + 8 + 8 + 4
	frameHeader   = 16
	// maxFrameBytes bounds a frame, so that a damaged length is noticed before memory is taken for it.
	maxFrameBytes = 64 << 20
	// splitFrameBytes is the size from which a group of entries goes on in a further frame.
	splitFrameBytes = 16 << 20
)

var (
	// ErrCorrupt is returned where data that was synced can't be read back.
	ErrCorrupt = eris.New("bfstorage: data is corrupt")
	// ErrFormat is returned for a data folder of another format version.
	ErrFormat = eris.New("bfstorage: unsupported format version")

	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

type (
	// Entry is one record of the replicated log.
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
		kind  byte
		entry Entry
		hard  HardState
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

type reader struct {
	b   []byte
	bad bool
}

func (r *reader) byte() byte {
	if len(r.b) == 0 {
		r.bad = true
		return 0
	}
	c := r.b[0]
	r.b = r.b[1:]
	return c
}

func (r *reader) uvarint() uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 {
		r.bad = true
		return 0
	}
	r.b = r.b[n:]
	return v
}

func (r *reader) bytes() []byte {
	n := r.uvarint()
	if r.bad || n > uint64(len(r.b)) {
		r.bad = true
		return nil
	}
	p := r.b[:n:n]
	r.b = r.b[n:]
	return p
}

// decodeRecords reads the records of a frame's payload.
func decodeRecords(payload []byte) ([]record, error) {
	var out []record
	r := reader{b: payload}
	for len(r.b) > 0 {
		rec := record{kind: r.byte()}
		switch rec.kind {
		case recordEntry:
			rec.entry = Entry{Index: r.uvarint(), Term: r.uvarint(), Kind: r.byte(), Data: r.bytes()}
		case recordHardState:
			rec.hard = HardState{Term: r.uvarint(), Vote: string(r.bytes())}
		case recordReset:
			rec.entry = Entry{Index: r.uvarint(), Term: r.uvarint()}
		default:
			r.bad = true
		}
		if r.bad {
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
	if len(b) < segmentHeader || string(b[:len(walMagic)]) != walMagic {
		return 0, 0, eris.Wrap(ErrCorrupt, "bfstorage: segment header")
	}
	at := segmentHeader - 4
	if crc32.Checksum(b[:at], castagnoli) != binary.LittleEndian.Uint32(b[at:]) {
		return 0, 0, eris.Wrap(ErrCorrupt, "bfstorage: segment header checksum")
	}
	if v := binary.LittleEndian.Uint16(b[len(walMagic):]); v != formatVersion {
		return 0, 0, eris.Wrapf(ErrFormat, "bfstorage: segment has version %d", v)
	}
	return binary.LittleEndian.Uint64(b[8:]), binary.LittleEndian.Uint64(b[16:]), nil
}

// frameHeadChecksum covers the segment's random salt, so bytes inside a command that
// look like a frame are not taken for one.
func frameHeadChecksum(salt uint64, length, number uint32) uint32 {
	var head [16]byte
	binary.LittleEndian.PutUint64(head[:], salt)
	binary.LittleEndian.PutUint32(head[8:], length)
	binary.LittleEndian.PutUint32(head[12:], number)
	return crc32.Checksum(head[:], castagnoli)
}

// sealFrame fills in the header: length, number, checksum of both, checksum of the payload.
func sealFrame(frame []byte, salt uint64, number uint32) {
	payload := frame[frameHeader:]
	length := uint32(len(payload))
	binary.LittleEndian.PutUint32(frame, length)
	binary.LittleEndian.PutUint32(frame[4:], number)
	binary.LittleEndian.PutUint32(frame[8:], frameHeadChecksum(salt, length, number))
	binary.LittleEndian.PutUint32(frame[12:], crc32.Checksum(payload, castagnoli))
}

// readFrame returns the number and the payload of the frame at the start of b.
func readFrame(b []byte, salt uint64) (number uint32, payload []byte, ok bool) {
	if len(b) < frameHeader {
		return 0, nil, false
	}
	length := binary.LittleEndian.Uint32(b)
	number = binary.LittleEndian.Uint32(b[4:])
	if length == 0 || length > maxFrameBytes || int(length) > len(b)-frameHeader {
		return 0, nil, false
	}
	if frameHeadChecksum(salt, length, number) != binary.LittleEndian.Uint32(b[8:]) {
		return 0, nil, false
	}
	payload = b[frameHeader : frameHeader+int(length)]
	return number, payload, crc32.Checksum(payload, castagnoli) == binary.LittleEndian.Uint32(b[12:])
}
