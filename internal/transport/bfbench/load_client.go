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
	// schedulers is the number of goroutines that schedule arrivals, as one cannot keep
	// up with the highest rates.
	schedulers = 4
	// queueCapacity is the maximum number of requests that wait for a connection to a
	// target.
	queueCapacity    = 4096
	maxLatencyMicros = int64(10 * time.Second / time.Microsecond)
	histogramDigits  = 3
)

type (
	// loadClient generates open-loop load with a prepared request over persistent
	// connections. It takes a fraction of the processor time of a net/http client, so
	// that the client does not limit the measurement. Latency counts from the scheduled
	// time.
	loadClient struct {
		targets  []netip.AddrPort
		path     string
		rate     float64
		duration time.Duration
		// connsPerTarget is the number of connections to each target.
		connsPerTarget int
		seed           uint64
	}

	// loadResult counts the requests of a loadClient and records the latencies of those
	// that were answered with status 200.
	loadResult struct {
		mu     sync.Mutex
		hist   *hdrhistogram.Histogram
		sent   int64
		ok     int64
		failed int64
	}
)

func (c *loadClient) run(ctx context.Context) (*loadResult, error) {
	r := &loadResult{hist: hdrhistogram.New(1, maxLatencyMicros, histogramDigits)}
	queues := make([]chan time.Time, len(c.targets))
	var callers, arrivals sync.WaitGroup
	for i, target := range c.targets {
		queues[i] = make(chan time.Time, queueCapacity)
		for range c.connsPerTarget {
			conn, err := net.Dial("tcp", target.String())
			if err != nil {
				return nil, fmt.Errorf("bfbench: connect: %w", err)
			}
			callers.Go(func() { r.runConnection(conn, target, c.path, queues[i]) })
		}
	}
	for i := range schedulers {
		rng := rand.New(rand.NewPCG(c.seed, uint64(i)))
		arrivals.Go(func() { r.scheduleArrivals(ctx, c, queues, rng) })
	}
	arrivals.Wait()
	for _, q := range queues {
		close(q)
	}
	callers.Wait()
	return r, nil
}

// scheduleArrivals queues requests at exponentially distributed intervals. Requests that
// find the queue full count as failed.
func (r *loadResult) scheduleArrivals(ctx context.Context, c *loadClient, queues []chan time.Time, rng *rand.Rand) {
	start := time.Now()
	sent, refused := int64(0), int64(0)
	for next := start; ctx.Err() == nil; {
		next = next.Add(time.Duration(rng.ExpFloat64() * schedulers / c.rate * float64(time.Second)))
		if next.Sub(start) > c.duration {
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
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent += sent
	r.failed += refused
}

// runConnection sends the queued requests one after the other over a connection. It
// reconnects after an incomplete answer and returns if that fails.
func (r *loadResult) runConnection(conn net.Conn, target netip.AddrPort, path string, queue <-chan time.Time) {
	request := fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: bench\r\nRequest-Timeout: 2\r\n\r\n", path, target)
	br := bufio.NewReader(conn)
	hist, ok, failed := hdrhistogram.New(1, maxLatencyMicros, histogramDigits), int64(0), int64(0)
	for scheduled := range queue {
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
		_ = hist.RecordValue(max(1, time.Since(scheduled).Microseconds()))
	}
	if conn != nil {
		_ = conn.Close()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hist.Merge(hist)
	r.ok += ok
	r.failed += failed
}

// readStatus reads one answer and returns its status, or 0 if the answer is incomplete.
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

func (r *loadResult) quantile(q float64) time.Duration {
	return time.Duration(r.hist.ValueAtQuantile(q)) * time.Microsecond
}
