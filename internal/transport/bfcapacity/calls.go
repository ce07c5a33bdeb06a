package bfcapacity

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
)

const sourceCalls = "`net/http`, as a stand-in for a Connect RPC call"

// countingConn counts the bytes that a connection carries in both directions.
type countingConn struct {
	net.Conn
	transferred *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.transferred.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.transferred.Add(int64(n))
	return n, err
}

// callFits measures a call over a persistent loopback connection: the bytes in both
// directions and the processor time of client and server together.
func callFits() (wire, cpu Fit) {
	body := make([]byte, 1<<16)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		_, _ = w.Write(body[:n])
	}))
	defer server.Close()
	var transferred atomic.Int64
	dialer := &net.Dialer{}
	client := &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, network, address)
		return countingConn{c, &transferred}, err
	}}}
	defer client.CloseIdleConnections()
	call := func(size int) {
		r, err := client.Post(server.URL, "application/cbor", bytes.NewReader(body[:size]))
		if err != nil {
			panic(err)
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_ = r.Body.Close()
	}
	var x, length, micros []float64
	for _, size := range []int{64, 512, 4096, 16_384} {
		call(size)
		before := transferred.Load()
		call(size)
		x, length = append(x, float64(size)), append(length, float64(transferred.Load()-before))
		micros = append(micros, 1e6*cpuSeconds(4*measureTime, func() { call(size) }))
	}
	return NewFit("call, bytes both ways", "B", "B each way", sourceCalls, x, length),
		NewFit("call, both ends", "µs", "B each way", sourceCalls, x, micros)
}
