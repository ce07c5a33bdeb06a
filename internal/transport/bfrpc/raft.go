package bfrpc

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"briarferry"
	"briarferry/internal/coordination/bfraft"
	"briarferry/internal/coordination/bfreplica"
)

const (
	procedureRaftStream = "/briarferry.Agreement/Stream"
	procedureRaftInfo   = "/briarferry.Agreement/Info"
	procedureRaftJoin   = "/briarferry.Agreement/Join"
	procedureRaftLeave  = "/briarferry.Agreement/Leave"
	procedureRaftPledge = "/briarferry.Agreement/Pledge"

	maxBatchMessages = 256
	raftCallTimeout  = time.Second
)

// ErrQueueFull is returned if a peer's queue is full or the peer is unknown.
var ErrQueueFull = eris.New("bfrpc: peer's queue is full")

type (
	// RaftBatch is an ordered list of Raft messages.
	RaftBatch struct {
		Sequence uint64           `cbor:"1,keyasint"`
		Messages []bfraft.Message `cbor:"2,keyasint"`
	}

	// RaftAck acknowledges the receipt of a batch.
	RaftAck struct {
		Sequence uint64 `cbor:"1,keyasint"`
	}

	// MemberRequest asks the leader to add a replica as a learner, tells it that the replica
	// stops, or asks for a pledge to the replica.
	MemberRequest struct {
		ID string `cbor:"1,keyasint"`
	}

	// LeaveReply reports whether the replica that stops may end.
	LeaveReply struct {
		MayStop bool `cbor:"1,keyasint"`
	}

	// Empty is a message without fields.
	Empty struct{}

	// RaftReplica is the replica that the handlers of HandleRaft call.
	RaftReplica interface {
		Deliver(m bfraft.Message)
		Info() bfreplica.Info
		Join(ctx context.Context, id string) error
		Leave(ctx context.Context, id string) (mayStop bool, err error)
		Pledge(ctx context.Context, former string) (bfreplica.Info, error)
	}

	// RaftClient sends Raft messages to the replicas on other VMs. The exported fields
	// are set before Run.
	RaftClient struct {
		// Peers maps the names of control VMs to their addresses.
		Peers map[string]netip.AddrPort
		// Resolve returns the address of a VM that is not in Peers; if it is nil, such
		// VMs are unknown.
		Resolve func(vm string) (netip.AddrPort, bool)
		// AckTimeout is the longest time without an acknowledgement after which a connection
		// is replaced; zero means 1 s.
		AckTimeout time.Duration
		// QueueMessages and QueueBytes limit the queue of each peer; zero means 4,096
		// messages and 32 MB.
		QueueMessages int
		QueueBytes    int64
		// Security secures the calls; nil means cleartext.
		Security *Security

		init        sync.Once
		unaryClient *http.Client

		mu    sync.Mutex
		peers map[string]*raftPeer
		// start starts sending a peer's queue; it is nil while Run is not running.
		start func(p *raftPeer)
	}
)

var (
	_ bfreplica.Transport = (*RaftClient)(nil)
	_ bfreplica.Discovery = (*RaftClient)(nil)
)

// Validate checks every message of the batch.
func (b *RaftBatch) Validate() briarferry.Findings {
	var f briarferry.Findings
	if len(b.Messages) > maxBatchMessages {
		f.Add("messages", "must have at most %d entries", maxBatchMessages)
		return f
	}
	for i := range b.Messages {
		f.Merge(fmt.Sprintf("messages[%d]", i), b.Messages[i].Validate())
	}
	return f
}

// Validate checks the format of the replica's id.
func (m *MemberRequest) Validate() briarferry.Findings {
	var f briarferry.Findings
	vm, disk, ok := strings.Cut(m.ID, "/")
	if !ok || !briarferry.ValidName(vm) || !briarferry.ValidName(disk) {
		f.Add("id", "must have the form vm/disk: %q", m.ID)
	}
	return f
}

// HandleRaft registers the Raft procedures of a replica.
func HandleRaft(mux *http.ServeMux, r RaftReplica) {
	mux.Handle(procedureRaftStream, connect.NewBidiStreamHandler(procedureRaftStream,
		func(_ context.Context, s *connect.BidiStream[RaftBatch, RaftAck]) error { return receiveBatches(r, s) },
		handlerOptions()...))
	Handle(mux, procedureRaftInfo, func(context.Context, *Empty) (*bfreplica.Info, error) {
		info := r.Info()
		return &info, nil
	})
	Handle(mux, procedureRaftJoin, func(ctx context.Context, m *MemberRequest) (*Empty, error) {
		if err := r.Join(ctx, m.ID); err != nil {
			return nil, connect.NewError(connect.CodeFailedPrecondition, err)
		}
		return &Empty{}, nil
	})
	Handle(mux, procedureRaftLeave, func(ctx context.Context, m *MemberRequest) (*LeaveReply, error) {
		mayStop, err := r.Leave(ctx, m.ID)
		if err != nil {
			return nil, connect.NewError(connect.CodeFailedPrecondition, err)
		}
		return &LeaveReply{MayStop: mayStop}, nil
	})
	Handle(mux, procedureRaftPledge, func(ctx context.Context, m *MemberRequest) (*bfreplica.Info, error) {
		info, err := r.Pledge(ctx, m.ID)
		if err != nil {
			return nil, connect.NewError(connect.CodeFailedPrecondition, err)
		}
		return &info, nil
	})
}

func receiveBatches(r RaftReplica, s *connect.BidiStream[RaftBatch, RaftAck]) error {
	for {
		batch, err := s.Receive()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		for _, m := range batch.Messages {
			r.Deliver(m)
		}
		if err := s.Send(&RaftAck{Sequence: batch.Sequence}); err != nil {
			return err
		}
	}
}

func (c *RaftClient) initialize() {
	c.init.Do(func() {
		if c.AckTimeout == 0 {
			c.AckTimeout = time.Second
		}
		if c.QueueMessages == 0 {
			c.QueueMessages = 4096
		}
		if c.QueueBytes == 0 {
			c.QueueBytes = 32 << 20
		}
		c.peers = map[string]*raftPeer{}
		for vm, addr := range c.Peers {
			c.peers[vm] = c.newPeer(addr)
		}
		// Calls to form or join a group are rare. Each one uses its own connection, so
		// that none is sent over a connection that is dead but was never closed.
		c.unaryClient = c.Security.NewClient(&http.Transport{DisableKeepAlives: true}, 0)
	})
}

// Run sends the queued messages until the context ends. It must run longer than the
// replica, whose last messages transfer leadership.
func (c *RaftClient) Run(ctx context.Context) error {
	c.initialize()
	var group sync.WaitGroup
	c.mu.Lock()
	c.start = func(p *raftPeer) { group.Go(func() { p.run(ctx) }) }
	for _, p := range c.peers {
		c.start(p)
	}
	c.mu.Unlock()
	<-ctx.Done()
	c.mu.Lock()
	c.start = nil
	c.mu.Unlock()
	group.Wait()
	return nil
}

func (c *RaftClient) newPeer(addr netip.AddrPort) *raftPeer {
	return &raftPeer{client: c, baseURL: c.Security.baseURL(addr), queue: make(chan bfraft.Message, c.QueueMessages)}
}

// peer returns the peer on a VM, or nil if the VM's address is unknown.
func (c *RaftClient) peer(vm string) *raftPeer {
	c.initialize()
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.peers[vm]; p != nil || c.Resolve == nil {
		return p
	}
	addr, ok := c.Resolve(vm)
	if !ok {
		return nil
	}
	p := c.newPeer(addr)
	c.peers[vm] = p
	if c.start != nil {
		c.start(p)
	}
	return p
}

// Send adds a message to the queue of the replica's VM.
func (c *RaftClient) Send(_ context.Context, to string, m bfraft.Message) error {
	p := c.peer(bfreplica.VMOf(to))
	if p == nil || !p.enqueue(m) {
		return ErrQueueFull
	}
	return nil
}

// Info asks the replica on a VM for its state.
func (c *RaftClient) Info(ctx context.Context, vm string) (bfreplica.Info, error) {
	res, err := callRaft[Empty, bfreplica.Info](ctx, c, vm, procedureRaftInfo, &Empty{})
	if err != nil {
		return bfreplica.Info{}, err
	}
	return *res, nil
}

// Join asks the replica on a VM to add a learner.
func (c *RaftClient) Join(ctx context.Context, vm, id string) error {
	_, err := callRaft[MemberRequest, Empty](ctx, c, vm, procedureRaftJoin, &MemberRequest{ID: id})
	return err
}

// Leave tells the leader on a VM that a replica stops. A leader of an earlier version doesn't
// know the call and keeps the replica as a member, which may then end at once.
func (c *RaftClient) Leave(ctx context.Context, vm, id string) (bool, error) {
	res, err := callRaft[MemberRequest, LeaveReply](ctx, c, vm, procedureRaftLeave, &MemberRequest{ID: id})
	if connect.CodeOf(err) == connect.CodeUnimplemented {
		return true, nil
	}
	if err != nil {
		return false, err
	}
	return res.MayStop, nil
}

// Pledge asks the replica on a VM for its pledge. One of an earlier version doesn't know the
// call and gives its state, without a pledge.
func (c *RaftClient) Pledge(ctx context.Context, vm, former string) (bfreplica.Info, error) {
	res, err := callRaft[MemberRequest, bfreplica.Info](ctx, c, vm, procedureRaftPledge, &MemberRequest{ID: former})
	if connect.CodeOf(err) == connect.CodeUnimplemented {
		return c.Info(ctx, vm)
	}
	if err != nil {
		return bfreplica.Info{}, err
	}
	return *res, nil
}

func callRaft[Req, Res any](ctx context.Context, c *RaftClient, vm, procedure string, req *Req) (*Res, error) {
	p := c.peer(vm)
	if p == nil {
		return nil, eris.Errorf("bfrpc: %q is not a known control VM", vm)
	}
	ctx, cancel := context.WithTimeout(ctx, raftCallTimeout)
	defer cancel()
	return NewCall[Req, Res](c.unaryClient, p.baseURL, procedure)(ctx, req)
}
