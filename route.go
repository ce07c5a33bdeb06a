package briarferry

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"time"
)

const (
	// MaxRoutes is the maximum number of routes of a table.
	MaxRoutes       = 20_000
	maxHostLength   = 253
	maxPrefixLength = 2048
	maxWeight       = 1_000_000
	maxSplitParts   = 64
	maxAttempts     = 32
	maxHomeRegions  = maxRegions
	// MaxRouteTimeout is the maximum timeout of a route.
	MaxRouteTimeout = 10 * time.Minute
	// maxTargetExcess is the time by which a route's target may exceed its timeout.
	maxTargetExcess = time.Minute
)

type (
	// RouteTable is the configuration of a routed deployment: the services, and the
	// routes that assign requests to them.
	RouteTable struct {
		Version  uint64         `json:"version" cbor:"1,keyasint"`
		Services []RouteService `json:"services" cbor:"2,keyasint"`
		Routes   []Route        `json:"routes" cbor:"3,keyasint"`
		Limits   EntryLimits    `json:"limits" cbor:"4,keyasint"`
		// Organisations are the callers that have keys. Without any, callers need none.
		Organisations []Organisation `json:"organisations,omitempty" cbor:"5,keyasint,omitempty"`
		// KeySalt is the salt of the organisations' key digests. A later table keeps it, so
		// that unchanged keys have unchanged digests.
		KeySalt []byte `json:"key_salt,omitempty" cbor:"6,keyasint,omitempty"`
	}

	// RouteService is a group of backend servers to which routes send requests.
	RouteService struct {
		Name       string `json:"name" cbor:"1,keyasint"`
		HealthPath string `json:"health_path" cbor:"2,keyasint"`
		// ConnectionLimit is the number of connections that a server accepts from all
		// entries together.
		ConnectionLimit int `json:"connection_limit" cbor:"3,keyasint"`
		// ColdStart is the time for which a server is cold after its start. ColdRate is
		// the number of requests per second that it can handle while it is cold.
		ColdStart Duration `json:"cold_start" cbor:"4,keyasint"`
		ColdRate  float64  `json:"cold_rate" cbor:"5,keyasint"`
	}

	// EntryLimits holds an entry's limits on the size of callers' requests, the time to
	// send headers and the idle time of connections.
	EntryLimits struct {
		MaxHeaderBytes int      `json:"max_header_bytes" cbor:"1,keyasint"`
		MaxBodyBytes   int64    `json:"max_body_bytes" cbor:"2,keyasint"`
		HeaderTimeout  Duration `json:"header_timeout" cbor:"3,keyasint"`
		IdleTimeout    Duration `json:"idle_timeout" cbor:"4,keyasint"`
	}

	// Route defines how the requests to a host and path prefix are handled.
	Route struct {
		Name   string `json:"name" cbor:"1,keyasint"`
		Host   string `json:"host" cbor:"2,keyasint"`
		Prefix string `json:"prefix" cbor:"3,keyasint"`
		// Idempotent reports whether requests may run more than once.
		Idempotent bool `json:"idempotent" cbor:"4,keyasint"`
		// Timeout is the maximum time until a request is answered. Target is the time
		// within which an answer is fully useful to the caller.
		Timeout Duration `json:"timeout" cbor:"5,keyasint"`
		Target  Duration `json:"target" cbor:"6,keyasint"`
		// Urgency is the priority of the requests; 0 is served first.
		Urgency int         `json:"urgency" cbor:"7,keyasint"`
		Split   []SplitPart `json:"split" cbor:"8,keyasint"`
		// MaxAttempts is the maximum number of tries of a request. Tries in which nothing
		// was sent don't count.
		MaxAttempts int `json:"max_attempts" cbor:"9,keyasint"`
		// Affinity prefers the server that last handled a request with the same key.
		Affinity bool `json:"affinity" cbor:"10,keyasint"`
		// HomeRegions are the only regions whose servers may handle the requests; empty
		// means all regions.
		HomeRegions []string `json:"home_regions" cbor:"11,keyasint"`
		// LargeAnswers marks routes of downloads, whose answers have tens of kilobytes or
		// more.
		LargeAnswers bool `json:"large_answers,omitempty" cbor:"12,keyasint,omitempty"`
		// LargeBodies marks routes of uploads, whose requests have bodies of tens of
		// kilobytes or more.
		LargeBodies bool `json:"large_bodies,omitempty" cbor:"13,keyasint,omitempty"`
		// Open allows requests without an organisation's key.
		Open bool `json:"open,omitempty" cbor:"14,keyasint,omitempty"`
	}

	// SplitPart is a service with the weight of its share of a route's requests.
	SplitPart struct {
		Service string `json:"service" cbor:"1,keyasint"`
		Weight  int    `json:"weight" cbor:"2,keyasint"`
	}
)

// Validate reports every field of the table that is out of range.
func (t *RouteTable) Validate() Findings {
	var f Findings
	if t.Version == 0 {
		f.Add("version", "must be at least 1")
	}
	if len(t.Services) > maxServices {
		f.Add("services", "must have at most %d entries", maxServices)
	}
	if len(t.Routes) > MaxRoutes {
		f.Add("routes", "must have at most %d entries", MaxRoutes)
	}
	if len(f) > 0 {
		return f
	}
	services := map[string]bool{}
	for i := range t.Services {
		place := fmt.Sprintf("services[%d]", i)
		f.Merge(place, t.Services[i].Validate())
		if services[t.Services[i].Name] {
			f.Add(place+".name", "stands twice: %q", t.Services[i].Name)
		}
		services[t.Services[i].Name] = true
	}
	paths := map[string]bool{}
	for i := range t.Routes {
		place := fmt.Sprintf("routes[%d]", i)
		r := &t.Routes[i]
		f.Merge(place, r.Validate())
		for j, part := range r.Split {
			if !services[part.Service] {
				f.Add(fmt.Sprintf("%s.split[%d].service", place, j), "is unknown: %q", part.Service)
			}
		}
		if key := r.Host + r.Prefix; paths[key] {
			f.Add(place+".prefix", "stands twice for the host: %q", r.Prefix)
		} else {
			paths[key] = true
		}
	}
	t.validateOrganisations(&f)
	f.Merge("limits", t.Limits.Validate())
	return f
}

// Validate reports every field of the service that is out of range.
func (s *RouteService) Validate() Findings {
	var f Findings
	if !ValidName(s.Name) {
		f.Add("name", "must be a name: %q", s.Name)
	}
	if s.ConnectionLimit < 1 || s.ConnectionLimit > maxConnections {
		f.Add("connection_limit", "must be between 1 and %d", maxConnections)
	}
	if s.ColdStart < 0 || !(s.ColdRate >= 0) {
		f.Add("cold_rate", "cold start and cold rate must not be negative")
	}
	return f
}

// Validate reports limits that are out of range.
func (l *EntryLimits) Validate() Findings {
	var f Findings
	if l.MaxHeaderBytes < 0 || l.MaxBodyBytes < 0 || l.HeaderTimeout < 0 || l.IdleTimeout < 0 {
		f.Add("max_header_bytes", "limits must not be negative")
	}
	return f
}

// Validate reports every field of the route that is out of range. It does not check
// whether the table has the services of the route.
func (r *Route) Validate() Findings {
	var f Findings
	if r.Host == "" || len(r.Host) > maxHostLength {
		f.Add("host", "must have 1 to %d characters", maxHostLength)
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") || len(r.Prefix) > maxPrefixLength {
		f.Add("prefix", "must begin and end with a slash and have at most %d characters: %q", maxPrefixLength, r.Prefix)
	}
	if timeout := r.Timeout.Std(); timeout <= 0 || timeout > MaxRouteTimeout {
		f.Add("timeout", "must be more than 0 and at most %v: %v", MaxRouteTimeout, timeout)
	}
	if r.Target < 0 || r.Target.Std() >= r.Timeout.Std()+maxTargetExcess {
		f.Add("target", "must be less than %v above the timeout: %v", maxTargetExcess, r.Target.Std())
	}
	if r.Urgency < 0 {
		f.Add("urgency", "must not be negative: %d", r.Urgency)
	}
	if r.MaxAttempts < 1 || r.MaxAttempts > maxAttempts {
		f.Add("max_attempts", "must be between 1 and %d: %d", maxAttempts, r.MaxAttempts)
	}
	if len(r.HomeRegions) > maxHomeRegions {
		f.Add("home_regions", "must have at most %d entries", maxHomeRegions)
	}
	f.Merge("split", r.validateSplit())
	return f
}

func (r *Route) validateSplit() Findings {
	var f Findings
	if len(r.Split) == 0 || len(r.Split) > maxSplitParts {
		f.Add("parts", "must have 1 to %d entries", maxSplitParts)
	}
	total := 0
	for i, part := range r.Split {
		if part.Weight < 0 || part.Weight > maxWeight {
			f.Add(fmt.Sprintf("parts[%d].weight", i), "must be between 0 and %d", maxWeight)
			continue
		}
		total += part.Weight
	}
	if total == 0 {
		f.Add("parts", "must have a weight above 0")
	}
	return f
}

// ServesIn reports whether servers in the region may handle the route's requests.
func (r *Route) ServesIn(region string) bool {
	return len(r.HomeRegions) == 0 || slices.Contains(r.HomeRegions, region)
}

// HasHomes reports whether a route or an organisation of the table has home regions. A nil table
// has none.
func (t *RouteTable) HasHomes() bool {
	if t == nil {
		return false
	}
	return slices.ContainsFunc(t.Routes, func(r Route) bool { return len(r.HomeRegions) > 0 }) ||
		slices.ContainsFunc(t.Organisations, func(o Organisation) bool { return o.HasHomes() })
}

// Service returns the service with the given name.
func (t *RouteTable) Service(name string) (RouteService, bool) {
	for _, s := range t.Services {
		if s.Name == name {
			return s, true
		}
	}
	return RouteService{}, false
}

// HostName returns the host of a Host header in lower case, without its port.
func HostName(hostport string) string {
	host := hostport
	if h, _, err := net.SplitHostPort(hostport); err == nil {
		host = h
	}
	return strings.ToLower(host)
}
