package bfplacement

import (
	"fmt"
	"hash/crc32"
	"math"
	"slices"
)

// maxSitesPerList bounds the sites of a ranked list.
const maxSitesPerList = 3

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

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
		// BlockSetChecksum identifies the prefixes that ListIndex refers to.
		BlockSetChecksum uint32
		Sites            []string
		Lists            []SiteList
		// ListIndex holds, for each block, the index of its list in Lists.
		ListIndex []uint16
	}

	// AssignmentBuilder turns a planner's state into assignments. It keeps the indexes
	// of the lists stable, so that the loss of a site changes few entries of ListIndex.
	AssignmentBuilder struct {
		planner          *Planner
		blockSetChecksum uint32
		indexByKey       map[listKey]uint16
		keys             []listKey
	}

	listKey struct {
		site         int16
		classes      int8
		secondRegion uint8
		thirdRegion  uint8
	}
)

// NewAssignmentBuilder returns a builder of the planner's assignments.
func NewAssignmentBuilder(p *Planner) *AssignmentBuilder {
	return &AssignmentBuilder{planner: p, blockSetChecksum: p.blockSetChecksum, indexByKey: map[listKey]uint16{}}
}

// Build returns the planner's current state as an assignment.
func (ab *AssignmentBuilder) Build(net Network) (*Assignment, error) {
	p := ab.planner
	a := &Assignment{Version: p.version, BlockSetChecksum: ab.blockSetChecksum, ListIndex: make([]uint16, p.blockCount)}
	for _, s := range net.Sites {
		a.Sites = append(a.Sites, s.Name)
	}
	lastKey, lastIndex := listKey{site: math.MinInt16}, uint16(0)
	for b := range p.blockCount {
		key := ab.keyOf(net, b)
		if key != lastKey {
			index, err := ab.listIndexOf(key)
			if err != nil {
				return nil, err
			}
			lastKey, lastIndex = key, index
		}
		a.ListIndex[b] = lastIndex
	}
	up := upSites(net)
	for _, key := range ab.keys {
		a.Lists = append(a.Lists, key.siteList(net, up))
	}
	return a, nil
}

func (ab *AssignmentBuilder) listIndexOf(key listKey) (uint16, error) {
	index, ok := ab.indexByKey[key]
	if ok {
		return index, nil
	}
	if len(ab.keys) > math.MaxUint16 {
		return 0, fmt.Errorf("bfplacement: more than %d ranked lists", math.MaxUint16+1)
	}
	index = uint16(len(ab.keys))
	ab.indexByKey[key] = index
	ab.keys = append(ab.keys, key)
	return index, nil
}

// keyOf returns what determines a block's list: its site, its classes and the two
// nearest regions other than that of the site.
func (ab *AssignmentBuilder) keyOf(net Network, b int) listKey {
	p := ab.planner
	key, ownRegion := listKey{site: p.site[b], classes: p.classes[b]}, -1
	if key.site != unplaced {
		ownRegion = net.Sites[key.site].Region
	}
	others := 0
	for _, r := range p.regionsByDelay[b*p.regionCount : (b+1)*p.regionCount] {
		if int(r) == ownRegion {
			continue
		}
		if others++; others == 1 {
			key.secondRegion = r
		} else {
			key.thirdRegion = r
			break
		}
	}
	return key
}

// siteList ranks the block's site first, then a site of the same region in another
// failure domain and sites of the next regions. The list of an unplaced block names sites
// near its callers; these sites refuse its requests.
func (k listKey) siteList(net Network, up [][]int) SiteList {
	l := SiteList{Classes: uint8(k.classes)}
	regions := []int{int(k.secondRegion), int(k.thirdRegion)}
	offset := int(k.secondRegion)
	if k.site != unplaced {
		offset = int(k.site)
		l.Sites = append(l.Sites, uint16(k.site))
		regions = append([]int{net.Sites[k.site].Region}, regions...)
	}
	for r := range net.Regions {
		regions = append(regions, r)
	}
	// The second pass fills the list with sites of failure domains that it already has.
	for _, distinctDomain := range []bool{true, false} {
		for _, r := range regions {
			if len(l.Sites) < maxSitesPerList {
				l.Sites = appendSite(l.Sites, net, up[r], offset, distinctDomain)
			}
		}
	}
	return l
}

func appendSite(list []uint16, net Network, up []int, offset int, distinctDomain bool) []uint16 {
	for i := range up {
		site := uint16(up[(offset+i)%len(up)])
		excluded := slices.ContainsFunc(list, func(other uint16) bool {
			a, b := net.Sites[site], net.Sites[other]
			return site == other || distinctDomain && a.Region == b.Region && a.FailureDomain == b.FailureDomain
		})
		if !excluded {
			return append(list, site)
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

// validate checks every index, so that look-ups need no bounds checks.
func (a *Assignment) validate() error {
	for i, l := range a.Lists {
		for _, s := range l.Sites {
			if int(s) >= len(a.Sites) {
				return fmt.Errorf("bfplacement: lists[%d] refers to site %d, but there are only %d", i, s, len(a.Sites))
			}
		}
	}
	for b, l := range a.ListIndex {
		if int(l) >= len(a.Lists) {
			return fmt.Errorf("bfplacement: block %d refers to list %d, but there are only %d", b, l, len(a.Lists))
		}
	}
	return nil
}
