package bfcontrol

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"testing"
	"time"

	"briarferry"
	"briarferry/internal/state/bffleet"
	"briarferry/internal/transport/bfcaller"
)

// orderHandler serves the orders to withdraw evacuations and to deregister servers, and
// counts those that it has answered.
func orderHandler(n *Node, answered chan<- error) http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern string, call func(ctx context.Context, r *http.Request) error) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			ctx, cancel := context.WithTimeout(r.Context(), 900*time.Millisecond)
			defer cancel()
			err := call(ctx, r)
			if err != nil {
				w.WriteHeader(HTTPStatus(err))
			}
			answered <- err
		})
	}
	handle("DELETE /evacuate/{domain}", func(ctx context.Context, r *http.Request) error {
		return n.Evacuate(ctx, r.PathValue("domain"), true)
	})
	handle("DELETE /instances/{id}", func(ctx context.Context, r *http.Request) error {
		return n.Deregister(ctx, r.PathValue("id"))
	})
	return mux
}

// serveAbandoned sends the order, closes the connection, and only then lets the control VM
// read it, as a process does that was frozen meanwhile. It returns the outcome.
func serveAbandoned(t *testing.T, n *Node, path string) error {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprintf(c, "DELETE %s HTTP/1.1\r\nHost: control\r\n\r\n", path); err != nil {
		t.Fatal(err)
	}
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	answered := make(chan error, 1)
	s := &http.Server{Handler: orderHandler(n, answered), ConnContext: bfcaller.WithConn}
	go func() { _ = s.Serve(ln) }()
	defer func() { _ = s.Close() }()
	select {
	case err := <-answered:
		return err
	case <-time.After(5 * time.Second):
		t.Fatal("the order was not handled")
		return nil
	}
}

// TestAbandonedOrders guards against an order that takes effect after its caller gave up and
// a newer one was confirmed: at a control VM that was frozen, it undid the newer one.
func TestAbandonedOrders(t *testing.T) {
	nodes := startGroup(t)
	in := briarferry.Instance{ID: "i-1", Service: "s", Address: netip.MustParseAddrPort("127.0.0.1:80"), FailureDomain: "a", Slots: 1, Started: 5, Sequence: 1}
	if err := eventually(t, func(ctx context.Context) error { return nodes[0].Report(ctx, in) }); err != nil {
		t.Fatal(err)
	}
	if err := eventually(t, func(ctx context.Context) error { return nodes[0].Evacuate(ctx, "a", false) }); err != nil {
		t.Fatal(err)
	}
	for _, n := range nodes {
		for _, path := range []string{"/evacuate/a", "/instances/i-1"} {
			if err := serveAbandoned(t, n.Node, path); !errors.Is(err, ErrCallerGone) {
				t.Errorf("%s: abandoned DELETE %s: %v, want ErrCallerGone", n.Address, path, err)
			}
		}
	}
	if err := nodes[0].catchUp(context.Background()); err != nil {
		t.Fatal(err)
	}
	s := nodes[0].machine.State()
	if _, ok := s.Server("i-1"); !ok || !slices.Equal(s.Evacuated, []string{"a"}) {
		t.Errorf("%d servers registered, evacuated %v; want 1 server and a", len(s.Servers), s.Evacuated)
	}
}

// TestDelayedOrder guards against a command that was made before newer orders and is applied
// after them, as when a process is frozen between making and proposing it.
func TestDelayedOrder(t *testing.T) {
	nodes := startGroup(t)
	evacuate := func(withdraw bool) {
		t.Helper()
		if err := eventually(t, func(ctx context.Context) error { return nodes[0].Evacuate(ctx, "a", withdraw) }); err != nil {
			t.Fatal(err)
		}
	}
	catchUp := func() {
		t.Helper()
		if err := eventually(t, nodes[0].catchUp); err != nil {
			t.Fatal(err)
		}
	}
	evacuate(false)
	catchUp()
	base := nodes[0].machine.State().EvacuationOrders["a"]
	evacuate(true)
	evacuate(false)
	delayed := bffleet.Command{Evacuate: &bffleet.Evacuate{FailureDomain: "a", Withdraw: true, Conditional: true, Base: base}}
	var r bffleet.Result
	err := eventually(t, func(ctx context.Context) (err error) {
		r, err = nodes[0].propose(ctx, delayed)
		return err
	})
	if err != nil || r.Code != bffleet.CodeConflict {
		t.Errorf("delayed withdrawal: code %q, error %v, want a conflict", r.Code, err)
	}
	catchUp()
	if got := nodes[0].machine.State().Evacuated; !slices.Equal(got, []string{"a"}) {
		t.Errorf("evacuated %v, want a", got)
	}
}

// TestConcurrentOrders guards against orders that are refused or lost because others for the
// same failure domain are confirmed at the same time.
func TestConcurrentOrders(t *testing.T) {
	nodes := startGroup(t)
	if err := eventually(t, func(ctx context.Context) error { return nodes[0].Evacuate(ctx, "a", false) }); err != nil {
		t.Fatal(err)
	}
	failed := make(chan error, 8)
	for i := range cap(failed) {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			failed <- nodes[i%len(nodes)].Evacuate(ctx, "a", i%2 == 0)
		}()
	}
	for range cap(failed) {
		if err := <-failed; err != nil {
			t.Error(err)
		}
	}
}
