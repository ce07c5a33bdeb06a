package bfgateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"briarferry"
	"briarferry/internal/coordination/bfsteering"
)

const (
	northKey = "6f4kq2n7xw3y5zj2ma4tbc7dpe6r2shv"
	southKey = "q7w2e4r6t5y3u7i2o4p6a5s3d7f2g4h6"
)

// newOrganisationEntry starts an entry whose table has two organisations and the open route
// "/free/". The last one may only use region s, where there are no servers.
func newOrganisationEntry(t testing.TB, behaviours ...behaviour) *testEntry {
	e := newTestEntry(t, behaviours...)
	e.changeTable(func(table *briarferry.RouteTable) {
		free, bound := route("free", true), route("bound", true)
		free.Open, bound.HomeRegions = true, []string{"r"}
		table.Routes = append(table.Routes, free, bound)
		table.KeySalt = briarferry.NewKeySalt()
		urgency := 7
		table.Organisations = []briarferry.Organisation{
			{Name: "north", Keys: []briarferry.KeyDigest{briarferry.DigestKey(table.KeySalt, northKey)}, Urgency: &urgency, HomeRegions: []string{"r"}},
			{Name: "south", Keys: []briarferry.KeyDigest{briarferry.DigestKey(table.KeySalt, southKey)}, HomeRegions: []string{"s"}},
		}
	})
	return e
}

// changeTable puts a changed copy of the route table with the next version in force.
func (e *testEntry) changeTable(change func(t *briarferry.RouteTable)) {
	next, table := *e.state, *e.state.Routes
	table.Version++
	change(&table)
	next.Revision, next.Routes = e.state.Revision+1, &table
	e.state = &next
	e.node.update(e.state)
}

// read returns the call for a request with the key, which is not refused.
func (e *testEntry) read(path, key string) *call {
	e.t.Helper()
	req := httptest.NewRequest(http.MethodGet, path, nil)
	req.Host = "shop.example"
	req.Header.Set("X-Key", key)
	c, refusal := e.node.readRequest(httptest.NewRecorder(), req, time.Now())
	if refusal != nil {
		e.t.Fatal(refusal)
	}
	return c
}

// rawCaller sends requests with headers as they are given on one connection.
type rawCaller struct {
	t    testing.TB
	conn net.Conn
	br   *bufio.Reader
}

func (e *testEntry) dial() *rawCaller {
	c, err := net.Dial("tcp", e.server.Listener.Addr().String())
	if err != nil {
		e.t.Fatal(err)
	}
	e.t.Cleanup(func() { _ = c.Close() })
	return &rawCaller{e.t, c, bufio.NewReader(c)}
}

func (c *rawCaller) send(path string, headers ...string) *http.Response {
	c.t.Helper()
	text := "GET " + path + " HTTP/1.1\r\nHost: shop.example\r\n"
	if !slices.ContainsFunc(headers, func(h string) bool { return strings.HasPrefix(h, "X-Id:") }) {
		text += "X-Id: q1\r\n"
	}
	for _, h := range headers {
		text += h + "\r\n"
	}
	if _, err := io.WriteString(c.conn, text+"\r\n"); err != nil {
		c.t.Fatal(err)
	}
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	data, _ := io.ReadAll(resp.Body)
	resp.Body = io.NopCloser(bytes.NewReader(data))
	return resp
}

// TestKeys guards against a request without a valid key that runs, against one with a valid
// key that is refused, and against a server that gets a caller's key or the organisation that
// a caller claims to have, however the headers are written.
func TestKeys(t *testing.T) {
	valid := "X-Key: " + northKey
	cases := []struct {
		name, path string
		headers    []string
		status     int
		want       string
	}{
		{"valid", "/read/1", []string{valid}, 200, "north"},
		{"odd case", "/read/1", []string{"x-kEY:  " + northKey + " ", "x-ORG: south"}, 200, "north"},
		{"no key", "/read/1", nil, 401, ""},
		{"empty key", "/read/1", []string{"X-Key:"}, 401, ""},
		{"unknown key", "/read/1", []string{"X-Key: " + northKey[1:]}, 401, ""},
		{"key with its scheme", "/read/1", []string{"X-Key: Bearer " + northKey}, 401, ""},
		{"key in another header", "/read/1", []string{"Authorization: " + northKey, "X_Key: " + northKey}, 401, ""},
		{"claimed organisation", "/read/1", []string{"X-Org: north"}, 401, ""},
		{"two keys", "/read/1", []string{valid, "X-Key: " + southKey}, 401, ""},
		{"two keys in a list", "/read/1", []string{valid + ", " + southKey}, 401, ""},
		{"route is unknown", "/none/1", []string{"X-Key: x"}, 404, ""},
		{"open, no key", "/free/1", nil, 200, ""},
		{"open, unknown key", "/free/1", []string{"X-Key: unknown", "X-Org: north", "X-Org: south"}, 200, ""},
		{"open, two keys", "/free/1", []string{valid, valid}, 200, ""},
		{"open, valid key", "/free/1", []string{valid, "X-Org: south"}, 200, "north"},
		{"named in Connection", "/read/1", []string{valid, "Connection: X-Key, X-Org", "Connection: x-org", "X-Org: south"}, 200, "north"},
		{"open, named in Connection", "/free/1", []string{"X-Org: south", "Connection: keep-alive", "Connection: X-Org"}, 200, ""},
		{"underscores", "/free/1", []string{"X_Org: south", "X_Key: " + southKey}, 200, ""},
		{"repeated in other headers", "/read/1", []string{valid, "Authorization: Bearer " + northKey, "Cookie: a=b; key=" + northKey, "X-" + northKey + ": 1"}, 200, "north"},
	}
	for _, c := range cases {
		e := newOrganisationEntry(t, answer(200, "X-Signature"))
		resp := e.dial().send(c.path, c.headers...)
		if runs := e.runs.Load(); resp.StatusCode != c.status || (runs == 1) != (c.status == 200) {
			t.Errorf("%s: status %d, %d runs; want %d", c.name, resp.StatusCode, runs, c.status)
		}
		if c.status == 401 && (resp.Header.Get("Retry-After") != "" || resp.Header.Get("X-Id") != "q1") {
			t.Errorf("%s: headers of the refusal: %v", c.name, resp.Header)
		}
		if got := strings.Join(e.header.Values("X-Org"), ","); got != c.want {
			t.Errorf("%s: the server got organisation %q, want %q", c.name, got, c.want)
		}
		if got := fmt.Sprint(e.header); strings.Contains(got, northKey) || strings.Contains(got, southKey) || strings.Contains(got, "X_") || strings.Contains(got, "unknown") {
			t.Errorf("%s: the server got %s", c.name, got)
		}
	}
}

// TestTableWithoutOrganisations guards against asking for keys where nobody has any, and
// against a server that gets an organisation that a caller claims to have.
func TestTableWithoutOrganisations(t *testing.T) {
	e := newTestEntry(t, answer(200, "X-Signature"))
	for _, headers := range [][]string{nil, {"X-Key: " + northKey, "X-Org: north"}} {
		resp := e.dial().send("/read/1", headers...)
		if got := fmt.Sprint(e.header); resp.StatusCode != 200 || strings.Contains(got, "X-Org") || strings.Contains(got, northKey) {
			t.Errorf("%v: status %d, the server got %s", headers, resp.StatusCode, got)
		}
	}
}

// TestKeyIsCheckedBeforeBody guards against reading the body of a request that has no valid
// key, as its caller may be anyone, and against another order of the checks before it.
func TestKeyIsCheckedBeforeBody(t *testing.T) {
	e := newOrganisationEntry(t, answer(200, "X-Signature"))
	c := e.dial()
	started := time.Now()
	resp := c.send("/order/1", "Content-Length: 900", "Expect: 100-continue")
	if resp.StatusCode != 401 || time.Since(started) > testTimeout {
		t.Errorf("status %d after %v", resp.StatusCode, time.Since(started))
	}
	if resp := e.dial().send("/order/1", "Content-Length: 5000", "Expect: 100-continue"); resp.StatusCode != 401 {
		t.Errorf("status %d for a body above the limit without a key", resp.StatusCode)
	}
	if resp := e.dial().send("/order/1", "X-Long: "+strings.Repeat("x", defaultMaxHeaderBytes)); resp.StatusCode != 431 {
		t.Errorf("status %d for headers above the limit without a key", resp.StatusCode)
	}
	e.node.stopPhase.Store(refusing)
	if resp := e.dial().send("/order/1"); resp.StatusCode != 503 {
		t.Errorf("status %d while the entry stops", resp.StatusCode)
	}
}

// TestWithdrawnKey guards against a key that is still in use on an open connection after its
// withdrawal has arrived, also where the key moves to another organisation.
func TestWithdrawnKey(t *testing.T) {
	e := newOrganisationEntry(t, answer(200, "X-Signature"))
	c := e.dial()
	steps := []struct {
		change func(t *briarferry.RouteTable)
		status int
		name   string
	}{
		{func(*briarferry.RouteTable) {}, 200, "north"},
		{func(t *briarferry.RouteTable) {
			t.Organisations = []briarferry.Organisation{{Name: "other", Keys: t.Organisations[0].Keys}}
		}, 200, "other"},
		{func(t *briarferry.RouteTable) { t.Organisations = []briarferry.Organisation{{Name: "other"}} }, 401, "other"},
		{func(t *briarferry.RouteTable) { t.Organisations = nil }, 200, ""},
	}
	for i, s := range steps {
		e.changeTable(s.change)
		resp := c.send("/read/1", "X-Key: "+northKey)
		if got := e.header.Get("X-Org"); resp.StatusCode != s.status || got != s.name {
			t.Errorf("step %d: status %d, organisation %q; want %d, %q", i, resp.StatusCode, got, s.status, s.name)
		}
	}
}

// TestHomesOfOrganisation guards against a request that runs outside the homes of its route or
// its organisation, and against one that waits although no region is a home of both.
func TestHomesOfOrganisation(t *testing.T) {
	e := newOrganisationEntry(t, answer(200, "X-Signature"))
	for _, c := range []struct {
		path, key string
		status    int
		reason    string
	}{
		{"/bound/1", northKey, 200, ""}, {"/free/1", "", 200, ""}, {"/read/1", northKey, 200, ""},
		{"/bound/1", southKey, 503, "no region"}, {"/read/1", southKey, 503, "no backend server"}, {"/free/1", southKey, 503, "no backend server"},
	} {
		before := e.runs.Load()
		resp := e.dial().send(c.path, "X-Key: "+c.key)
		body, _ := io.ReadAll(resp.Body)
		if resp.StatusCode != c.status || !strings.Contains(string(body), c.reason) || (e.runs.Load() > before) != (c.status == 200) {
			t.Errorf("%s with %q: status %d, %s", c.path, c.key, resp.StatusCode, body)
		}
		if c.status == 503 && (!strings.Contains(string(body), string(briarferry.OutcomeNotRun)) || resp.Header.Get("Retry-After") == "") {
			t.Errorf("%s with %q: %v, %s", c.path, c.key, resp.Header, body)
		}
	}
}

// TestUrgencyOfOrganisation guards against steering that sees a route's urgency although the
// organisation has its own.
func TestUrgencyOfOrganisation(t *testing.T) {
	e := newOrganisationEntry(t, answer(200, "X-Signature"))
	for key, want := range map[string]int{northKey: 7, southKey: 0, "": 0} {
		c := e.read("/free/1", key)
		r := bfsteering.Request{Route: c.route.Route, Organisation: c.organisation}
		if got := r.Urgency(); got != want {
			t.Errorf("organisation %q: urgency %d, want %d", c.request.Organisation, got, want)
		}
	}
}
