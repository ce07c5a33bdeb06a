package briarferry

import (
	"context"
	"net/netip"
	"time"
)

type (
	// Claimer keeps the durable record that makes a keyed request run at most once.
	Claimer interface {
		// Claim asks for the right to run.
		Claim(ctx context.Context, c Claim) (ClaimReply, error)
		// Complete records the answer of a claim that the caller of this method holds.
		Complete(ctx context.Context, c Claim, a Answer) error
		// Release gives back a claim that certainly was not dispatched. After it
		// returns nil the key counts as not run.
		Release(ctx context.Context, c Claim) (ClaimReply, error)
		// Refuse records that an attempt that holds no claim will not run.
		Refuse(ctx context.Context, c Claim) (ClaimReply, error)
	}

	// ConfigSource gives the configuration that this entry may act on.
	ConfigSource interface {
		// Current returns the configuration and the lease, or false while the entry
		// holds no valid lease.
		Current() (*Config, Lease, bool)
	}

	// Admitter decides which waiting request gets the next slot.
	Admitter interface {
		// Acquire waits for a slot of the ticket's service. It fails with a *Refusal
		// as soon as the ticket can't be served in time.
		Acquire(ctx context.Context, t Ticket) (Slot, error)
	}

	// Ticket describes a request that waits for a slot.
	Ticket struct {
		Service  string
		Class    PriorityClass
		Deadline time.Time
		// Expected is the time the request is expected to hold the slot.
		Expected time.Duration
		// Avoid lists servers that an earlier try of the request used.
		Avoid []BackendID
	}

	// Slot is the right to have one request in flight at a backend server.
	Slot interface {
		Backend() Backend
		// Done gives the slot back with what the try showed. It is called once.
		Done(r TryReport)
	}

	// TryReport is what a finished try shows about its backend server.
	TryReport struct {
		Latency time.Duration
		// Failed is true for a try that ended without a whole answer or with a 5xx.
		Failed bool
		// Shed is true where the server refused the request for its own load.
		Shed bool
		// Refused is true where the server accepted no connection.
		Refused bool
		// Cancelled is true where the entry gave the try up. Its latency is a lower
		// bound then, or 0 where nothing was sent.
		Cancelled bool
	}

	// SlotPool hands out the slots that this entry holds.
	SlotPool interface {
		// TryAcquire takes a free slot of the service, at none of the avoided
		// servers where another has one.
		TryAcquire(service string, avoid []BackendID) (Slot, bool)
		// Capacity returns the number of slots held for the service, busy or free.
		Capacity(service string) int
		// SetDemand tells how many requests of each urgency wait for the service.
		SetDemand(service string, waiting map[int]int)
		// Freed returns a channel that receives after a slot of the service may
		// have become free.
		Freed(service string) <-chan struct{}
	}

	// Balancer chooses among backend servers with a free slot.
	Balancer interface {
		// Pick returns the index of the chosen candidate, or -1 for none.
		Pick(now time.Time, candidates []Candidate) int
		// Report feeds back what a try showed.
		Report(now time.Time, id BackendID, r TryReport)
	}

	// Candidate is a backend server with a free slot, as the balancer sees it.
	Candidate struct {
		Backend  Backend
		InFlight int
		Held     int
		// Local tells whether the server is in the entry's own region.
		Local bool
		// Delay is the one-way delay to the server's region.
		Delay time.Duration
	}

	// Upstream sends one try to a backend server.
	Upstream interface {
		// Do returns the whole answer, or a *TryError.
		Do(ctx context.Context, b Backend, r *Request) (*Answer, error)
	}

	// Quarantine keeps requests away from servers that they would crash.
	Quarantine interface {
		// Check returns a *Refusal where the fingerprint is quarantined.
		Check(fingerprint uint64) error
		// Enter asks to run a request with the fingerprint. It returns a *Refusal
		// where the fingerprint is quarantined, or waits while another suspect run is
		// under way. The returned function must be called when the try has ended;
		// it returns once other entries know of a crash.
		Enter(ctx context.Context, fingerprint uint64, b Backend) (leave func(end RunEnd), err error)
	}

	// Members knows the system's VMs.
	Members interface {
		// Self returns this VM.
		Self() VM
		// Live returns the VMs that are up, this one included, sorted by name.
		Live() []VM
		// Connected is false while this VM considers itself cut off.
		Connected() bool
	}

	// Placement answers which entries a block of clients should use.
	Placement interface {
		// Entries returns the entries for a client address, best first.
		Entries(service string, client netip.Addr) []PlacedEntry
	}

	// PlacedEntry is one entry of a look-up's answer.
	PlacedEntry struct {
		VM     VM
		Weight int
	}

	// StateMachine is what the agreement log replicates.
	StateMachine interface {
		// Apply runs a committed command and returns its encoded result. It must
		// depend on nothing but the state and its arguments.
		Apply(index uint64, cmd []byte) []byte
		// Snapshot returns the whole state.
		Snapshot() ([]byte, error)
		// Restore replaces the whole state.
		Restore(data []byte) error
	}

	// Replica proposes commands to the agreement log.
	Replica interface {
		// Propose appends a command and returns its result once it is applied here.
		// An error leaves the command's fate unknown unless it is ErrNotLeader.
		Propose(ctx context.Context, cmd []byte) ([]byte, error)
		// ReadIndex returns an index that covers every write finished before the call.
		ReadIndex(ctx context.Context) (uint64, error)
		// Status describes the replica.
		Status() ReplicaStatus
	}

	// ReplicaStatus describes a replica's place in its group.
	ReplicaStatus struct {
		ID       string   `json:"id"`
		Leader   string   `json:"leader"`
		IsLeader bool     `json:"is_leader"`
		Term     uint64   `json:"term"`
		Commit   uint64   `json:"commit"`
		Applied  uint64   `json:"applied"`
		Voters   []string `json:"voters"`
		Learners []string `json:"learners"`
		// LeaderSince is when this replica was elected; zero where it does not lead.
		LeaderSince time.Time `json:"leader_since"`
		// LeaseUntil is the end of the leader's quorum lease.
		LeaseUntil time.Time `json:"lease_until"`
	}
)
