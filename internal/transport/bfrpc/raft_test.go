package bfrpc

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"briarferry/internal/coordination/bfraft"
	"briarferry/internal/coordination/bfreplica"
	"briarferry/internal/state/bfcodec"
)

// recorder is a state machine that records all commands in order.
type recorder struct {
	mu   sync.Mutex
	cmds []string
}

func (r *recorder) Apply(_ uint64, cmd []byte) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cmds = append(r.cmds, string(cmd))
	return cmd
}

func (r *recorder) Snapshot() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return bfcodec.Marshal(r.cmds)
}

func (r *recorder) Restore(b []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cmds = nil
	return bfcodec.Unmarshal(b, &r.cmds)
}

func (r *recorder) list() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.cmds)
}

type replicaProcess struct {
	node    *bfreplica.Node
	machine *recorder
	stop    func()
}

// loopbackCluster runs replicas that communicate over loopback sockets.
type loopbackCluster struct {
	t       *testing.T
	dir     string
	peers   map[string]netip.AddrPort
	running map[string]*replicaProcess
}

func newLoopbackCluster(t *testing.T, names ...string) *loopbackCluster {
	l := &loopbackCluster{t: t, dir: t.TempDir(), peers: map[string]netip.AddrPort{}, running: map[string]*replicaProcess{}}
	listeners := map[string]net.Listener{}
	for _, name := range names {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners[name] = ln
		l.peers[name] = ln.Addr().(*net.TCPAddr).AddrPort()
	}
	for _, name := range names {
		l.start(name, listeners[name])
	}
	t.Cleanup(func() {
		for _, p := range l.running {
			p.stop()
		}
	})
	return l
}

func (l *loopbackCluster) start(name string, ln net.Listener) {
	if ln == nil {
		var err error
		if ln, err = net.Listen("tcp", l.peers[name].String()); err != nil {
			l.t.Fatal(err)
		}
	}
	client := &RaftClient{Peers: l.peers}
	p := &replicaProcess{machine: &recorder{}}
	p.node = &bfreplica.Node{
		VM: name, Control: []string{"a", "b", "c"}, Dir: filepath.Join(l.dir, name), Machine: p.machine,
		Transport: client, Discovery: client, SnapshotEntries: 100,
	}
	mux := http.NewServeMux()
	HandleRaft(mux, p.node)
	server := NewServer(mux)
	nodeCtx, stopNode := context.WithCancel(context.Background())
	netCtx, stopNet := context.WithCancel(context.Background())
	var nodeDone, netDone sync.WaitGroup
	netDone.Go(func() { _ = server.Serve(ln) })
	netDone.Go(func() { _ = client.Run(netCtx) })
	nodeDone.Go(func() {
		if err := p.node.Run(nodeCtx); err != nil {
			l.t.Errorf("%s: %v", name, err)
		}
	})
	p.stop = func() {
		stopNode()
		nodeDone.Wait()
		stopNet()
		_ = server.Close()
		netDone.Wait()
	}
	l.running[name] = p
}

func (l *loopbackCluster) stop(name string) {
	l.running[name].stop()
	delete(l.running, name)
}

// propose tries all replicas until one commits the command.
func (l *loopbackCluster) propose(cmd string) {
	l.t.Helper()
	deadline := time.Now().Add(15 * time.Second)
	for time.Now().Before(deadline) {
		for _, p := range l.running {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_, err := p.node.Propose(ctx, []byte(cmd))
			cancel()
			if err == nil {
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	l.t.Fatalf("no replica committed %q", cmd)
}

func (l *loopbackCluster) waitFor(what string, ok func() bool) {
	l.t.Helper()
	waitFor(l.t, what, ok)
}

func (l *loopbackCluster) leader() string {
	for name, p := range l.running {
		if p.node.Status().IsLeader {
			return name
		}
	}
	return ""
}

// haveEqualCommands returns a function that reports whether all running replicas have
// applied the same sequence of count commands, not counting duplicates.
func (l *loopbackCluster) haveEqualCommands(count int) func() bool {
	return func() bool {
		var first []string
		for _, p := range l.running {
			got := dedupe(p.machine.list())
			if len(got) != count {
				return false
			}
			if first == nil {
				first = got
			} else if !slices.Equal(first, got) {
				return false
			}
		}
		return true
	}
}

// dedupe removes the duplicates of commands that were sent more than once.
func dedupe(cmds []string) []string {
	seen, out := map[string]bool{}, []string{}
	for _, c := range cmds {
		if !seen[c] {
			seen[c] = true
			out = append(out, c)
		}
	}
	return out
}

func (l *loopbackCluster) proposeRange(from, to int) {
	for i := from; i < to; i++ {
		l.propose(fmt.Sprintf("command %d", i))
	}
}

// TestLeaderStopAndWipedDataDirectory guards against a group that doesn't survive a
// stopped leader, a lost data directory or the return of the VM with a new disk id.
func TestLeaderStopAndWipedDataDirectory(t *testing.T) {
	l := newLoopbackCluster(t, "a", "b", "c")
	l.proposeRange(0, 150)
	l.waitFor("three equal replicas", l.haveEqualCommands(150))
	old := l.leader()
	l.stop(old)
	l.proposeRange(150, 300)
	l.start(old, nil)
	l.waitFor("the restarted replica caught up", l.haveEqualCommands(300))

	wiped := "b"
	oldID := l.running[wiped].node.Status().ID
	l.stop(wiped)
	if err := os.RemoveAll(filepath.Join(l.dir, wiped)); err != nil {
		t.Fatal(err)
	}
	l.proposeRange(300, 350)
	l.start(wiped, nil)
	l.proposeRange(350, 400)
	l.waitFor("the replica with the wiped data directory caught up", l.haveEqualCommands(400))
	l.waitFor("the old replica id was replaced", func() bool {
		newID := l.running[wiped].node.Status().ID
		for _, p := range l.running {
			s := p.node.Status()
			if len(s.Voters) != 3 || !slices.Contains(s.Voters, newID) || slices.Contains(s.Voters, oldID) {
				return false
			}
		}
		return newID != oldID
	})
	l.waitFor("a leader with a lease", func() bool {
		name := l.leader()
		return name != "" && !l.running[name].node.Status().LeaseUntil.IsZero()
	})
	for _, p := range l.running {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		if _, err := p.node.ReadIndex(ctx); err != nil {
			t.Errorf("read index at %s: %v", p.node.VM, err)
		}
		cancel()
	}
}

// TestInvalidBatchIsRejected guards against malformed messages that reach the replica.
func TestInvalidBatchIsRejected(t *testing.T) {
	for name, b := range map[string]RaftBatch{
		"no type":   {Messages: testMessages(0, "a", "b")},
		"no sender": {Messages: testMessages(1, "", "b")},
		"too many":  {Messages: make([]bfraft.Message, maxBatchMessages+1)},
	} {
		data, err := Codec{}.Marshal(b)
		if err != nil {
			t.Fatal(err)
		}
		if err := (Codec{}).Unmarshal(data, new(RaftBatch)); err == nil {
			t.Errorf("%s: the batch was accepted", name)
		}
	}
	if f := (&MemberRequest{ID: "a"}).Validate(); f.Err() == nil {
		t.Error("an id without a disk was accepted")
	}
}

// FuzzRaftBatch guards against batches that make the receiver panic, and against accepted
// batches with a message that has no sender or receiver.
func FuzzRaftBatch(f *testing.F) {
	data, _ := Codec{}.Marshal(RaftBatch{Sequence: 1, Messages: testMessages(5, "a/1", "b/2")})
	f.Add(data)
	f.Add([]byte{0xa1, 0x02, 0x81, 0xa0})
	f.Fuzz(func(t *testing.T, b []byte) {
		var batch RaftBatch
		if (Codec{}).Unmarshal(b, &batch) != nil {
			return
		}
		for _, m := range batch.Messages {
			if m.From == "" || m.To == "" {
				t.Fatal("a message without sender or receiver was accepted")
			}
		}
	})
}

func testMessages(kind bfraft.MessageType, from, to string) []bfraft.Message {
	return []bfraft.Message{{Type: kind, From: from, To: to, Term: 1}}
}
