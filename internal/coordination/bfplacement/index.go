package bfplacement

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"net/netip"
	"slices"
	"sort"
)

// noBlock marks a range of addresses outside all blocks.
const noBlock = ^uint32(0)

type (
	// Index finds the block of an address. Prefixes may nest; the longest one wins.
	// It depends on the block set only and is shared by all assignments of it.
	Index struct {
		blocks int
		sum    uint32
		// starts4 and starts6 hold the first address of each range, sorted; the
		// range's block is in the array beside them.
		starts4 []uint32
		block4  []uint32
		starts6 []key6
		block6  []uint32
		// first narrows the search by the upper 16 bits of an IPv4 address.
		first []uint32
	}

	key6 struct{ hi, lo uint64 }

	// interval is a prefix as the sweep sees it, with its last address.
	interval struct {
		start, last key6
		block       uint32
	}

	// boundary is where another block begins.
	boundary struct {
		start key6
		block uint32
	}
)

// NewIndex returns the index of a block set.
func NewIndex(prefixes []netip.Prefix) (*Index, error) {
	x := &Index{blocks: len(prefixes), sum: PrefixChecksum(prefixes)}
	var four, six []interval
	for i, p := range prefixes {
		if !p.IsValid() || p != p.Masked() {
			return nil, fmt.Errorf("bfplacement: blocks[%d] is no prefix in its shortest form: %s", i, p)
		}
		if p.Addr().Is4() {
			four = append(four, newInterval(p, 96+p.Bits(), i))
		} else {
			six = append(six, newInterval(p, p.Bits(), i))
		}
	}
	x.first = make([]uint32, 1<<16+1)
	for _, b := range sweep(four) {
		if b.start.lo>>32 != 0xffff {
			continue // The boundary after 255.255.255.255.
		}
		x.starts4 = append(x.starts4, uint32(b.start.lo))
		x.block4 = append(x.block4, b.block)
	}
	for _, b := range sweep(six) {
		x.starts6 = append(x.starts6, b.start)
		x.block6 = append(x.block6, b.block)
	}
	at := 0
	for hi := range x.first {
		for at < len(x.starts4) && uint64(x.starts4[at]) < uint64(hi)<<16 {
			at++
		}
		x.first[hi] = uint32(at)
	}
	return x, nil
}

func newInterval(p netip.Prefix, bits, block int) interval {
	start := newKey6(p.Addr())
	last := start
	if bits < 64 {
		last.hi |= ^uint64(0) >> bits
		last.lo = ^uint64(0)
	} else {
		last.lo |= ^uint64(0) >> (bits - 64)
	}
	return interval{start: start, last: last, block: uint32(block)}
}

func newKey6(a netip.Addr) key6 {
	b := a.As16()
	k := key6{hi: binary.BigEndian.Uint64(b[:8]), lo: binary.BigEndian.Uint64(b[8:])}
	return k
}

func (k key6) compare(o key6) int {
	if c := cmp.Compare(k.hi, o.hi); c != 0 {
		return c
	}
	return cmp.Compare(k.lo, o.lo)
}

// next returns the following address, or false after the last one.
func (k key6) next() (key6, bool) {
	if k.lo++; k.lo == 0 {
		k.hi++
		return k, k.hi != 0
	}
	return k, true
}

// sweep turns nested intervals into the boundaries of disjoint ranges.
func sweep(in []interval) []boundary {
	slices.SortFunc(in, func(a, b interval) int {
		if c := a.start.compare(b.start); c != 0 {
			return c
		}
		return b.last.compare(a.last)
	})
	var out []boundary
	var open []interval
	pop := func(until func(interval) bool) {
		for len(open) > 0 && until(open[len(open)-1]) {
			end := open[len(open)-1].last
			open = open[:len(open)-1]
			outer := noBlock
			if len(open) > 0 {
				outer = open[len(open)-1].block
			}
			if next, ok := end.next(); ok {
				out = appendBoundary(out, boundary{start: next, block: outer})
			}
		}
	}
	for _, v := range in {
		pop(func(o interval) bool { return o.last.compare(v.start) < 0 })
		out = appendBoundary(out, boundary{start: v.start, block: v.block})
		open = append(open, v)
	}
	pop(func(interval) bool { return true })
	return out
}

// appendBoundary replaces a boundary at the same address.
func appendBoundary(out []boundary, b boundary) []boundary {
	if n := len(out); n > 0 && out[n-1].start == b.start {
		out[n-1].block = b.block
		return out
	}
	return append(out, b)
}

// Block returns the index of the address's block, or false outside all blocks.
func (x *Index) Block(a netip.Addr) (int, bool) {
	a = a.Unmap()
	block := noBlock
	switch {
	case a.Is4():
		block = x.find4(a)
	case a.Is6():
		k := newKey6(a.WithZone(""))
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
	lo, hi := int(x.first[v>>16]), int(x.first[v>>16+1])
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

// MemorySize returns the memory of the index's arrays.
func (x *Index) MemorySize() int {
	return 4*(len(x.starts4)+len(x.block4)+len(x.block6)+len(x.first)) + 16*len(x.starts6)
}
