package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// connectTimeout is how long a client waits for a new connection.
const connectTimeout = time.Second

type (
	// attempt is what a client sends.
	attempt struct {
		method, host, path string
		// key is the key of the caller's tenant, and object the value of the affinity cookie.
		key, object string
		limit       time.Duration
	}

	// outcome is what a client saw of its attempt.
	outcome struct {
		id         string
		status     int
		sent, done time.Time
		err        error
	}

	// client keeps one connection to an entry.
	client struct {
		entry *vm
		// ip is the client's own address; an empty one is the default.
		ip   string
		conn net.Conn
		br   *bufio.Reader
	}
)

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// close ends the connection.
func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// do sends an attempt over the kept connection or a new one, and waits for the answer.
func (c *client) do(a attempt) outcome {
	o := outcome{id: newID(), sent: time.Now()}
	if o.err = c.connect(); o.err == nil {
		_ = c.conn.SetDeadline(o.sent.Add(a.limit))
		if _, o.err = c.conn.Write(a.encode(o.id)); o.err == nil {
			o.status, o.err = c.read(a.method)
		}
	}
	if o.err != nil {
		c.close()
	}
	o.done = time.Now()
	return o
}

func (c *client) connect() error {
	if c.conn != nil {
		return nil
	}
	d := net.Dialer{Timeout: connectTimeout}
	if c.ip != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(c.ip)}
	}
	conn, err := d.Dial("tcp", c.entry.addr(frontendPort))
	if err != nil {
		return err
	}
	c.conn, c.br = conn, bufio.NewReader(conn)
	return nil
}

func (a *attempt) encode(id string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Briarferry-Request-Id: %s\r\nX-Briarferry-Deadline-Ms: %d\r\n", a.method, a.path, a.host, id, a.limit.Milliseconds())
	if a.key != "" {
		fmt.Fprintf(&b, "X-Briarferry-Key: %s\r\n", a.key)
	}
	if a.object != "" {
		fmt.Fprintf(&b, "Cookie: X-Briarferry-Affinity-Key=%s\r\n", a.object)
	}
	if a.method == http.MethodPost {
		b.WriteString("Content-Length: 0\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// read reads an answer and returns its status.
func (c *client) read(method string) (int, error) {
	res, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err != nil {
		return 0, err
	}
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return 0, err
	}
	if res.Close {
		c.close()
	}
	return res.StatusCode, nil
}

// awaitServing waits until every entry answers the attempt with success.
func awaitServing(c *cluster, a attempt, limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, e := range c.entries {
		for {
			cl := client{entry: e}
			o := cl.do(a)
			cl.close()
			if o.status/100 == 2 {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s does not serve: status %d, %v", e.name, o.status, o.err)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}
