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
	raftStream = "/briarferry.Agreement/Stream"
	raftInfo   = "/briarferry.Agreement/Info"
	raftJoin   = "/briarferry.Agreement/Join"

	maxBatchMessages = 256
	raftCallTimeout  = time.Second
)

// ErrQueueFull is returned where a peer's queue has no room or the peer is not known.
var ErrQueueFull = eris.New("bfrpc: peer's queue is full")

type (
	// RaftBatch is a group of agreement messages, in order.
	RaftBatch struct {
		Sequence uint64           `cbor:"1,keyasint"`
		Messages []bfraft.Message `cbor:"2,keyasint"`
	}

	// RaftAck tells the sender that a batch has arrived.
	RaftAck struct {
		Sequence uint64 `cbor:"1,keyasint"`
	}

	// JoinRequest asks for a replica to be added as a learner.
	JoinRequest struct {
		ID string `cbor:"1,keyasint"`
	}

	// Empty is a message without fields.
	Empty struct{}

	// RaftNode is the replica that the handlers serve.
	RaftNode interface {
		Deliver(m bfraft.Message)
		Info() bfreplica.Info
		Join(ctx context.Context, id string) error
	}

	// RaftClient sends agreement messages to the replicas on other VMs. The exported
	// fields are set before Run.
	RaftClient struct {
		// Peers gives the address of each control VM by name.
		Peers map[string]netip.AddrPort
		// Resolve gives the address of a VM that Peers doesn't name; nil knows none.
		Resolve func(vm string) (netip.AddrPort, bool)
		// AckTimeout is the time without an acknowledgement after which a connection is
		// replaced; zero means 1 s.
		AckTimeout time.Duration
		// QueueMessages and QueueBytes bound what waits for a peer; zero means 4,096
		// messages and 32 MB.
		QueueMessages int
		QueueBytes    int64
		// Security protects the calls; nil stands for cleartext.
		Security *Security

		init  sync.Once
		calls *http.Client

		mu    sync.Mutex
		peers map[string]*raftPeer
		// start runs a peer's queue; it is nil while the client doesn't run.
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

// Validate checks the form of the replica's id.
func (j *JoinRequest) Validate() briarferry.Findings {
	var f briarferry.Findings
	vm, disk, ok := strings.Cut(j.ID, "/")
	if !ok || !briarferry.ValidName(vm) || !briarferry.ValidName(disk) {
		f.Add("id", "must have the form vm/disk: %q", j.ID)
	}
	return f
}

// HandleRaft registers the agreement calls for a replica.
func HandleRaft(mux *http.ServeMux, n RaftNode) {
	mux.Handle(raftStream, connect.NewBidiStreamHandler(raftStream,
		func(_ context.Context, s *connect.BidiStream[RaftBatch, RaftAck]) error { return receiveRaft(n, s) },
		handlerOptions()...))
	Handle(mux, raftInfo, func(context.Context, *Empty) (*bfreplica.Info, error) {
		info := n.Info()
		return &info, nil
	})
	Handle(mux, raftJoin, func(ctx context.Context, r *JoinRequest) (*Empty, error) {
		if err := n.Join(ctx, r.ID); err != nil {
			return nil, connect.NewError(connect.CodeFailedPrecondition, err)
		}
		return &Empty{}, nil
	})
}

func receiveRaft(n RaftNode, s *connect.BidiStream[RaftBatch, RaftAck]) error {
	for {
		batch, err := s.Receive()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		for _, m := range batch.Messages {
			n.Deliver(m)
		}
		if err := s.Send(&RaftAck{Sequence: batch.Sequence}); err != nil {
			return err
		}
	}
}

func (c *RaftClient) setup() {
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
		// Formation calls are rare, so each uses its own connection and none goes silent.
		c.calls = c.Security.NewClient(&http.Transport{DisableKeepAlives: true}, 0)
	})
}

// Run serves the queues until the context ends. It must outlive the replica, whose
// last messages hand leadership over.
func (c *RaftClient) Run(ctx context.Context) error {
	c.setup()
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
	return &raftPeer{client: c, base: c.Security.base(addr), queue: make(chan bfraft.Message, c.QueueMessages)}
}

// peer returns the queue for a VM, or nil where its address isn't known.
func (c *RaftClient) peer(vm string) *raftPeer {
	c.setup()
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

// Send queues a message for the VM of the replica.
func (c *RaftClient) Send(_ context.Context, to string, m bfraft.Message) error {
	p := c.peer(bfreplica.VMOf(to))
	if p == nil || !p.push(m) {
		return ErrQueueFull
	}
	return nil
}

// Info asks the replica on a VM for its state.
func (c *RaftClient) Info(ctx context.Context, vm string) (bfreplica.Info, error) {
	res, err := raftCall[Empty, bfreplica.Info](ctx, c, vm, raftInfo, &Empty{})
	if err != nil {
		return bfreplica.Info{}, err
	}
	return *res, nil
}

// Join asks the replica on a VM to add a learner.
func (c *RaftClient) Join(ctx context.Context, vm, id string) error {
	_, err := raftCall[JoinRequest, Empty](ctx, c, vm, raftJoin, &JoinRequest{ID: id})
	return err
}

func raftCall[Req, Res any](ctx context.Context, c *RaftClient, vm, procedure string, req *Req) (*Res, error) {
	p := c.peer(vm)
	if p == nil {
		return nil, eris.Errorf("bfrpc: %q is no control VM", vm)
	}
	ctx, cancel := context.WithTimeout(ctx, raftCallTimeout)
	defer cancel()
	return NewCall[Req, Res](c.calls, p.base, procedure)(ctx, req)
}
