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
	// maxChangeBytes bounds one changed block: a gap and a list.
	maxChangeBytes = 8
)

// reader decodes a message; after the first fault every read returns zero.
type reader struct {
	data []byte
	err  error
}

func (r *reader) uint() uint64 {
	v, n := binary.Uvarint(r.data)
	if n <= 0 {
		r.fail("truncated number")
		return 0
	}
	r.data = r.data[n:]
	return v
}

func (r *reader) count(limit int, what string) int {
	v := r.uint()
	if v > uint64(limit) {
		r.fail("%d %s, more than %d", v, what, limit)
		return 0
	}
	return int(v)
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
		return nil, fmt.Errorf("bfplacement: message has no format %#x", format)
	}
	body := data[:len(data)-4]
	if crc32.Checksum(body, castagnoliTable) != binary.BigEndian.Uint32(data[len(body):]) {
		return nil, fmt.Errorf("bfplacement: message has a wrong checksum")
	}
	return &reader{data: body[1:]}, nil
}

func (r *reader) finish() error {
	if r.err == nil && len(r.data) > 0 {
		r.fail("%d bytes too many", len(r.data))
	}
	return r.err
}

// Encode returns the whole assignment without its prefixes.
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
		out = append(out, string(r.bytes(r.count(maxNameBytes, "bytes of a name"))))
		if r.err != nil {
			return nil
		}
	}
	return out
}

func (r *reader) siteList() SiteList {
	l := SiteList{Classes: r.bytes(1)[0]}
	for range r.count(maxSitesPerList, "sites of a list") {
		l.Sites = append(l.Sites, uint16(r.count(maxSites, "as a site")))
	}
	return l
}

// DecodeAssignment reads a whole assignment.
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
		id, run := uint16(r.count(maxLists-1, "as a list")), r.count(n-len(a.ListIndex), "blocks of a run")
		if run == 0 {
			r.fail("empty run")
		}
		a.ListIndex = append(a.ListIndex, slices.Repeat([]uint16{id}, run)...)
	}
	if err := r.finish(); err != nil {
		return nil, err
	}
	return a, a.validate()
}

// sum covers everything that a delta changes.
func (a *Assignment) crc() uint32 {
	var encoded []byte
	for _, l := range a.Lists {
		encoded = appendList(encoded, l)
	}
	crc := crc32.Checksum(encoded, castagnoliTable)
	buf := make([]byte, 0, 8192)
	for i, id := range a.ListIndex {
		buf = binary.LittleEndian.AppendUint16(buf, id)
		if len(buf) == cap(buf) || i == len(a.ListIndex)-1 {
			crc = crc32.Update(crc, castagnoliTable, buf)
			buf = buf[:0]
		}
	}
	return crc
}

// EncodeDelta encodes the change from one assignment to a later one of the same blocks
// and sites. It carries the checksum of the result.
func EncodeDelta(from, to *Assignment) ([]byte, error) {
	if from.BlockSetChecksum != to.BlockSetChecksum || len(from.ListIndex) != len(to.ListIndex) || !slices.Equal(from.Sites, to.Sites) || len(from.Lists) > len(to.Lists) {
		return nil, fmt.Errorf("bfplacement: no delta between assignments of different blocks or sites")
	}
	out := []byte{formatDelta}
	out = binary.AppendUvarint(out, from.Version)
	out = binary.AppendUvarint(out, to.Version)
	out = binary.AppendUvarint(out, uint64(to.BlockSetChecksum))
	out = appendChangedLists(out, from.Lists, to.Lists)
	blocks := deflate(changedBlocks(from.ListIndex, to.ListIndex))
	out = append(binary.AppendUvarint(out, uint64(len(blocks))), blocks...)
	return appendChecksum(binary.BigEndian.AppendUint32(out, to.crc())), nil
}

// changedBlocks encodes each changed block as the gap to the one before and its list.
func changedBlocks(from, to []uint16) []byte {
	var out []byte
	last := 0
	for b, id := range to {
		if id != from[b] {
			out = binary.AppendUvarint(out, uint64(b-last)+1)
			out = binary.AppendUvarint(out, uint64(id))
			last = b
		}
	}
	return append(out, 0)
}

// deflate compresses; gaps and lists of neighbouring blocks are much alike.
func deflate(data []byte) []byte {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err == nil {
		if _, err = w.Write(data); err == nil {
			err = w.Close()
		}
	}
	if err != nil {
		panic(err) // The level is valid, and writes to memory don't fail.
	}
	return out.Bytes()
}

// inflate returns a reader of the decompressed data, bounded by the number of blocks.
func (r *reader) inflate(n, blocks int) *reader {
	limit := int64(blocks+1) * maxChangeBytes
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(r.bytes(n))), limit+1))
	if err != nil || int64(len(data)) > limit {
		r.fail("damaged or oversized list of blocks")
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

// ApplyDelta returns the assignment after a delta. It refuses a delta from another
// version, and a result whose checksum differs from the sender's.
func (a *Assignment) ApplyDelta(delta []byte) (*Assignment, error) {
	r, err := openMessage(delta, formatDelta)
	if err != nil {
		return nil, err
	}
	from, to, blockSetChecksum := r.uint(), r.uint(), uint32(r.uint())
	if from != a.Version || to < from || blockSetChecksum != a.BlockSetChecksum {
		return nil, fmt.Errorf("bfplacement: delta from version %d to %d does not follow %d", from, to, a.Version)
	}
	out := &Assignment{Version: to, BlockSetChecksum: blockSetChecksum, Sites: a.Sites, Lists: slices.Clone(a.Lists), ListIndex: slices.Clone(a.ListIndex)}
	for range r.count(maxLists, "lists") {
		i := r.count(len(out.Lists), "as a list")
		if i == len(out.Lists) && r.err == nil {
			out.Lists = append(out.Lists, SiteList{})
		}
		l := r.siteList()
		if r.err != nil {
			return nil, r.err
		}
		out.Lists[i] = l
	}
	changes := r.inflate(r.count(len(r.data), "bytes of blocks"), len(out.ListIndex))
	if r.err == nil {
		r.err = changes.applyBlockChanges(out.ListIndex)
	}
	checksum := binary.BigEndian.Uint32(r.bytes(4))
	if err := r.finish(); err != nil {
		return nil, err
	}
	if checksum != out.crc() {
		return nil, fmt.Errorf("bfplacement: assignment %d has a wrong checksum after a delta", to)
	}
	return out, out.validate()
}

// applyBlockChanges reads what changedBlocks wrote.
func (r *reader) applyBlockChanges(list []uint16) error {
	b := 0
	for gap := r.uint(); gap > 0 && r.err == nil; gap = r.uint() {
		if gap-1 >= uint64(len(list)-b) {
			r.fail("block out of range")
			break
		}
		b += int(gap - 1)
		list[b] = uint16(r.count(maxLists-1, "as a list"))
	}
	return r.finish()
}

// EncodePrefixes returns the block set, which is sent only when it changes.
func EncodePrefixes(prefixes []netip.Prefix) []byte {
	out := binary.AppendUvarint([]byte{formatPrefixes}, uint64(len(prefixes)))
	var last [16]byte
	for _, p := range prefixes {
		// The address's bytes that equal the previous prefix's are not repeated.
		b, n := p.Addr().As16(), (p.Bits()+7)/8
		if p.Addr().Is4() {
			n += 12
		}
		same := 0
		for same < n && b[same] == last[same] {
			same++
		}
		family := byte(0)
		if p.Addr().Is4() {
			family = 1
		}
		out = append(out, family<<7|byte(same), byte(p.Bits()))
		out = append(out, b[same:max(n, same)]...)
		last = b
	}
	return appendChecksum(out)
}

// DecodePrefixes reads a block set.
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
		is4, same, bits := head[0]&0x80 != 0, int(head[0]&0x7f), int(head[1])
		end := (bits + 7) / 8
		if is4 {
			end += 12
		}
		if r.err != nil || end > 16 || same > 16 || (is4 && bits > 32) {
			r.fail("prefix out of range")
			return nil, r.err
		}
		var b [16]byte
		copy(b[:], last[:same])
		copy(b[same:], r.bytes(max(0, end-same)))
		addr := netip.AddrFrom16(b)
		if is4 {
			addr = addr.Unmap()
		}
		if is4 != addr.Is4() {
			r.fail("prefix of another address family")
			return nil, r.err
		}
		out = append(out, netip.PrefixFrom(addr, bits))
		last = b
	}
	return out, r.finish()
}

// PrefixChecksum identifies a block set.
func PrefixChecksum(prefixes []netip.Prefix) uint32 {
	return crc32.Checksum(EncodePrefixes(prefixes), castagnoliTable)
}
