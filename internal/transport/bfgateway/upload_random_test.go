package bfgateway

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"briarferry/internal/protocol/bfapi"
)

// uploadRecord is what the servers saw of one upload.
type uploadRecord struct {
	heads, complete, refused int
}

// TestUploadsAtRandom guards against running an upload at two servers, against telling its
// caller that it has not run when a server may have run it, against bodies that are changed,
// and against memory, slots and connections that stay in use, whatever callers and servers do
// at the same time.
func TestUploadsAtRandom(t *testing.T) {
	const callers, uploads = 24, 12
	var mu sync.Mutex
	records := map[string]*uploadRecord{}
	update := func(id string, f func(r *uploadRecord)) {
		mu.Lock()
		defer mu.Unlock()
		if records[id] == nil {
			records[id] = &uploadRecord{}
		}
		f(records[id])
	}
	script := func(s *serverConn) {
		for r := s.head(); r != nil; r = s.head() {
			id := r.Header.Get("X-Id")
			update(id, func(r *uploadRecord) { r.heads++ })
			before := rand.N(r.ContentLength + 1)
			part, err := io.ReadAll(io.LimitReader(r.Body, before))
			if err != nil {
				return
			}
			if string(part) != uploadBody[:len(part)] {
				t.Errorf("%s: the server got another body", id)
			}
			switch rand.N(10) {
			case 0:
				return
			case 1, 2:
				update(id, func(r *uploadRecord) { r.refused++ })
				s.answer(r, 503, "X-Not-Run")
				if rand.N(2) == 0 {
					return
				}
			case 3:
				s.answer(r, 200, "X-Signature")
			case 4:
				time.Sleep(rand.N(400 * time.Millisecond))
				fallthrough
			default:
				rest, err := io.ReadAll(r.Body)
				if err != nil {
					return
				}
				if string(part)+string(rest) != uploadBody[:r.ContentLength] {
					t.Errorf("%s: the server got another body", id)
				}
				update(id, func(r *uploadRecord) { r.complete++ })
				s.answer(r, 200, "X-Signature")
				continue
			}
			_, _ = io.Copy(io.Discard, r.Body)
			return
		}
	}
	u := newUploadEntry(t, []uploadScript{script}, []uploadScript{script}, []uploadScript{script})
	var statuses sync.Map
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			var c net.Conn
			var br *bufio.Reader
			for j := range uploads {
				if c == nil {
					var err error
					if c, err = net.Dial("tcp", u.node.listener.Addr().String()); err != nil {
						t.Error(err)
						return
					}
					_ = c.SetDeadline(time.Now().Add(30 * time.Second))
					br = bufio.NewReader(c)
				}
				id := fmt.Sprintf("c%d-%d", i, j)
				status, outcome, keeps := sendRandomly(c, br, id)
				if status != 0 {
					statuses.Store(id, status)
				}
				if status < 0 {
					t.Errorf("%s: got the answer to another request", id)
				}
				if status == http.StatusServiceUnavailable && outcome != "not_run" {
					t.Errorf("%s: status 503 with outcome %q", id, outcome)
				}
				if !keeps {
					_ = c.Close()
					c = nil
				}
			}
			if c != nil {
				_ = c.Close()
			}
		})
	}
	group.Wait()
	u.wantIdle()
	// Servers may read requests of ended connections late.
	time.Sleep(200 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	counts := map[int]int{}
	statuses.Range(func(id, status any) bool {
		counts[status.(int)]++
		r := records[id.(string)]
		if r == nil {
			r = &uploadRecord{}
		}
		if r.complete > 1 || r.heads-r.refused > 1 {
			t.Errorf("%s: %+v, so that two servers may have run it", id, *r)
		}
		if status == http.StatusServiceUnavailable && r.heads != r.refused {
			t.Errorf("%s: status 503, but %+v", id, *r)
		}
		return true
	})
	t.Log("answers by status:", counts)
	if counts[200] < callers*uploads/8 || counts[503] == 0 || counts[502] == 0 {
		t.Errorf("answers by status: %v", counts)
	}
}

// sendRandomly sends an upload in one of several ways. It returns the status and outcome of the
// answer, or 0 if there was none, and whether the connection may be used again.
func sendRandomly(c net.Conn, br *bufio.Reader, id string) (status int, outcome string, keeps bool) {
	size := 8<<10 + rand.IntN(len(uploadBody)-8<<10)
	sent := make(chan bool, 1)
	go func() {
		ok := false
		defer func() { sent <- ok }()
		if _, err := io.WriteString(c, uploadHead(id, size)); err != nil {
			return
		}
		leaves := rand.N(10) == 0
		slow := rand.N(4) == 0
		for from := 0; from < size; {
			to := min(size, from+1+rand.IntN(64<<10))
			if leaves && to > size/2 {
				_ = c.Close()
				return
			}
			if _, err := io.WriteString(c, uploadBody[from:to]); err != nil {
				return
			}
			if slow {
				time.Sleep(rand.N(30 * time.Millisecond))
			}
			from = to
		}
		ok = true
	}()
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		_ = c.Close()
		<-sent
		return 0, "", false
	}
	body, err := io.ReadAll(resp.Body)
	ok := <-sent
	if err != nil {
		return 0, "", false
	}
	if resp.Header.Get("X-Id") != id {
		return -1, "", false
	}
	var p bfapi.Problem
	_ = json.Unmarshal(body, &p)
	return resp.StatusCode, string(p.Outcome), ok && !resp.Close
}
