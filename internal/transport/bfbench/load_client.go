package bfbench

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// schedulers share the arrivals, since one can't keep up with the highest rates.
	schedulers = 4
	// backlog bounds the requests that wait for a connection of a target.
	backlog      = 4096
	directMax    = int64(10 * time.Second / time.Microsecond)
	directDigits = 3
)

type (
	// direct is open-loop load with prepared requests over kept connections. It costs
	// a fraction of what net/http's client does, so that the client isn't what is
	// measured. Latency counts from the scheduled time.
	direct struct {
		targets []netip.AddrPort
		path    string
		rate    float64
		lasts   time.Duration
		// conns is the number of connections to each target.
		conns int
		seed  uint64
	}

	// outcome is what the callers of a direct load saw.
	outcome struct {
		mu     sync.Mutex
		hist   *hdrhistogram.Histogram
		sent   int64
		ok     int64
		failed int64
	}
)

func (d *direct) run(ctx context.Context) (*outcome, error) {
	out := &outcome{hist: hdrhistogram.New(1, directMax, directDigits)}
	queues := make([]chan time.Time, len(d.targets))
	var callers, arrivals sync.WaitGroup
	for i, target := range d.targets {
		queues[i] = make(chan time.Time, backlog)
		for range d.conns {
			conn, err := net.Dial("tcp", target.String())
			if err != nil {
				return nil, fmt.Errorf("bfbench: connect: %w", err)
			}
			callers.Go(func() { out.call(conn, target, d.path, queues[i]) })
		}
	}
	for i := range schedulers {
		rng := rand.New(rand.NewPCG(d.seed, uint64(i)))
		arrivals.Go(func() { out.schedule(ctx, d, queues, rng) })
	}
	arrivals.Wait()
	for _, q := range queues {
		close(q)
	}
	callers.Wait()
	return out, nil
}

// schedule queues arrivals with exponential gaps.
func (o *outcome) schedule(ctx context.Context, d *direct, queues []chan time.Time, rng *rand.Rand) {
	start := time.Now()
	sent, refused := int64(0), int64(0)
	for next := start; ctx.Err() == nil; {
		next = next.Add(time.Duration(rng.ExpFloat64() * schedulers / d.rate * float64(time.Second)))
		if next.Sub(start) > d.lasts {
			break
		}
		time.Sleep(time.Until(next))
		sent++
		select {
		case queues[rng.IntN(len(queues))] <- next:
		default:
			refused++
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sent += sent
	o.failed += refused
}

// call sends the queued requests one after the other over a connection.
func (o *outcome) call(conn net.Conn, target netip.AddrPort, path string, queue <-chan time.Time) {
	request := fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: bench\r\nRequest-Timeout: 2\r\n\r\n", path, target)
	br := bufio.NewReader(conn)
	hist, ok, failed := hdrhistogram.New(1, directMax, directDigits), int64(0), int64(0)
	for at := range queue {
		status := 0
		if _, err := conn.Write(request); err == nil {
			status = readStatus(br)
		}
		if status != 200 {
			if failed++; status == 0 {
				_ = conn.Close()
				if conn, _ = net.Dial("tcp", target.String()); conn == nil {
					break
				}
				br.Reset(conn)
			}
			continue
		}
		ok++
		_ = hist.RecordValue(max(1, time.Since(at).Microseconds()))
	}
	if conn != nil {
		_ = conn.Close()
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.hist.Merge(hist)
	o.ok += ok
	o.failed += failed
}

// readStatus reads one answer and returns its status, or 0 where it isn't complete.
func readStatus(br *bufio.Reader) int {
	line, err := br.ReadSlice('\n')
	if err != nil || len(line) < 12 {
		return 0
	}
	status, _ := strconv.Atoi(string(line[9:12]))
	length := 0
	for {
		if line, err = br.ReadSlice('\n'); err != nil {
			return 0
		}
		if line = bytes.TrimSpace(line); len(line) == 0 {
			break
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		if bytes.EqualFold(name, []byte("Content-Length")) {
			length, _ = strconv.Atoi(string(bytes.TrimSpace(value)))
		}
	}
	if _, err := io.CopyN(io.Discard, br, int64(length)); err != nil {
		return 0
	}
	return status
}

func (o *outcome) quantile(q float64) time.Duration {
	return time.Duration(o.hist.ValueAtQuantile(q)) * time.Microsecond
}
