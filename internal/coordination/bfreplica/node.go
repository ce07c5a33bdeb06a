// Package bfreplica runs a replica of the replicated log: it stores the log on disk,
// exchanges messages with the other replicas, applies committed commands to a state
// machine, and forms or joins the group.
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
	// With a jitter of 500 ms and a delay of 55 ms between regions, the longest election
	// timeout, the pre-vote, the vote and a commit together take less than 2 s.
	defaultElectionJitter  = 500 * time.Millisecond
	defaultHeartbeat       = 100 * time.Millisecond
	defaultSnapshotEntries = 20_000
	defaultSnapshotBytes   = 32 << 20
	defaultMaxPending      = 4096
	// commitSaveInterval is the minimum time between two writes of the commit index, and
	// commitSyncInterval that between two syncs of these writes.
	commitSaveInterval = 100 * time.Millisecond
	commitSyncInterval = 500 * time.Millisecond

	// maxMessageBytes limits the entries of one message, and a snapshot chunk.
	maxMessageBytes = 1 << 20
	// MaxCommandBytes limits a command; a claim with its answer is far smaller (16 KB).
	MaxCommandBytes = 1 << 20
	// maxInflightAppends covers a round trip of 110 ms for a leader that syncs its log,
	// and so sends an append, every 1 ms.
	maxInflightAppends = 128
	maxInboxMessages   = 4096
	// keepLogBytes limits the log kept for slow followers. At the current claim rates it
	// covers a follower that was unreachable for several seconds.
	keepLogBytes = 4 << 20
	// entryOverheadBytes is the size of an entry on disk without its command.
	entryOverheadBytes = 32
)

var (
	// ErrOutcomeUnknown is returned for a command that may or may not be committed, as the
	// replica lost leadership or stopped after appending it.
	ErrOutcomeUnknown = eris.New("bfreplica: fate of the command is unknown")
	// ErrTooLarge is returned for a command above MaxCommandBytes; nothing was appended.
	ErrTooLarge = eris.New("bfreplica: command is too large")
	// ErrUnavailable is returned for a read that no leader confirmed, and by a replica that
	// has stopped.
	ErrUnavailable = eris.New("bfreplica: no leader confirmed the read")
)

type (
	// Transport sends messages to other replicas. Send doesn't wait for the network and
	// may drop messages, but keeps their order per receiver.
	Transport interface {
		Send(ctx context.Context, to string, m bfraft.Message) error
	}

	// Node is a replica of the replicated log. The exported fields must be set before Run.
	Node struct {
		// VM is the name of this VM. Control lists the VMs that run a replica, including
		// this one.
		VM      string
		Control []string
		// OpenMembership lets replicas on VMs that Control doesn't list join the group.
		// Control then lists the VMs to contact; the group learns of all others as they
		// join.
		OpenMembership bool
		// MinVoters is the number of voters below which an open group doesn't remove silent
		// ones. A group whose disks may be lost at f VMs at the same time needs 2f+1.
		MinVoters int
		// Seeds returns further VMs to contact; it may be nil.
		Seeds func() []string
		// JoinOnly prevents a replica whose data directory is new from forming a new group. One
		// that was started without JoinOnly on the same directory may still form it.
		JoinOnly bool
		// PersistCommit saves the commit index on disk, so that a restarted replica can
		// apply its log before it hears from a leader. The state after that may be older
		// than the newest committed one; reads by ReadIndex are not affected.
		PersistCommit bool
		// Dir is the data directory.
		Dir       string
		FS        bfstorage.FS
		Machine   briarferry.StateMachine
		Transport Transport
		Discovery Discovery
		Log       zerolog.Logger

		// Zero values of the following fields select the defaults.
		Tick            time.Duration
		ElectionTimeout time.Duration
		ElectionJitter  time.Duration
		Heartbeat       time.Duration
		// A snapshot is taken when the log since the last one has SnapshotEntries entries
		// or SnapshotBytes bytes.
		SnapshotEntries uint64
		SnapshotBytes   int
		// MaxPending limits the commands that wait for their result.
		MaxPending int
		// Rand randomizes election timeouts.
		Rand *rand.Rand

		initOnce       sync.Once
		stopped        chan struct{}
		inbox          chan bfraft.Message
		proposals      chan *proposal
		reads          chan *read
		loopCalls      chan func() error // functions to run in the loop
		savedSnapshots chan bfraft.Snapshot

		raft    *bfraft.Raft
		storage *bfstorage.Storage
		applier *applier
		lease   lease
		// formation is what is stored about the forming of the group.
		formation bfstorage.Formation
		// pendingReads maps request ids to the reads that wait for their index.
		pendingReads map[uint64]*read
		lastReadID   uint64
		// electionIndex is the last index at the time of this replica's election. The log
		// up to it includes everything that earlier leaders committed.
		electionIndex uint64
		// leaderTerm and leaderSince are the term and the start of this replica's
		// leadership; leaderSince is zero while it isn't the leader.
		leaderTerm       uint64
		leaderSince      time.Time
		maintenanceTicks int
		// leavingSince maps voters that stop to the value of maintenanceTicks at their last
		// call of Leave.
		leavingSince map[string]int
		// stopping is true once this replica has begun to stop.
		stopping bool
		// joinLogged is true after the join was logged; only the goroutine that forms or
		// joins a group uses it.
		joinLogged bool
		// savedCommit is the commit index on disk, and savedCommitAt when it was written.
		savedCommit   uint64
		savedCommitAt time.Time
		// A value is sent on commitSaved after each write of the commit index.
		commitSaved chan struct{}
		// heardLeader is true once this replica has known a leader.
		heardLeader bool
		// leaderLost is true if no leader was heard from for two election timeouts or since
		// the start.
		leaderLost atomic.Bool

		pendingCommands pendingTable

		mu              sync.Mutex
		status          briarferry.ReplicaStatus
		info            Info
		applied         atomic.Uint64
		messagesDropped atomic.Uint64
		snapshotsSaved  atomic.Uint64
		logSyncs        atomic.Uint64
	}
)

func (n *Node) setup() {
	n.initOnce.Do(func() {
		setDefault(&n.Tick, defaultTick)
		setDefault(&n.ElectionTimeout, defaultElectionTimeout)
		setDefault(&n.ElectionJitter, defaultElectionJitter)
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
		n.inbox = make(chan bfraft.Message, maxInboxMessages)
		n.proposals = make(chan *proposal, n.MaxPending)
		n.reads = make(chan *read, n.MaxPending)
		n.loopCalls = make(chan func() error, 16)
		n.savedSnapshots = make(chan bfraft.Snapshot, 1)
		n.commitSaved = make(chan struct{}, 1)
		n.pendingReads = map[uint64]*read{}
		n.leavingSince = map[string]int{}
		// Replies to reads of an earlier process may still arrive and must not match new ones.
		n.lastReadID = rand.Uint64()
		n.pendingCommands.byIndex = map[uint64]*proposal{}
		n.pendingCommands.limit, n.pendingCommands.notFull = n.MaxPending, make(chan struct{}, 1)
	})
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Run runs the replica until the context ends. It then transfers leadership, and leaves an
// open group that does without it, before it returns.
func (n *Node) Run(ctx context.Context) error {
	n.setup()
	defer close(n.stopped)
	defer n.failAll()
	if err := n.open(); err != nil {
		return err
	}
	defer func() { _ = n.storage.Close() }()
	workCtx, cancelWork := context.WithCancel(context.WithoutCancel(ctx))
	formCtx, cancelForm := context.WithCancel(ctx)
	var group sync.WaitGroup
	group.Go(func() { n.applier.run(workCtx) })
	if n.PersistCommit {
		group.Go(func() { n.syncCommits(workCtx) })
	}
	if n.raft.LastIndex() == 0 || n.OpenMembership {
		group.Go(func() { n.formOrJoin(formCtx) })
	}
	defer group.Wait()
	defer cancelWork()
	defer cancelForm()
	return n.loop(ctx, workCtx)
}

// ticks converts a duration to a number of ticks, which is at least one.
func (n *Node) ticks(d time.Duration) int { return max(1, int(d/n.Tick)) }

// open reads the data directory and restores Raft and the state machine from it.
func (n *Node) open() error {
	storage, rec, err := bfstorage.Open(n.FS, n.Dir, 0)
	if err != nil {
		return eris.Wrap(err, "bfreplica: open data directory")
	}
	n.storage = storage
	recovered := bfraft.Recovered{HardState: bfraft.HardState(rec.HardState)}
	if n.PersistCommit {
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
	n.raft, err = bfraft.New(bfraft.Config{
		ID: n.VM + "/" + rec.DiskID, ElectionTicks: n.ticks(n.ElectionTimeout), ElectionJitterTicks: n.ticks(n.ElectionJitter),
		HeartbeatTicks: n.ticks(n.Heartbeat), MaxMessageBytes: maxMessageBytes, MaxInflight: maxInflightAppends,
		KeepEntries: n.SnapshotEntries / 4, KeepBytes: keepLogBytes, Rand: n.Rand,
	}, recovered)
	if err != nil {
		return err
	}
	if err := n.loadFormation(rec.Formation); err != nil {
		return err
	}
	n.applier = newApplier(n)
	if s := recovered.Snapshot; s != nil {
		if err := n.applier.restore(s); err != nil {
			return err
		}
	}
	n.Log.Info().Str("id", n.raft.ID()).Uint64("last_index", n.raft.LastIndex()).Msg("replica opened")
	n.publish()
	return nil
}

// loop handles one event at a time and then processes the output of Raft, until the
// shutdown is finished.
func (n *Node) loop(ctx, workCtx context.Context) error {
	ticker := time.NewTicker(n.Tick)
	defer ticker.Stop()
	done := ctx.Done()
	var stop shutdown
	defer stop.end()
	for {
		var proposals chan *proposal
		if n.pendingCommands.size() < n.MaxPending {
			proposals = n.proposals
		}
		started := time.Now()
		select {
		case <-done:
			done = nil
			stop.begin(n)
		case <-ticker.C:
			started = time.Now()
			n.raft.Tick()
			n.runMaintenance()
		case m := <-n.inbox:
			started = time.Now()
			n.raft.Step(m)
			n.drainInbox()
		case p := <-proposals:
			started = time.Now()
			n.propose(p)
		case r := <-n.reads:
			started = time.Now()
			n.startRead(r)
		case fn := <-n.loopCalls:
			if err := fn(); err != nil {
				return err
			}
		case <-n.pendingCommands.notFull:
		case s := <-n.savedSnapshots:
			if err := n.compact(s); err != nil {
				return err
			}
		case err := <-n.applier.failed:
			return err
		}
		if err := n.handleReady(workCtx, started); err != nil {
			return err
		}
		n.saveCommit(started)
		if stop.advance(workCtx, n) {
			return nil
		}
	}
}

// drainInbox handles all messages that are already in the inbox, so that one disk sync
// covers them.
func (n *Node) drainInbox() {
	for range maxInboxMessages {
		select {
		case m := <-n.inbox:
			n.raft.Step(m)
		default:
			return
		}
	}
}

// Deliver passes a received message to the replica. It drops the message if the inbox is
// full.
func (n *Node) Deliver(m bfraft.Message) {
	n.setup()
	select {
	case n.inbox <- m:
	default:
		n.messagesDropped.Add(1)
	}
}

// callInLoop runs fn in the replica's loop and waits for it. An error of fn ends the replica.
func (n *Node) callInLoop(ctx context.Context, fn func() error) error {
	n.setup()
	done := make(chan struct{})
	select {
	case n.loopCalls <- func() error {
		if err := fn(); err != nil {
			return err
		}
		close(done)
		return nil
	}:
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

// VMOf returns the VM name in a replica id of the form vm/disk.
func VMOf(id string) string {
	vm, _, _ := strings.Cut(id, "/")
	return vm
}

func isNotLeader(err error) bool { return errors.Is(err, bfraft.ErrNotLeader) }
