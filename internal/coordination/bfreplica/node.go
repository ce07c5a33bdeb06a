package bfreplica

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"briarferry"
	"briarferry/internal/coordination/bfraft"
	"briarferry/internal/state/bfstorage"
)

const (
	defaultTick            = 50 * time.Millisecond
	defaultElectionTimeout = time.Second
	// With a spread of 500 ms and 55 ms between regions, the longest timeout, two
	// rounds of votes and a commit stay under 2 s.
	defaultElectionSpread  = 500 * time.Millisecond
	defaultHeartbeat       = 100 * time.Millisecond
	defaultSnapshotEntries = 20_000
	defaultSnapshotBytes   = 32 << 20
	defaultMaxPending      = 4096
	// commitInterval is the shortest time between two notes of the commit index, and
	// commitSyncInterval between two syncs of them.
	commitInterval     = 100 * time.Millisecond
	commitSyncInterval = 500 * time.Millisecond

	// maxMessageBytes bounds the entries of one message and a snapshot chunk.
	maxMessageBytes = 1 << 20
	// maxCommandBytes bounds a command; it is well above a claim with its answer (16 KB).
	maxCommandBytes = 1 << 20
	// maxInflight lets a leader with 1 ms between syncs fill a round trip of 110 ms.
	maxInflight = 128
	inboxSize   = 4096
	// keepBytes bounds the log kept for slow followers; it covers a follower that was
	// away for seconds at the claim rates of today.
	keepBytes = 4 << 20
	// entryBytes is what an entry takes on disk beside its command.
	entryBytes = 32
)

var (
	// ErrUnknown is returned for a command whose fate is unknown, as the replica lost
	// leadership or stopped after appending it.
	ErrUnknown = eris.New("bfreplica: fate of the command is unknown")
	// ErrTooLarge is returned for a command above the size limit; nothing was appended.
	ErrTooLarge = eris.New("bfreplica: command is too large")
	// ErrUnavailable is returned where no leader confirmed a read.
	ErrUnavailable = eris.New("bfreplica: no leader confirmed the read")
)

type (
	// Transport sends messages to other replicas. Send doesn't wait for the network
	// and may drop messages; it keeps the order per receiver.
	Transport interface {
		Send(ctx context.Context, to string, m bfraft.Message) error
	}

	// Discovery makes the calls needed to form a group and to join one.
	Discovery interface {
		// Info asks the replica on a VM for its state.
		Info(ctx context.Context, vm string) (Info, error)
		// Join asks the replica on a VM, if it leads, to add a learner.
		Join(ctx context.Context, vm, id string) error
	}

	// Info is what a replica tells others before it belongs to a group.
	Info struct {
		ID        string   `json:"id"`
		LastIndex uint64   `json:"last_index"`
		Leader    string   `json:"leader"`
		Voters    []string `json:"voters"`
		// FirstVoters are the voters of the group's first entry where the log still holds it.
		FirstVoters []string `json:"first_voters"`
	}

	// Node is a replica of the agreement log. The exported fields are set before Run.
	Node struct {
		// VM is the name of this VM; Control names the VMs with a replica, this one included.
		VM      string
		Control []string
		// Open lets replicas on VMs that Control doesn't name join. Control then names
		// the VMs to ask; the group learns of all others as they join.
		Open bool
		// Seeds returns further VMs to ask; nil stands for none.
		Seeds func() []string
		// NoForm keeps an empty replica from forming a new group; it can only join one.
		NoForm bool
		// KeepCommit notes on disk how far the log is committed, so that a restarted
		// replica has its state before it hears a leader. What it has may be older than
		// the newest; reads by ReadIndex are not affected.
		KeepCommit bool
		// Dir is the data folder.
		Dir       string
		FS        bfstorage.FS
		Machine   briarferry.StateMachine
		Transport Transport
		Discovery Discovery
		Log       zerolog.Logger

		// Zero values of the following fields mean the defaults.
		Tick            time.Duration
		ElectionTimeout time.Duration
		ElectionSpread  time.Duration
		Heartbeat       time.Duration
		// SnapshotEntries and SnapshotBytes are the size of the log at which a
		// snapshot is taken.
		SnapshotEntries uint64
		SnapshotBytes   int
		// MaxPending bounds the commands that wait for their result.
		MaxPending int
		// Rand randomizes election timeouts.
		Rand *rand.Rand

		init      sync.Once
		stopped   chan struct{}
		inbox     chan bfraft.Message
		proposals chan *proposal
		reads     chan *read
		calls     chan func()
		saved     chan bfraft.Snapshot

		core    *bfraft.Raft
		storage *bfstorage.Storage
		applier *applier
		lease   lease
		// readWaits maps request ids to waiting reads.
		readWaits map[uint64]*read
		nextRead  uint64
		// barrier is the last index at this replica's election.
		barrier     uint64
		leaderTerm  uint64
		leaderSince time.Time
		housekeep   int
		// joining belongs to the goroutine that forms or joins a group.
		joining bool
		// noted is the commit index on disk, and notedAt when it was written.
		noted   uint64
		notedAt time.Time
		notes   chan struct{}
		// orphaned tells that no leader was heard for two election timeouts.
		orphaned atomic.Bool

		waits waitTable

		mu        sync.Mutex
		status    briarferry.ReplicaStatus
		info      Info
		applied   atomic.Uint64
		dropped   atomic.Uint64
		snapshots atomic.Uint64
		syncs     atomic.Uint64
	}
)

func (n *Node) setup() {
	n.init.Do(func() {
		setDefault(&n.Tick, defaultTick)
		setDefault(&n.ElectionTimeout, defaultElectionTimeout)
		setDefault(&n.ElectionSpread, defaultElectionSpread)
		setDefault(&n.Heartbeat, defaultHeartbeat)
		setDefault(&n.SnapshotEntries, defaultSnapshotEntries)
		setDefault(&n.SnapshotBytes, defaultSnapshotBytes)
		setDefault(&n.MaxPending, defaultMaxPending)
		if n.Rand == nil {
			n.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		}
		if n.FS == nil {
			n.FS = bfstorage.OSFS{}
		}
		n.stopped = make(chan struct{})
		n.inbox = make(chan bfraft.Message, inboxSize)
		n.proposals = make(chan *proposal, n.MaxPending)
		n.reads = make(chan *read, n.MaxPending)
		n.calls = make(chan func(), 16)
		n.saved = make(chan bfraft.Snapshot, 1)
		n.notes = make(chan struct{}, 1)
		n.readWaits = map[uint64]*read{}
		n.waits.pending = map[uint64]*proposal{}
		n.waits.limit, n.waits.room = n.MaxPending, make(chan struct{}, 1)
	})
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Run drives the replica until the context ends. It then hands leadership over.
func (n *Node) Run(ctx context.Context) error {
	n.setup()
	defer close(n.stopped)
	defer n.failAll()
	if err := n.open(); err != nil {
		return err
	}
	defer func() { _ = n.storage.Close() }()
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	forming, stopForming := context.WithCancel(ctx)
	var group sync.WaitGroup
	group.Go(func() { n.applier.run(work) })
	if n.KeepCommit {
		group.Go(func() { n.syncCommits(work) })
	}
	if n.core.LastIndex() == 0 || n.Open {
		group.Go(func() { n.form(forming) })
	}
	defer group.Wait()
	defer cancel()
	defer stopForming()
	return n.loop(ctx, work)
}

func (n *Node) ticks(d time.Duration) int { return max(1, int(d/n.Tick)) }

// open reads the data folder and prepares the state machine.
func (n *Node) open() error {
	storage, rec, err := bfstorage.Open(n.FS, n.Dir, 0)
	if err != nil {
		return eris.Wrap(err, "bfreplica: open data folder")
	}
	n.storage = storage
	recovered := bfraft.Recovered{HardState: bfraft.HardState(rec.HardState)}
	if n.KeepCommit {
		recovered.Commit = rec.CommitIndex
	}
	for _, e := range rec.Entries {
		recovered.Entries = append(recovered.Entries, bfraft.Entry{Index: e.Index, Term: e.Term, Kind: bfraft.EntryKind(e.Kind), Data: e.Data})
	}
	if rec.Snapshot != nil {
		if recovered.Snapshot, err = decodeSnapshot(rec.Snapshot); err != nil {
			return err
		}
	}
	n.core, err = bfraft.New(bfraft.Config{
		ID: n.VM + "/" + rec.DiskID, ElectionTicks: n.ticks(n.ElectionTimeout), SpreadTicks: n.ticks(n.ElectionSpread),
		HeartbeatTicks: n.ticks(n.Heartbeat), MaxMessageBytes: maxMessageBytes, MaxInflight: maxInflight,
		KeepEntries: n.SnapshotEntries / 4, KeepBytes: keepBytes, Rand: n.Rand,
	}, recovered)
	if err != nil {
		return err
	}
	n.applier = newApplier(n)
	if s := recovered.Snapshot; s != nil {
		if err := n.applier.restore(s); err != nil {
			return err
		}
	}
	n.Log.Info().Str("id", n.core.ID()).Uint64("last_index", n.core.LastIndex()).Msg("replica opened")
	n.publish()
	return nil
}

func (n *Node) loop(ctx, work context.Context) error {
	ticker := time.NewTicker(n.Tick)
	defer ticker.Stop()
	done := ctx.Done()
	var stop stopping
	for {
		var proposals chan *proposal
		if n.waits.size() < n.MaxPending {
			proposals = n.proposals
		}
		started := time.Now()
		select {
		case <-done:
			done = nil
			stop.begin(n)
		case <-ticker.C:
			started = time.Now()
			n.core.Tick()
			n.keepHouse()
		case m := <-n.inbox:
			started = time.Now()
			n.core.Step(m)
			n.drainInbox()
		case p := <-proposals:
			started = time.Now()
			n.propose(p)
		case r := <-n.reads:
			started = time.Now()
			n.startRead(r)
		case fn := <-n.calls:
			fn()
		case <-n.waits.room:
		case s := <-n.saved:
			if err := n.compact(s); err != nil {
				return err
			}
		case err := <-n.applier.failed:
			return err
		}
		if err := n.process(work, started); err != nil {
			return err
		}
		n.saveCommit(started)
		if stop.finished(n) {
			return nil
		}
	}
}

// drainInbox handles the messages that are already there, so that one sync covers
// all of them.
func (n *Node) drainInbox() {
	for range inboxSize {
		select {
		case m := <-n.inbox:
			n.core.Step(m)
		default:
			return
		}
	}
}

// Deliver hands a received message to the replica. It drops the message where the
// replica can't keep up.
func (n *Node) Deliver(m bfraft.Message) {
	n.setup()
	select {
	case n.inbox <- m:
	default:
		n.dropped.Add(1)
	}
}

// call runs fn in the replica's loop and waits for it.
func (n *Node) call(ctx context.Context, fn func()) error {
	n.setup()
	done := make(chan struct{})
	select {
	case n.calls <- func() { fn(); close(done) }:
	case <-n.stopped:
		return ErrUnavailable
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-n.stopped:
		return ErrUnavailable
	case <-ctx.Done():
		return ctx.Err()
	}
}

// VMOf returns the VM name of a replica id, which has the form vm/disk.
func VMOf(id string) string {
	vm, _, _ := strings.Cut(id, "/")
	return vm
}

func isNotLeader(err error) bool { return errors.Is(err, bfraft.ErrNotLeader) }
