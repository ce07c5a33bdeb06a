package bfgateway

import (
	"io"
	"testing"

	"briarferry"
)

// TestUploadOutsideNewHomes guards against sending the rest of a body, which arrives after the
// home regions have changed, to a server outside of them, and against a caller that is told
// later than at its next bytes or that nothing ran.
func TestUploadOutsideNewHomes(t *testing.T) {
	const first = 10 << 10
	parts, ends := make(chan string, 1), make(chan int, 1)
	u := newUploadEntry(t, []uploadScript{func(s *serverConn) {
		r := s.head()
		part := make([]byte, first)
		_, _ = io.ReadFull(r.Body, part)
		parts <- string(part)
		rest, _ := io.ReadAll(r.Body)
		ends <- len(rest)
	}})
	setHomes := func(homes ...string) {
		u.changeTable(func(table *briarferry.RouteTable) {
			table.Routes = append([]briarferry.Route(nil), table.Routes...)
			table.Routes[1].HomeRegions = homes
		})
	}
	setHomes("r")
	c := u.dial()
	c.send(uploadHead("q1", len(uploadBody)) + uploadBody[:first])
	receiveString(t, parts)
	setHomes("q")
	c.send(uploadBody[first:])
	if got := c.want(502); got.problem.Outcome != briarferry.OutcomeUnknown {
		t.Errorf("outcome %q, want unknown", got.problem.Outcome)
	}
	if n := <-ends; n != 0 {
		t.Errorf("%d bytes of the body arrived after the change", n)
	}
	u.wantIdle()
}
