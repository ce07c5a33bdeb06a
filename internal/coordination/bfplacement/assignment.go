package bfplacement

import (
	"fmt"
	"hash/crc32"
	"math"
	"slices"
)

// listLength is how many sites a ranked list names.
const listLength = 3

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

type (
	// SiteList is a ranked list of sites that many blocks share.
	SiteList struct {
		// Classes is the number of classes served, most urgent first.
		Classes uint8
		// Sites holds indexes into the assignment's sites, best first.
		Sites []uint16
	}

	// Assignment is one version of the ranked lists of all blocks.
	Assignment struct {
		Version uint64
		// BlockSetChecksum is the checksum of the prefixes that ListIndex is about.
		BlockSetChecksum uint32
		Sites            []string
		Lists            []SiteList
		// List holds the index of each block's list.
		ListIndex []uint16
	}

	// AssignmentBuilder turns a planner's state into assignments. It keeps the numbers of
	// the lists stable, so that a site's loss changes few blocks' entries.
	AssignmentBuilder struct {
		planner  *Planner
		blockSet uint32
		number   map[listKey]uint16
		keys     []listKey
	}

	listKey struct {
		site   int16
		level  int8
		second uint8
		third  uint8
	}
)

// NewAssignmentBuilder returns a builder of the planner's assignments.
func NewAssignmentBuilder(p *Planner) *AssignmentBuilder {
	return &AssignmentBuilder{planner: p, blockSet: p.blockSet, number: map[listKey]uint16{}}
}

// Build returns the planner's current state for distribution.
func (u *AssignmentBuilder) Build(net Network) (*Assignment, error) {
	p := u.planner
	a := &Assignment{Version: p.version, BlockSetChecksum: u.blockSet, ListIndex: make([]uint16, p.n)}
	for _, s := range net.Sites {
		a.Sites = append(a.Sites, s.Name)
	}
	last, lastID := listKey{site: math.MinInt16}, uint16(0)
	for b := range p.n {
		key := u.key(net, b)
		if key != last {
			id, err := u.id(key)
			if err != nil {
				return nil, err
			}
			last, lastID = key, id
		}
		a.ListIndex[b] = lastID
	}
	up := upSites(net)
	for _, key := range u.keys {
		a.Lists = append(a.Lists, key.list(net, up))
	}
	return a, nil
}

func (u *AssignmentBuilder) id(key listKey) (uint16, error) {
	id, ok := u.number[key]
	if ok {
		return id, nil
	}
	if len(u.keys) > math.MaxUint16 {
		return 0, fmt.Errorf("bfplacement: more than %d ranked lists", math.MaxUint16+1)
	}
	id = uint16(len(u.keys))
	u.number[key] = id
	u.keys = append(u.keys, key)
	return id, nil
}

// key names what a block's list depends on: its site, its classes and the nearest
// regions besides the site's own.
func (u *AssignmentBuilder) key(net Network, b int) listKey {
	p := u.planner
	key, own := listKey{site: p.site[b], level: p.level[b]}, -1
	if key.site != unplaced {
		own = net.Sites[key.site].Region
	}
	others := 0
	for _, r := range p.order[b*p.r : (b+1)*p.r] {
		if int(r) == own {
			continue
		}
		if others++; others == 1 {
			key.second = r
		} else {
			key.third = r
			break
		}
	}
	return key
}

// list ranks the site, a neighbour in another failure domain and sites of the next
// regions. An unplaced block's list names sites near its callers, which refuse it.
func (k listKey) list(net Network, up [][]int) SiteList {
	l := SiteList{Classes: uint8(k.level)}
	regions := []int{int(k.second), int(k.third)}
	turn := int(k.second)
	if k.site != unplaced {
		turn = int(k.site)
		l.Sites = append(l.Sites, uint16(k.site))
		regions = append([]int{net.Sites[k.site].Region}, regions...)
	}
	for r := range net.Regions {
		regions = append(regions, r)
	}
	// A second round fills the list from failure domains that it names already.
	for _, distinct := range []bool{true, false} {
		for _, r := range regions {
			if len(l.Sites) < listLength {
				l.Sites = appendSite(l.Sites, net, up[r], turn, distinct)
			}
		}
	}
	return l
}

func appendSite(list []uint16, net Network, up []int, turn int, distinct bool) []uint16 {
	for i := range up {
		at := uint16(up[(turn+i)%len(up)])
		taken := slices.ContainsFunc(list, func(other uint16) bool {
			a, b := net.Sites[at], net.Sites[other]
			return at == other || distinct && a.Region == b.Region && a.FailureDomain == b.FailureDomain
		})
		if !taken {
			return append(list, at)
		}
	}
	return list
}

func upSites(net Network) [][]int {
	up := make([][]int, len(net.Regions))
	for i, s := range net.Sites {
		if s.State == SiteUp {
			up[s.Region] = append(up[s.Region], i)
		}
	}
	return up
}

// validate checks every index, so that a look-up needs no further check.
func (a *Assignment) validate() error {
	for i, l := range a.Lists {
		for _, s := range l.Sites {
			if int(s) >= len(a.Sites) {
				return fmt.Errorf("bfplacement: lists[%d] names site %d of %d", i, s, len(a.Sites))
			}
		}
	}
	for b, l := range a.ListIndex {
		if int(l) >= len(a.Lists) {
			return fmt.Errorf("bfplacement: block %d has list %d of %d", b, l, len(a.Lists))
		}
	}
	return nil
}
