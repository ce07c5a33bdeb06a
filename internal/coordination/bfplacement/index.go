package bfplacement

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"net/netip"
	"slices"
	"sort"
)

// noBlock marks an address range outside all blocks.
const noBlock = ^uint32(0)

type (
	// Index finds the block of an address by longest-prefix match; prefixes may nest. It
	// depends only on the prefixes of a block set and is shared by all assignments with
	// these prefixes.
	Index struct {
		blockCount int
		checksum   uint32
		// starts4 and starts6 hold the first address of each range in ascending order;
		// block4 and block6 hold the block of the range at the same position.
		starts4 []uint32
		block4  []uint32
		starts6 []addrKey
		block6  []uint32
		// firstByPrefix16 narrows the binary search by the upper 16 bits of an IPv4
		// address.
		firstByPrefix16 []uint32
	}

	addrKey struct{ hi, lo uint64 }

	// addrRange is the address range of a prefix, with both ends included.
	addrRange struct {
		start, last addrKey
		block       uint32
	}

	// boundary is the first address of a range that belongs to one block.
	boundary struct {
		start addrKey
		block uint32
	}
)

// NewIndex returns the index of the prefixes of a block set.
func NewIndex(prefixes []netip.Prefix) (*Index, error) {
	x := &Index{blockCount: len(prefixes), checksum: PrefixChecksum(prefixes)}
	var ipv4, ipv6 []addrRange
	for i, p := range prefixes {
		if !p.IsValid() || p != p.Masked() {
			return nil, fmt.Errorf("bfplacement: blocks[%d] is not a valid masked prefix: %s", i, p)
		}
		if p.Addr().Is4() {
			ipv4 = append(ipv4, newAddrRange(p, 96+p.Bits(), i))
		} else {
			ipv6 = append(ipv6, newAddrRange(p, p.Bits(), i))
		}
	}
	x.firstByPrefix16 = make([]uint32, 1<<16+1)
	for _, b := range disjointBoundaries(ipv4) {
		if b.start.lo>>32 != 0xffff {
			continue // the boundary after 255.255.255.255
		}
		x.starts4 = append(x.starts4, uint32(b.start.lo))
		x.block4 = append(x.block4, b.block)
	}
	for _, b := range disjointBoundaries(ipv6) {
		x.starts6 = append(x.starts6, b.start)
		x.block6 = append(x.block6, b.block)
	}
	at := 0
	for hi := range x.firstByPrefix16 {
		for at < len(x.starts4) && uint64(x.starts4[at]) < uint64(hi)<<16 {
			at++
		}
		x.firstByPrefix16[hi] = uint32(at)
	}
	return x, nil
}

func newAddrRange(p netip.Prefix, bits, block int) addrRange {
	start := newAddrKey(p.Addr())
	last := start
	if bits < 64 {
		last.hi |= ^uint64(0) >> bits
		last.lo = ^uint64(0)
	} else {
		last.lo |= ^uint64(0) >> (bits - 64)
	}
	return addrRange{start: start, last: last, block: uint32(block)}
}

func newAddrKey(a netip.Addr) addrKey {
	b := a.As16()
	k := addrKey{hi: binary.BigEndian.Uint64(b[:8]), lo: binary.BigEndian.Uint64(b[8:])}
	return k
}

func (k addrKey) compare(o addrKey) int {
	if c := cmp.Compare(k.hi, o.hi); c != 0 {
		return c
	}
	return cmp.Compare(k.lo, o.lo)
}

// next returns the following address, or false after the last address.
func (k addrKey) next() (addrKey, bool) {
	if k.lo++; k.lo == 0 {
		k.hi++
		return k, k.hi != 0
	}
	return k, true
}

// disjointBoundaries turns nested ranges into the boundaries of disjoint ones.
func disjointBoundaries(ranges []addrRange) []boundary {
	slices.SortFunc(ranges, func(a, b addrRange) int {
		if c := a.start.compare(b.start); c != 0 {
			return c
		}
		return b.last.compare(a.last)
	})
	var out []boundary
	var enclosing []addrRange
	closeRanges := func(ended func(addrRange) bool) {
		for len(enclosing) > 0 && ended(enclosing[len(enclosing)-1]) {
			end := enclosing[len(enclosing)-1].last
			enclosing = enclosing[:len(enclosing)-1]
			outer := noBlock
			if len(enclosing) > 0 {
				outer = enclosing[len(enclosing)-1].block
			}
			if next, ok := end.next(); ok {
				out = appendBoundary(out, boundary{start: next, block: outer})
			}
		}
	}
	for _, r := range ranges {
		closeRanges(func(enclosingRange addrRange) bool { return enclosingRange.last.compare(r.start) < 0 })
		out = appendBoundary(out, boundary{start: r.start, block: r.block})
		enclosing = append(enclosing, r)
	}
	closeRanges(func(addrRange) bool { return true })
	return out
}

// appendBoundary appends a boundary, or replaces the last one if it has the same address.
func appendBoundary(out []boundary, b boundary) []boundary {
	if n := len(out); n > 0 && out[n-1].start == b.start {
		out[n-1].block = b.block
		return out
	}
	return append(out, b)
}

// Block returns the index of the block that contains the address, or false if none does.
func (x *Index) Block(a netip.Addr) (int, bool) {
	a = a.Unmap()
	block := noBlock
	switch {
	case a.Is4():
		block = x.find4(a)
	case a.Is6():
		k := newAddrKey(a.WithZone(""))
		at := sort.Search(len(x.starts6), func(i int) bool { return x.starts6[i].compare(k) > 0 })
		if at > 0 {
			block = x.block6[at-1]
		}
	}
	return int(block), block != noBlock
}

func (x *Index) find4(a netip.Addr) uint32 {
	b := a.As4()
	v := binary.BigEndian.Uint32(b[:])
	lo, hi := int(x.firstByPrefix16[v>>16]), int(x.firstByPrefix16[v>>16+1])
	for lo < hi {
		mid := (lo + hi) / 2
		if x.starts4[mid] <= v {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	if lo == 0 {
		return noBlock
	}
	return x.block4[lo-1]
}

// MemorySize returns the size of the index's arrays in bytes.
func (x *Index) MemorySize() int {
	return 4*(len(x.starts4)+len(x.block4)+len(x.block6)+len(x.firstByPrefix16)) + 16*len(x.starts6)
}
