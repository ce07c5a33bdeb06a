package briarferry

import (
	"fmt"
	"time"
)

const (
	maxRegions        = 64
	maxFailureDomains = 256
	maxServices       = 1024
	maxUrgency        = 7
	maxNameLength     = 63
)

type (
	// Config is the configuration document. Operators replace it as a whole.
	Config struct {
		Version  uint64          `json:"version"`
		Regions  []Region        `json:"regions"`
		Links    []Link          `json:"links"`
		Classes  []PriorityClass `json:"classes"`
		Services []Service       `json:"services"`
		Limits   Limits          `json:"limits"`
	}

	// Region is a location with one or more failure domains.
	Region struct {
		Name           string   `json:"name"`
		FailureDomains []string `json:"failure_domains"`
		// CapacityShare is the share of the region's slots that steering may use.
		CapacityShare float64 `json:"capacity_share"`
	}

	// Link is the network link between two regions. Mbit is its capacity in Mbit/s in
	// each direction.
	Link struct {
		Regions     [2]string `json:"regions"`
		Mbit        int       `json:"mbit"`
		OneWayDelay Duration  `json:"one_way_delay"`
	}

	// PriorityClass is a priority class of requests. Lower urgency numbers are served
	// first. Target is the time after which an answer is of no use to the caller.
	PriorityClass struct {
		Name    string   `json:"name"`
		Urgency int      `json:"urgency"`
		Target  Duration `json:"target"`
		// FloorShare is the share of a service's slots that is reserved for the class
		// during overload.
		FloorShare float64 `json:"floor_share"`
	}

	// Service is a named group of interchangeable backend servers. Slots is the number of
	// slots of one server, Servers the usual number of servers and ExpectedLatency the
	// expected latency of a request. An empty list of regions means all regions.
	Service struct {
		Name            string   `json:"name"`
		Class           string   `json:"class"`
		Idempotent      bool     `json:"idempotent"`
		Hedge           bool     `json:"hedge"`
		Slots           int      `json:"slots"`
		Servers         int      `json:"servers"`
		ExpectedLatency Duration `json:"expected_latency"`
		Regions         []string `json:"regions"`
	}

	// Limits holds the limits on stored data, requests and shifts of traffic.
	Limits struct {
		ShiftCapShare      float64  `json:"shift_cap_share"`
		ShiftInterval      Duration `json:"shift_interval"`
		LookupTTL          Duration `json:"lookup_ttl"`
		RetryShare         float64  `json:"retry_share"`
		MaxTimeout         Duration `json:"max_timeout"`
		MaxBodyBytes       int64    `json:"max_body_bytes"`
		ClaimRetention     Duration `json:"claim_retention"`
		ClaimCapacity      int      `json:"claim_capacity"`
		QuarantineDuration Duration `json:"quarantine_for"`
	}
)

// DefaultLimits returns the default limits of a generated configuration.
func DefaultLimits() Limits {
	return Limits{
		ShiftCapShare:      0.05,
		ShiftInterval:      Duration(10 * time.Second),
		LookupTTL:          Duration(5 * time.Second),
		RetryShare:         0.1,
		MaxTimeout:         Duration(60 * time.Second),
		MaxBodyBytes:       1 << 20,
		ClaimRetention:     Duration(7 * 24 * time.Hour),
		ClaimCapacity:      1_000_000,
		QuarantineDuration: Duration(10 * time.Minute),
	}
}

// Service returns the service with the given name.
func (c *Config) Service(name string) (Service, bool) {
	for _, s := range c.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// ClassFor returns the priority class of a request to a service. A requested urgency can
// lower the priority below that of the service's class but not raise it. A negative
// urgency requests nothing.
func (c *Config) ClassFor(s Service, urgency int) PriorityClass {
	own := c.class(s.Class)
	if urgency <= own.Urgency {
		return own
	}
	requested := own
	for _, class := range c.Classes {
		if class.Urgency <= urgency && class.Urgency > requested.Urgency {
			requested = class
		}
	}
	return requested
}

func (c *Config) class(name string) PriorityClass {
	for _, class := range c.Classes {
		if class.Name == name {
			return class
		}
	}
	return PriorityClass{Name: name}
}

// Validate reports every field that is out of range.
func (c *Config) Validate() Findings {
	var f Findings
	c.validateRegions(&f)
	c.validateLinks(&f)
	c.validateClasses(&f)
	c.validateServices(&f)
	f.Merge("limits", c.Limits.Validate())
	return f
}

func (c *Config) validateRegions(f *Findings) {
	if len(c.Regions) == 0 || len(c.Regions) > maxRegions {
		f.Add("regions", "must have 1 to %d entries", maxRegions)
	}
	seen := map[string]bool{}
	for i, r := range c.Regions {
		place := fmt.Sprintf("regions[%d]", i)
		checkName(f, place+".name", r.Name, seen)
		if len(r.FailureDomains) == 0 || len(r.FailureDomains) > maxFailureDomains {
			f.Add(place+".failure_domains", "must have 1 to %d entries", maxFailureDomains)
		}
		domains := map[string]bool{}
		for j, d := range r.FailureDomains {
			checkName(f, fmt.Sprintf("%s.failure_domains[%d]", place, j), d, domains)
		}
		checkShare(f, place+".capacity_share", r.CapacityShare)
	}
}

func (c *Config) validateLinks(f *Findings) {
	for i, l := range c.Links {
		place := fmt.Sprintf("links[%d]", i)
		for j, name := range l.Regions {
			if !c.hasRegion(name) {
				f.Add(fmt.Sprintf("%s.regions[%d]", place, j), "names no region of this configuration: %q", name)
			}
		}
		if l.Regions[0] == l.Regions[1] {
			f.Add(place+".regions", "must name two different regions")
		}
		if l.Mbit < 1 {
			f.Add(place+".mbit", "must be at least 1")
		}
		if l.OneWayDelay < 0 {
			f.Add(place+".one_way_delay", "must not be negative")
		}
	}
}

func (c *Config) validateClasses(f *Findings) {
	if len(c.Classes) == 0 || len(c.Classes) > maxUrgency+1 {
		f.Add("classes", "must have 1 to %d entries", maxUrgency+1)
	}
	seen, urgencies, floors := map[string]bool{}, map[int]bool{}, 0.0
	for i, class := range c.Classes {
		place := fmt.Sprintf("classes[%d]", i)
		checkName(f, place+".name", class.Name, seen)
		if class.Urgency < 0 || class.Urgency > maxUrgency {
			f.Add(place+".urgency", "must be between 0 and %d", maxUrgency)
		}
		if urgencies[class.Urgency] {
			f.Add(place+".urgency", "is used by another class: %d", class.Urgency)
		}
		urgencies[class.Urgency] = true
		if class.Target <= 0 {
			f.Add(place+".target", "must be more than 0")
		}
		if class.FloorShare < 0 || class.FloorShare > 0.5 {
			f.Add(place+".floor_share", "must be between 0 and 0.5")
		}
		floors += class.FloorShare
	}
	if floors > 0.8 {
		f.Add("classes", "floor shares must add up to at most 0.8, not %.2f", floors)
	}
}

func (c *Config) validateServices(f *Findings) {
	if len(c.Services) > maxServices {
		f.Add("services", "must have at most %d entries", maxServices)
	}
	seen := map[string]bool{}
	for i, s := range c.Services {
		place := fmt.Sprintf("services[%d]", i)
		checkName(f, place+".name", s.Name, seen)
		if c.class(s.Class).Target == 0 {
			f.Add(place+".class", "names no class of this configuration: %q", s.Class)
		}
		if s.Slots < 1 {
			f.Add(place+".slots", "must be at least 1")
		}
		if s.Servers < 0 {
			f.Add(place+".servers", "must not be negative")
		}
		if s.Hedge && !s.Idempotent {
			f.Add(place+".hedge", "needs an idempotent service")
		}
		if s.ExpectedLatency <= 0 {
			f.Add(place+".expected_latency", "must be more than 0")
		}
		for j, name := range s.Regions {
			if !c.hasRegion(name) {
				f.Add(fmt.Sprintf("%s.regions[%d]", place, j), "names no region of this configuration: %q", name)
			}
		}
	}
}

func (c *Config) hasRegion(name string) bool {
	for _, r := range c.Regions {
		if r.Name == name {
			return true
		}
	}
	return false
}

// Validate reports every limit that is out of range.
func (l Limits) Validate() Findings {
	var f Findings
	checkShare(&f, "shift_cap_share", l.ShiftCapShare)
	checkPositive(&f, "shift_interval", l.ShiftInterval)
	checkPositive(&f, "lookup_ttl", l.LookupTTL)
	if l.RetryShare < 0 || l.RetryShare > 1 {
		f.Add("retry_share", "must be between 0 and 1")
	}
	checkPositive(&f, "max_timeout", l.MaxTimeout)
	if l.MaxBodyBytes < 1 {
		f.Add("max_body_bytes", "must be at least 1")
	}
	checkPositive(&f, "claim_retention", l.ClaimRetention)
	if l.ClaimCapacity < 1 {
		f.Add("claim_capacity", "must be at least 1")
	}
	checkPositive(&f, "quarantine_for", l.QuarantineDuration)
	return f
}

func checkPositive(f *Findings, place string, d Duration) {
	if d <= 0 {
		f.Add(place, "must be more than 0")
	}
}

func checkShare(f *Findings, place string, v float64) {
	if v <= 0 || v > 1 {
		f.Add(place, "must be more than 0 and at most 1")
	}
}

func checkName(f *Findings, place, name string, seen map[string]bool) {
	if !ValidName(name) {
		f.Add(place, "must be 1 to %d letters, digits, dots, dashes or underscores: %q", maxNameLength, name)
	}
	if seen[name] {
		f.Add(place, "stands twice: %q", name)
	}
	seen[name] = true
}

// ValidName reports whether s is a valid name of a region, a service or another item.
func ValidName(s string) bool {
	if s == "" || len(s) > maxNameLength {
		return false
	}
	for _, c := range s {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '.', c == '-', c == '_':
		default:
			return false
		}
	}
	return true
}
