package bfplacement

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"net/netip"
	"slices"
)

const (
	formatAssignment = 0xA1
	formatDelta      = 0xA2
	formatPrefixes   = 0xA3

	// maxBlocks bounds what a decoder allocates for a message.
	maxBlocks    = 1 << 21
	maxSites     = 1 << 14
	maxLists     = 1 << 16
	maxNameBytes = 63
	// maxChangeBytes bounds an encoded block change, which is a gap and a list index.
	maxChangeBytes = 8
)

// reader decodes a message; after the first error every read returns zero.
type reader struct {
	data []byte
	err  error
}

func (r *reader) uint() uint64 {
	v, n := binary.Uvarint(r.data)
	if n <= 0 {
		r.fail("truncated varint")
		return 0
	}
	r.data = r.data[n:]
	return v
}

func (r *reader) count(limit int, field string) int {
	value := r.uint()
	if value > uint64(limit) {
		r.fail("%s: %d exceeds %d", field, value, limit)
		return 0
	}
	return int(value)
}

func (r *reader) bytes(n int) []byte {
	if n > len(r.data) {
		r.fail("truncated field of %d bytes", n)
		return make([]byte, n)
	}
	out := r.data[:n]
	r.data = r.data[n:]
	return out
}

func (r *reader) fail(format string, args ...any) {
	if r.err == nil {
		r.err = fmt.Errorf("bfplacement: "+format, args...)
	}
	r.data = nil
}

// appendChecksum appends the checksum of the message.
func appendChecksum(data []byte) []byte {
	return binary.BigEndian.AppendUint32(data, crc32.Checksum(data, castagnoliTable))
}

func openMessage(data []byte, format byte) (*reader, error) {
	if len(data) < 5 || data[0] != format {
		return nil, fmt.Errorf("bfplacement: message is not of format %#x", format)
	}
	body := data[:len(data)-4]
	if crc32.Checksum(body, castagnoliTable) != binary.BigEndian.Uint32(data[len(body):]) {
		return nil, fmt.Errorf("bfplacement: message has a wrong checksum")
	}
	return &reader{data: body[1:]}, nil
}

func (r *reader) finish() error {
	if r.err == nil && len(r.data) > 0 {
		r.fail("%d trailing bytes", len(r.data))
	}
	return r.err
}

// Encode returns the full assignment without its prefixes.
func (a *Assignment) Encode() []byte {
	out := []byte{formatAssignment}
	out = binary.AppendUvarint(out, a.Version)
	out = binary.AppendUvarint(out, uint64(a.BlockSetChecksum))
	out = appendNames(out, a.Sites)
	out = binary.AppendUvarint(out, uint64(len(a.Lists)))
	for _, l := range a.Lists {
		out = appendList(out, l)
	}
	out = binary.AppendUvarint(out, uint64(len(a.ListIndex)))
	for i := 0; i < len(a.ListIndex); {
		run := runLength(a.ListIndex[i:])
		out = binary.AppendUvarint(out, uint64(a.ListIndex[i]))
		out = binary.AppendUvarint(out, uint64(run))
		i += run
	}
	return appendChecksum(out)
}

func runLength(list []uint16) int {
	n := 1
	for n < len(list) && list[n] == list[0] {
		n++
	}
	return n
}

func appendNames(out []byte, names []string) []byte {
	out = binary.AppendUvarint(out, uint64(len(names)))
	for _, name := range names {
		out = append(binary.AppendUvarint(out, uint64(len(name))), name...)
	}
	return out
}

func appendList(out []byte, l SiteList) []byte {
	out = append(out, l.Classes, byte(len(l.Sites)))
	for _, s := range l.Sites {
		out = binary.AppendUvarint(out, uint64(s))
	}
	return out
}

func (r *reader) siteNames() []string {
	var out []string
	for range r.count(maxSites, "sites") {
		out = append(out, string(r.bytes(r.count(maxNameBytes, "length of a site name"))))
		if r.err != nil {
			return nil
		}
	}
	return out
}

func (r *reader) siteList() SiteList {
	l := SiteList{Classes: r.bytes(1)[0]}
	for range r.count(maxSitesPerList, "sites in a list") {
		l.Sites = append(l.Sites, uint16(r.count(maxSites, "site index")))
	}
	return l
}

// DecodeAssignment decodes a full assignment.
func DecodeAssignment(data []byte) (*Assignment, error) {
	r, err := openMessage(data, formatAssignment)
	if err != nil {
		return nil, err
	}
	a := &Assignment{Version: r.uint(), BlockSetChecksum: uint32(r.uint()), Sites: r.siteNames()}
	for range r.count(maxLists, "lists") {
		a.Lists = append(a.Lists, r.siteList())
		if r.err != nil {
			return nil, r.err
		}
	}
	n := r.count(maxBlocks, "blocks")
	a.ListIndex = make([]uint16, 0, n)
	for len(a.ListIndex) < n && r.err == nil {
		listIndex, run := uint16(r.count(maxLists-1, "list index")), r.count(n-len(a.ListIndex), "run length")
		if run == 0 {
			r.fail("run length is zero")
		}
		a.ListIndex = append(a.ListIndex, slices.Repeat([]uint16{listIndex}, run)...)
	}
	if err := r.finish(); err != nil {
		return nil, err
	}
	return a, a.validate()
}

// checksum covers the lists and the list index of each block. The only other field that a
// delta changes is Version.
func (a *Assignment) checksum() uint32 {
	var encoded []byte
	for _, l := range a.Lists {
		encoded = appendList(encoded, l)
	}
	crc := crc32.Checksum(encoded, castagnoliTable)
	buf := make([]byte, 0, 8192)
	for i, listIndex := range a.ListIndex {
		buf = binary.LittleEndian.AppendUint16(buf, listIndex)
		if len(buf) == cap(buf) || i == len(a.ListIndex)-1 {
			crc = crc32.Update(crc, castagnoliTable, buf)
			buf = buf[:0]
		}
	}
	return crc
}

// EncodeDelta encodes the change from one assignment to a later one with the same
// blocks and sites. The delta carries the checksum of the result.
func EncodeDelta(from, to *Assignment) ([]byte, error) {
	if from.BlockSetChecksum != to.BlockSetChecksum || len(from.ListIndex) != len(to.ListIndex) || !slices.Equal(from.Sites, to.Sites) || len(from.Lists) > len(to.Lists) {
		return nil, fmt.Errorf("bfplacement: cannot encode a delta between assignments of different blocks or sites")
	}
	out := []byte{formatDelta}
	out = binary.AppendUvarint(out, from.Version)
	out = binary.AppendUvarint(out, to.Version)
	out = binary.AppendUvarint(out, uint64(to.BlockSetChecksum))
	out = appendChangedLists(out, from.Lists, to.Lists)
	blocks := deflate(changedBlocks(from.ListIndex, to.ListIndex))
	out = append(binary.AppendUvarint(out, uint64(len(blocks))), blocks...)
	return appendChecksum(binary.BigEndian.AppendUint32(out, to.checksum())), nil
}

// changedBlocks encodes each changed block as the gap to the previous changed block
// and the index of its new list.
func changedBlocks(from, to []uint16) []byte {
	var out []byte
	last := 0
	for b, listIndex := range to {
		if listIndex != from[b] {
			out = binary.AppendUvarint(out, uint64(b-last)+1)
			out = binary.AppendUvarint(out, uint64(listIndex))
			last = b
		}
	}
	return append(out, 0)
}

// deflate compresses the data; changes of neighbouring blocks resemble each other.
func deflate(data []byte) []byte {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err == nil {
		if _, err = w.Write(data); err == nil {
			err = w.Close()
		}
	}
	if err != nil {
		panic(err) // The compression level is valid, and writes to memory don't fail.
	}
	return out.Bytes()
}

// inflate returns a reader of the decompressed data, whose size is bounded by the number
// of blocks.
func (r *reader) inflate(n, blocks int) *reader {
	limit := int64(blocks+1) * maxChangeBytes
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(r.bytes(n))), limit+1))
	if err != nil || int64(len(data)) > limit {
		r.fail("block changes are damaged or too large")
		return &reader{}
	}
	return &reader{data: data}
}

func appendChangedLists(out []byte, from, to []SiteList) []byte {
	var changed []int
	for i, l := range to {
		if i >= len(from) || from[i].Classes != l.Classes || !slices.Equal(from[i].Sites, l.Sites) {
			changed = append(changed, i)
		}
	}
	out = binary.AppendUvarint(out, uint64(len(changed)))
	for _, i := range changed {
		out = appendList(binary.AppendUvarint(out, uint64(i)), to[i])
	}
	return out
}

// ApplyDelta returns the assignment that results from a delta. It refuses a delta
// that starts from another version, and a result whose checksum differs from the
// sender's.
func (a *Assignment) ApplyDelta(delta []byte) (*Assignment, error) {
	r, err := openMessage(delta, formatDelta)
	if err != nil {
		return nil, err
	}
	from, to, blockSetChecksum := r.uint(), r.uint(), uint32(r.uint())
	if from != a.Version || to < from || blockSetChecksum != a.BlockSetChecksum {
		return nil, fmt.Errorf("bfplacement: delta from version %d to %d does not apply to version %d", from, to, a.Version)
	}
	out := &Assignment{Version: to, BlockSetChecksum: blockSetChecksum, Sites: a.Sites, Lists: slices.Clone(a.Lists), ListIndex: slices.Clone(a.ListIndex)}
	for range r.count(maxLists, "lists") {
		i := r.count(len(out.Lists), "list index")
		if i == len(out.Lists) && r.err == nil {
			out.Lists = append(out.Lists, SiteList{})
		}
		l := r.siteList()
		if r.err != nil {
			return nil, r.err
		}
		out.Lists[i] = l
	}
	changes := r.inflate(r.count(len(r.data), "length of the block changes"), len(out.ListIndex))
	if r.err == nil {
		r.err = changes.applyBlockChanges(out.ListIndex)
	}
	checksum := binary.BigEndian.Uint32(r.bytes(4))
	if err := r.finish(); err != nil {
		return nil, err
	}
	if checksum != out.checksum() {
		return nil, fmt.Errorf("bfplacement: assignment %d has a wrong checksum after a delta", to)
	}
	return out, out.validate()
}

// applyBlockChanges decodes the output of changedBlocks into the list indexes.
func (r *reader) applyBlockChanges(list []uint16) error {
	b := 0
	for gap := r.uint(); gap > 0 && r.err == nil; gap = r.uint() {
		if gap-1 >= uint64(len(list)-b) {
			r.fail("block index is out of range")
			break
		}
		b += int(gap - 1)
		list[b] = uint16(r.count(maxLists-1, "list index"))
	}
	return r.finish()
}

// EncodePrefixes encodes the prefixes of a block set, which is sent only when it changes.
func EncodePrefixes(prefixes []netip.Prefix) []byte {
	out := binary.AppendUvarint([]byte{formatPrefixes}, uint64(len(prefixes)))
	var last [16]byte
	for _, p := range prefixes {
		// Leading address bytes that equal those of the previous prefix are omitted.
		b, n := p.Addr().As16(), (p.Bits()+7)/8
		if p.Addr().Is4() {
			n += 12
		}
		shared := 0
		for shared < n && b[shared] == last[shared] {
			shared++
		}
		family := byte(0)
		if p.Addr().Is4() {
			family = 1
		}
		out = append(out, family<<7|byte(shared), byte(p.Bits()))
		out = append(out, b[shared:max(n, shared)]...)
		last = b
	}
	return appendChecksum(out)
}

// DecodePrefixes decodes the prefixes of a block set.
func DecodePrefixes(data []byte) ([]netip.Prefix, error) {
	r, err := openMessage(data, formatPrefixes)
	if err != nil {
		return nil, err
	}
	n := r.count(maxBlocks, "blocks")
	var out []netip.Prefix
	var last [16]byte
	for range n {
		head := r.bytes(2)
		is4, shared, bits := head[0]&0x80 != 0, int(head[0]&0x7f), int(head[1])
		end := (bits + 7) / 8
		if is4 {
			end += 12
		}
		if r.err != nil || end > 16 || shared > 16 || (is4 && bits > 32) {
			r.fail("prefix length is out of range")
			return nil, r.err
		}
		var b [16]byte
		copy(b[:], last[:shared])
		copy(b[shared:], r.bytes(max(0, end-shared)))
		addr := netip.AddrFrom16(b)
		if is4 {
			addr = addr.Unmap()
		}
		if is4 != addr.Is4() {
			r.fail("prefix has the wrong address family")
			return nil, r.err
		}
		out = append(out, netip.PrefixFrom(addr, bits))
		last = b
	}
	return out, r.finish()
}

// PrefixChecksum returns the checksum that identifies the prefixes of a block set.
func PrefixChecksum(prefixes []netip.Prefix) uint32 {
	return crc32.Checksum(EncodePrefixes(prefixes), castagnoliTable)
}
