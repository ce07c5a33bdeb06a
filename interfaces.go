package briarferry

import (
	"context"
	"net/netip"
	"time"
)

type (
	// Claimer keeps the durable claims through which a request with an idempotency key
	// runs at most once.
	Claimer interface {
		// Claim requests the right to run the request.
		Claim(ctx context.Context, c Claim) (ClaimReply, error)
		// Complete records the answer of the request. The caller must hold the claim.
		Complete(ctx context.Context, c Claim, a Answer) error
		// Release gives up a claim whose request certainly was not dispatched. If the
		// reply is ClaimReleased, the request counts as not run.
		Release(ctx context.Context, c Claim) (ClaimReply, error)
		// Refuse records that the attempt will not run, and that no attempt with the key
		// that arrived earlier may run. It is for an attempt that, as far as the
		// entry knows, holds no claim.
		Refuse(ctx context.Context, c Claim) (ClaimReply, error)
	}

	// ConfigSource provides the configuration that this entry may use.
	ConfigSource interface {
		// Current returns the configuration and its lease. It returns false while the
		// entry has no valid lease.
		Current() (*Config, Lease, bool)
	}

	// Admitter decides which waiting request gets the next slot.
	Admitter interface {
		// Acquire waits for a slot of the ticket's service. It returns a *Refusal as
		// soon as the request can't be served in time.
		Acquire(ctx context.Context, t Ticket) (Slot, error)
	}

	// Ticket describes a request that waits for a slot.
	Ticket struct {
		Service  string
		Class    PriorityClass
		Deadline time.Time
		// Expected is the expected time for which the request uses the slot.
		Expected time.Duration
		// Avoid lists the servers that earlier tries of the request used.
		Avoid []BackendID
	}

	// Slot is the right to have a request in flight at a backend server.
	Slot interface {
		Backend() Backend
		// Done returns the slot and reports the result of the try. It must be called
		// once.
		Done(r TryReport)
	}

	// TryReport is the result of a finished try, as far as it concerns the backend
	// server.
	TryReport struct {
		Latency time.Duration
		// Failed is true if the try ended without a complete answer or with status 5xx.
		Failed bool
		// Shed is true if the server refused the request because of overload.
		Shed bool
		// ConnectionRefused is true if the server refused a new connection.
		ConnectionRefused bool
		// Cancelled is true if the entry cancelled the try, or sent nothing because of its
		// own connection limit. Latency is then a lower bound, or 0 if nothing was sent.
		Cancelled bool
	}

	// SlotPool manages the slots that this entry holds.
	SlotPool interface {
		// TryAcquire acquires a free slot of the service. It uses a server to avoid only
		// if no other server has a free slot.
		TryAcquire(service string, avoid []BackendID) (Slot, bool)
		// Capacity returns the number of slots held for the service, busy or free.
		Capacity(service string) int
		// SetDemand sets the number of requests, by urgency, that wait for the service.
		SetDemand(service string, waiting map[int]int)
		// SlotFreed returns a channel on which a value is sent after a slot of the service
		// may have become free.
		SlotFreed(service string) <-chan struct{}
	}

	// Balancer selects among the backend servers with a free slot.
	Balancer interface {
		// Pick returns the index of the selected candidate, or -1 if there is none.
		Pick(now time.Time, candidates []Candidate) int
		// Report records the result of a try.
		Report(now time.Time, id BackendID, r TryReport)
	}

	// Candidate is a backend server with a free slot, as the balancer sees it.
	Candidate struct {
		Backend   Backend
		InFlight  int
		HeldSlots int
		// Local reports whether the server is in the entry's region.
		Local bool
		// Delay is the one-way delay to the server's region.
		Delay time.Duration
	}

	// Upstream sends requests to backend servers.
	Upstream interface {
		// Do tries the request once. It returns the complete answer or a *TryError. If the
		// server says that it did not run the request, it may return the answer's status
		// and headers together with the error.
		Do(ctx context.Context, b Backend, r *Request) (*Answer, error)
	}

	// Quarantine prevents requests that crash backend servers from being run again.
	Quarantine interface {
		// Check returns a *Refusal if the fingerprint is quarantined.
		Check(fingerprint uint64) error
		// StartRun must be called before a request with the fingerprint runs. It returns a
		// *Refusal if the fingerprint is quarantined. If the fingerprint is suspect, it
		// waits while another request with it runs, and if equal requests of several other
		// callers are quarantined, while another new caller's one runs. The returned
		// function must be called
		// when the try has ended; after a crash, it returns once the other entries know
		// of the crash.
		StartRun(ctx context.Context, fingerprint uint64, b Backend) (done func(result RunResult), err error)
	}

	// Quotas admits requests of organisations within their quotas, which hold for all
	// entries together.
	Quotas interface {
		// Acquire takes a token of the organisation's quota, and waits for one only while
		// the answer of the quota's owner is under way. It returns a *Refusal with the time
		// at which a token will be there if the quota is used up.
		Acquire(ctx context.Context, organisation string) (QuotaToken, error)
	}

	// QuotaToken is the right to run one request.
	QuotaToken interface {
		// Return gives the token back. It is called for a request that certainly didn't run.
		Return()
	}

	// Members provides the membership of the system's VMs.
	Members interface {
		// Self returns this VM.
		Self() VM
		// Live returns the VMs that are up, this one included, sorted by name.
		Live() []VM
		// Connected reports whether this VM is in contact with enough of the others to act
		// on its state: with at least half of them or, in a routed deployment, with a
		// control VM.
		Connected() bool
	}

	// Placement assigns entries to blocks of callers' addresses.
	Placement interface {
		// Entries returns the entries for a caller's address, best first.
		Entries(service string, caller netip.Addr) []WeightedEntry
	}

	// WeightedEntry is an entry in the answer to a look-up.
	WeightedEntry struct {
		VM     VM
		Weight int
	}

	// StateMachine is a state machine that the Raft log replicates.
	StateMachine interface {
		// Apply applies a committed command and returns its encoded result. It must be
		// deterministic: it may depend only on the state and its arguments.
		Apply(index uint64, cmd []byte) []byte
		// Snapshot returns the encoded state.
		Snapshot() ([]byte, error)
		// Restore replaces the state by the one of a snapshot.
		Restore(data []byte) error
	}

	// Replica is a replica of the Raft log.
	Replica interface {
		// Propose appends a command and returns its result after this replica has
		// applied it. After an error other than ErrNotLeader, the command may or may
		// not be applied.
		Propose(ctx context.Context, cmd []byte) ([]byte, error)
		// ReadIndex returns a log index that covers every write that was finished before
		// the call.
		ReadIndex(ctx context.Context) (uint64, error)
		// Status returns the status of the replica.
		Status() ReplicaStatus
	}

	// ReplicaStatus is the status of a replica and its group.
	ReplicaStatus struct {
		ID       string   `json:"id"`
		Leader   string   `json:"leader"`
		IsLeader bool     `json:"is_leader"`
		Term     uint64   `json:"term"`
		Commit   uint64   `json:"commit"`
		Applied  uint64   `json:"applied"`
		Voters   []string `json:"voters"`
		Learners []string `json:"learners"`
		// LeaderSince is the time at which this replica was elected; it is zero if the
		// replica is not the leader.
		LeaderSince time.Time `json:"leader_since"`
		// LeaseUntil is the time at which the leader's quorum lease expires.
		LeaseUntil time.Time `json:"lease_until"`
	}
)
