package bfplacement

import (
	"context"
	"slices"

	"briarferry"
)

const (
	// maxMessageBytes bounds an encoded assignment or delta in a message.
	maxMessageBytes = 4 << 20
	maxRate         = Rate(1) << 40
)

type (
	// BlockSet is a set of blocks with the home region of each, as an index into Regions.
	BlockSet struct {
		Prefixes    []byte   `cbor:"p"`
		Regions     []string `cbor:"r"`
		HomeRegions []byte   `cbor:"h"`
	}

	// BlockDemand is the leader's view of the demand of the blocks of a block set. Entries
	// keep it for the next leader, which can't learn the demand of a lost region's blocks
	// from the reports of other regions.
	BlockDemand struct {
		BlockSetChecksum uint32 `cbor:"b"`
		Classes          int    `cbor:"n"`
		// Rates holds the demand of each block by class, most urgent first.
		Rates []Rate `cbor:"r"`
	}

	// Report sends the leader an entry's measurements and describes its current assignment.
	Report struct {
		Site          string `cbor:"s"`
		Region        string `cbor:"g"`
		FailureDomain string `cbor:"d"`
		// Version and BlockSetChecksum describe the assignment in use.
		Version          uint64 `cbor:"v"`
		BlockSetChecksum uint32 `cbor:"b"`
		// WantFull asks for the full assignment and its block set.
		WantFull bool `cbor:"w,omitempty"`
		// AgeMillis is the age of the measurements.
		AgeMillis uint32 `cbor:"a"`
		// RegionCapacity is the capacity of the region's servers, as known to this entry.
		RegionCapacity Rate           `cbor:"c"`
		Load           Rate           `cbor:"l"`
		OtherDemand    Rate           `cbor:"o"`
		Blocks         []BlockReading `cbor:"k"`
		// Assignment, BlockSet and Demand are sent if the leader asked for them.
		Assignment []byte       `cbor:"x,omitempty"`
		BlockSet   *BlockSet    `cbor:"y,omitempty"`
		Demand     *BlockDemand `cbor:"z,omitempty"`
	}

	// Reply updates an entry to the leader's assignment.
	Reply struct {
		Version  uint64    `cbor:"v"`
		BlockSet *BlockSet `cbor:"s,omitempty"`
		Full     []byte    `cbor:"f,omitempty"`
		Delta    []byte    `cbor:"d,omitempty"`
		// Upload asks for the entry's assignment, which a new leader adopts.
		Upload bool `cbor:"u,omitempty"`
		// Demand is sent to each entry once per demandInterval.
		Demand *BlockDemand `cbor:"m,omitempty"`
	}

	// Transport sends a report to the leader.
	Transport interface {
		Placement(ctx context.Context, r Report) (Reply, error)
	}
)

// Validate returns findings about the values that are out of range.
func (r *Report) Validate() briarferry.Findings {
	var f briarferry.Findings
	for place, name := range map[string]string{"site": r.Site, "region": r.Region, "failure_domain": r.FailureDomain} {
		if !briarferry.ValidName(name) {
			f.Add(place, "must be a name: %q", name)
		}
	}
	if len(r.Blocks) > maxReportedBlocks {
		f.Add("blocks", "must have at most %d entries", maxReportedBlocks)
	}
	if len(r.Assignment) > maxMessageBytes {
		f.Add("assignment", "must have at most %d bytes", maxMessageBytes)
	}
	f.Merge("demand", r.Demand.Validate())
	rates := []Rate{r.RegionCapacity, r.Load, r.OtherDemand}
	for _, b := range r.Blocks {
		if !b.Prefix.IsValid() || b.Prefix != b.Prefix.Masked() || len(b.Demand) > maxClasses {
			f.Add("blocks", "must have prefixes in their shortest form and at most %d classes", maxClasses)
			break
		}
		rates = append(append(rates, b.Lookups), b.Demand...)
	}
	if !areValidRates(rates) {
		f.Add("rates", "must be between 0 and %d", maxRate)
	}
	return f
}

// Validate returns findings about the values that are out of range.
func (d *BlockDemand) Validate() briarferry.Findings {
	var f briarferry.Findings
	if d == nil {
		return f
	}
	if d.Classes < 1 || d.Classes > maxClasses || len(d.Rates)%max(1, d.Classes) != 0 || len(d.Rates) > maxPlannedBlocks*maxClasses {
		f.Add("rates", "must have the same number of classes, 1 to %d, for at most %d blocks", maxClasses, maxPlannedBlocks)
	}
	if !areValidRates(d.Rates) {
		f.Add("rates", "must be between 0 and %d", maxRate)
	}
	return f
}

func areValidRates(rates []Rate) bool {
	return !slices.ContainsFunc(rates, func(r Rate) bool { return r < 0 || r > maxRate })
}

// Validate returns findings about the values that are out of range.
func (r *Reply) Validate() briarferry.Findings {
	var f briarferry.Findings
	if len(r.Full) > maxMessageBytes || len(r.Delta) > maxMessageBytes {
		f.Add("assignment", "must have at most %d bytes", maxMessageBytes)
	}
	f.Merge("demand", r.Demand.Validate())
	return f
}
