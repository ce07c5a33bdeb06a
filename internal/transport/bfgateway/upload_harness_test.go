package bfgateway

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"briarferry"
	"briarferry/internal/state/bffleet"
)

const uploadTimeout = 4 * time.Second

// uploadBody is a body of which no two parts of some length are the same.

var uploadBody = func() string {
	var b strings.Builder
	for i := 0; b.Len() < 360<<10; i++ {
		fmt.Fprintf(&b, "%07d ", i)
	}
	return b.String()
}()

type (
	// uploadEntry is an entry with backend servers that play an order of events.
	uploadEntry struct {
		*testEntry
		servers []*uploadServer
	}

	// uploadServer handles its first connection with its first script and so on, and further
	// ones with the last.
	uploadServer struct {
		listener net.Listener
		scripts  []uploadScript
		opened   atomic.Int64
		// bytes counts the bytes of requests that arrived.
		bytes atomic.Int64
	}

	// uploadScript handles a connection of a backend server.
	uploadScript func(s *serverConn)

	// serverConn is a connection at a backend server.
	serverConn struct {
		net.Conn
		br *bufio.Reader
		t  *testing.T
	}

	// uploadCaller is a caller's connection.
	uploadCaller struct {
		net.Conn
		br *bufio.Reader
		t  *testing.T
	}

	countingConn struct {
		net.Conn
		bytes *atomic.Int64
	}
)

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// newUploadEntry starts an entry with one backend server for each list of scripts. Requests to

// /order/ may have bodies of 360 KiB.

func newUploadEntry(t *testing.T, scripts ...[]uploadScript) *uploadEntry {
	u := &uploadEntry{testEntry: newTestEntry(t, answer(200, "X-Signature"))}
	next, table := *u.state, *u.state.Routes
	table.Version, table.Routes, table.Limits.MaxBodyBytes = 2, slices.Clone(table.Routes), 400<<10
	table.Routes[1].LargeBodies, table.Routes[1].Timeout = true, briarferry.Duration(uploadTimeout)
	table.Routes[1].Target = briarferry.Duration(uploadTimeout / 2)
	next.Revision, next.Routes, next.Servers = 2, &table, nil
	for i, list := range scripts {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		s := &uploadServer{listener: ln, scripts: list}
		t.Cleanup(func() { _ = ln.Close() })
		go s.serve(t)
		u.servers = append(u.servers, s)
		next.Servers = append(next.Servers, bffleet.Server{Instance: briarferry.Instance{
			ID: fmt.Sprint("u-", i), Service: "s", FailureDomain: "a", Slots: 4, Address: netip.MustParseAddrPort(ln.Addr().String()),
		}})
	}
	u.state = &next
	u.node.update(u.state)
	go func() { _ = u.node.server.serve(u.node.listener) }()
	return u
}

func (s *uploadServer) serve(t *testing.T) {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		script := s.scripts[min(int(s.opened.Add(1))-1, len(s.scripts)-1)]
		go func() {
			defer c.Close()
			_ = c.SetDeadline(time.Now().Add(20 * time.Second))
			counted := countingConn{c, &s.bytes}
			script(&serverConn{Conn: c, br: bufio.NewReaderSize(counted, 16), t: t})
		}()
	}
}

// head reads the head of a request. It returns nil at the end of the connection.

func (s *serverConn) head() *http.Request {
	r, err := http.ReadRequest(s.br)
	if err != nil {
		return nil
	}
	return r
}

func (s *serverConn) answer(r *http.Request, status int, header string) {
	_, _ = fmt.Fprintf(s, "HTTP/1.1 %d Status\r\nX-Id: %s\r\n%s: 1\r\nContent-Length: 6\r\n\r\nanswer", status, r.Header.Get("X-Id"), header)
}

// storeBodies answers each request when it has its whole body, and sends the bodies to the

// channel.

func storeBodies(bodies chan<- string) uploadScript {
	return func(s *serverConn) {
		for r := s.head(); r != nil; r = s.head() {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			bodies <- string(body)
			s.answer(r, 200, "X-Signature")
		}
	}
}

func (u *uploadEntry) dial() *uploadCaller {
	c := u.connect()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return &uploadCaller{Conn: c, br: bufio.NewReader(c), t: u.t.(*testing.T)}
}

func uploadHead(id string, length int, headers ...string) string {
	head := "POST /order/1?a=%7C|b HTTP/1.1\r\nHost: shop.example\r\nX-Id: " + id + "\r\nContent-Length: " + strconv.Itoa(length) + "\r\n"
	for _, h := range headers {
		head += h + "\r\n"
	}
	return head + "\r\n"
}

func (c *uploadCaller) send(text string) {
	c.t.Helper()
	write(c.t, c.Conn, text)
}

// receive reads an answer. It fails the test if the connection ends before.

func (c *uploadCaller) receive() reply {
	c.t.Helper()
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		c.t.Fatalf("no answer: %v", err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.t.Fatalf("answer is not complete: %v", err)
	}
	out := reply{status: resp.StatusCode, header: resp.Header, body: string(body)}
	_ = json.Unmarshal(body, &out.problem)
	return out
}

// want reads an answer and checks its status.

func (c *uploadCaller) want(status int) reply {
	c.t.Helper()
	got := c.receive()
	if got.status != status || got.header.Get("X-Id") == "" {
		c.t.Fatalf("status %d, header %v, body %q; want %d", got.status, got.header, got.body, status)
	}
	return got
}

// wantEnd checks that the connection ends without an answer.

func (c *uploadCaller) wantEnd() {
	c.t.Helper()
	if data, err := io.ReadAll(c.br); err == nil && len(data) > 0 || err != nil && isTimeoutError(err) {
		c.t.Errorf("the connection did not end without an answer: %q, %v", data, err)
	}
}

func isTimeoutError(err error) bool {
	e, ok := err.(net.Error)
	return ok && e.Timeout()
}

func receiveString(t *testing.T, c <-chan string) string {
	t.Helper()
	select {
	case s := <-c:
		return s
	case <-time.After(10 * time.Second):
		t.Fatal("nothing within 10 s")
		return ""
	}
}

// wantIdle checks that nothing of the requests is held any more.

func (u *uploadEntry) wantIdle() {
	u.t.Helper()
	waitFor(u.t.(*testing.T), func() bool { return u.node.bodyMemory.used.Load() == 0 && u.node.active.Load() == 0 })
}

// TestUploadIsPassedOn guards against holding a body until it is complete, against changing

// it, and against connections that can't be used again after a complete upload.

// TestUploadCallerFails guards against complete-looking bodies of callers that stop, end their

// body early or leave, and against tries that go on afterwards.

// TestUploadRefusedEarly guards against losing an upload that a server did not run while

// another server could, against sending a part of a body as a whole one, and against telling

// the caller anything else than what the server said.

// TestUploadAnsweredEarly guards against holding back an answer until the caller has sent its

// whole body, and against sending other bytes to a server where the rest of a body is due.

// TestUploadAnsweredEarlyCallerStops guards against keeping the connection of a caller that

// doesn't send the rest of its body after the answer.

// TestUploadServerFails guards against repeating an upload that a server may have run, and

// against telling its caller that it has not run.

// TestUploadUnsent guards against sending a byte of an upload to a server that is withdrawn

// while the try waits for a connection, against giving up where a server refuses connections

// before anything was sent, and against telling a server more time than is left.

// errRefusedForTest returns the error of a refused connection.

// TestUploadExpectContinue guards against callers that wait for status 100 in vain, and

// against asking for a body that no server will get.

// TestUploadNoRoom guards against reading a body for which there is no memory, against servers

// that get a part of it, and against memory that stays reserved.

// TestUploadHeld guards against passing on bodies that are small or have no length before they

// are complete, and against callers that hold memory without sending.

// TestUploadWithoutBody guards against the deadline for a body on a request that has none.

// TestUploadsPerServer guards against more uploads at a server than its slots, whose bodies

// could use up its memory, and against slots that stay occupied.

// TestUploadBytesAreMetered guards against a link's utilization that lacks the bytes of

// uploads in one of the directions.

// TestStreamFingerprint guards against one fingerprint for different uploads, and against

// different ones for repetitions of an upload.
