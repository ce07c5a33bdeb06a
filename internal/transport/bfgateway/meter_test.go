package bfgateway

import (
	"io"
	"math"
	"net"
	"testing"
	"time"
)

// TestLinkMeter guards against a busy link that is reported as idle, and a link of unknown
// bandwidth that is reported as busy.
func TestLinkMeter(t *testing.T) {
	cases := []struct {
		name      string
		bandwidth float64
		// sent and received are the bytes of each sample interval of 0.5 s.
		sent, received int
		want           float64
	}{
		{"busy", 1000, 900, 100, 1.98},
		{"half", 1000, 100, 227, 0.5},
		{"unlimited", 0, 900, 900, 0},
	}
	for _, c := range cases {
		m := &linkMeter{bandwidth: c.bandwidth}
		near, far := net.Pipe()
		conn := m.wrap(near)
		now := time.Unix(1000, 0)
		got := m.sample(now)
		for range 8 {
			go func() { _, _ = io.CopyN(io.Discard, far, int64(c.sent)); _, _ = far.Write(make([]byte, c.received)) }()
			if _, err := conn.Write(make([]byte, c.sent)); err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadFull(conn, make([]byte, c.received)); err != nil {
				t.Fatal(err)
			}
			now = now.Add(heartbeatInterval)
			got = m.sample(now)
		}
		if math.Abs(got-c.want) > 0.02 {
			t.Errorf("%s: utilization %.3f, want %.3f", c.name, got, c.want)
		}
		near.Close()
		far.Close()
	}
}
