package systemtest

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"briarferry"
	"briarferry/internal/transport/bfload"
	"briarferry/internal/transport/bfstandin"
)

const resendDelay = 200 * time.Millisecond

type (
	// keyResult has the successful answers to all attempts with one idempotency key. notRun
	// is set if the last answer was that the request did not run and never will.
	keyResult struct {
		key     string
		replies []bfstandin.Reply
		notRun  bool
		endedAt time.Time
	}

	// keyResults collects the results of concurrent callers.
	keyResults struct {
		mu   sync.Mutex
		list []keyResult
	}
)

// sendOrder sends a request with an idempotency key through a random entry. Like a real
// caller, it resends the request, again through a random entry, after an unknown outcome.
func (c *cluster) sendOrder(ctx context.Context, key, body string, rng *rand.Rand) keyResult {
	result := keyResult{key: key}
	for range 4 {
		v := c.vms[rng.IntN(len(c.vms))]
		status, outcome, data := c.call(ctx, v, http.MethodPost, "/s/order-desk/orders", key, body, time.Second)
		switch {
		case status == http.StatusOK:
			var reply bfstandin.Reply
			_ = json.Unmarshal(data, &reply)
			result.replies = append(result.replies, reply)
			// Half of the callers resend a request that was answered.
			if rng.IntN(2) == 0 {
				return result
			}
		case status != 0 && outcome == briarferry.OutcomeNotRun:
			result.notRun = true
			return result
		default:
			// Entries that can't accept work answer at once. Without a delay, most
			// keys would use all their attempts during a short outage.
			time.Sleep(resendDelay)
		}
	}
	return result
}

// TestClaimsUnderFailures guards against a request with an idempotency key that runs
// twice, and against the answer "not run" for one that ran, while entries are killed and
// frozen, control VMs are isolated, and backend servers send late and truncated answers
// and answers that belong to other requests.
func TestClaimsUnderFailures(t *testing.T) {
	seed := testSeed(t)
	c := startClusterWith(t, clusterOptions{relayed: true})
	b := json.RawMessage(`{"late_share":0.05,"late_by":"1500ms","truncated_share":0.05,"crossed_share":0.05}`)
	c.setBehaviour(bfstandin.BehaviourChange{Service: "order-desk", Behaviour: b})
	ctx, cancel := context.WithTimeout(t.Context(), testDuration(t, 15*time.Second))
	defer cancel()
	results := &keyResults{}
	var wg sync.WaitGroup
	for caller := range 12 {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(caller)))
			for ctx.Err() == nil {
				key := fmt.Sprintf("order-%016x", rng.Uint64())
				result := c.sendOrder(context.WithoutCancel(ctx), key, key, rng)
				result.endedAt = time.Now()
				results.mu.Lock()
				results.list = append(results.list, result)
				results.mu.Unlock()
			}
		})
	}
	c.injectEntryFaults(ctx, rand.New(rand.NewPCG(seed, 99)))
	wg.Wait()
	// An entry that was frozen may still dispatch requests after it resumes.
	time.Sleep(2 * time.Second)
	c.checkResults(results.list)
}

// injectEntryFaults in turn kills a VM, freezes a VM and isolates a control VM, one at a
// time, until ctx ends.
func (c *cluster) injectEntryFaults(ctx context.Context, rng *rand.Rand) {
	for i := 0; ctx.Err() == nil; i++ {
		v := c.vms[rng.IntN(len(c.vms))]
		switch i % 3 {
		case 0:
			v.kill()
			time.Sleep(300 * time.Millisecond)
			v.start()
		case 1:
			v.freeze()
			time.Sleep(time.Duration(500+rng.IntN(3000)) * time.Millisecond)
			v.resume()
		case 2:
			v = c.isolateControlVM(rng)
		}
		c.waitReady(v)
	}
}

// isolateControlVM blocks the calls of a control VM in one or both directions for a random
// time, and returns the VM.
func (c *cluster) isolateControlVM(rng *rand.Rand) *vm {
	n, direction := rng.IntN(controlCount), rng.IntN(3)
	c.relays.setBlocked(n, direction != 0, direction != 1)
	time.Sleep(time.Duration(500+rng.IntN(3500)) * time.Millisecond)
	c.relays.setBlocked(n, false, false)
	return c.vms[n]
}

// checkResults compares the answers to callers with the executions on backend servers.
func (c *cluster) checkResults(results []keyResult) {
	c.t.Helper()
	runs := c.executions()
	ok, notRun, unknown := 0, 0, 0
	for _, result := range results {
		switch {
		case len(result.replies) > 0:
			ok++
		case result.notRun:
			notRun++
		default:
			unknown++
		}
		n := len(runs.ByKey[result.key])
		if n > 1 {
			c.t.Errorf("%s ran %d times: %+v", result.key, n, runs.ByKey[result.key])
		}
		if result.notRun && n > 0 {
			c.t.Errorf("%s was answered with not run, but ran: %+v", result.key, runs.ByKey[result.key])
		}
		for _, a := range result.replies {
			if a.Key != result.key {
				c.t.Errorf("%s got the answer to %q", result.key, a.Key)
			}
		}
	}
	c.t.Logf("%d keys: %d answered, %d not run, %d unknown; %d duplicate executions; longest time without an answer %s",
		len(results), ok, notRun, unknown, runs.Duplicates, longestGap(results).Round(time.Millisecond))
	if ok < len(results)/4 {
		c.t.Errorf("only %d of %d orders were answered", ok, len(results))
	}
}

// longestGap returns the longest time between two consecutive answered orders.
func longestGap(results []keyResult) time.Duration {
	slices.SortFunc(results, func(a, b keyResult) int { return a.endedAt.Compare(b.endedAt) })
	var last time.Time
	longest := time.Duration(0)
	for _, result := range results {
		if len(result.replies) == 0 {
			continue
		}
		if !last.IsZero() {
			longest = max(longest, result.endedAt.Sub(last))
		}
		last = result.endedAt
	}
	return longest
}

// TestCrashingRequest guards against a request that crashes one backend server after
// another because its caller resends it through every entry.
func TestCrashingRequest(t *testing.T) {
	c := startCluster(t)
	c.setBehaviour(bfstandin.BehaviourChange{Service: "catalogue", Behaviour: json.RawMessage(`{"crash_on":"poison","restart_after":"1s"}`)})
	refused := 0
	for range 3 {
		for _, v := range c.vms {
			status, _, _ := c.call(t.Context(), v, http.MethodGet, "/s/catalogue/items?q=poison", "", "", 2*time.Second)
			if status == http.StatusServiceUnavailable {
				refused++
			}
		}
	}
	crashes := int64(0)
	for _, s := range c.servers() {
		crashes += s.Crashes
	}
	t.Logf("%d crashes, %d of 21 requests refused", crashes, refused)
	if crashes < 1 || crashes > 2 {
		t.Errorf("%d backend servers crashed, want 1 or 2", crashes)
	}
	status, _, _ := c.call(t.Context(), c.vms[0], http.MethodGet, "/s/catalogue/items?q=good", "", "", 2*time.Second)
	if status != http.StatusOK {
		t.Errorf("request with another target: status %d", status)
	}
}

// TestSilentConnections guards against open connections on which backend servers no
// longer answer: a request that uses one must be retried before the caller's deadline.
func TestSilentConnections(t *testing.T) {
	c := startCluster(t)
	report := c.load(t, 6*time.Second, bfload.Flow{Service: "catalogue", Urgency: 1, Rate: 200, Timeout: briarferry.Duration(time.Second)}, func() {
		time.Sleep(3 * time.Second)
		c.setBehaviour(bfstandin.BehaviourChange{Service: "catalogue", Behaviour: json.RawMessage(`{"silent":true}`)})
	})
	f := report.Flows[0]
	t.Logf("%+v p99 %s p99.9 %s", f.Counts, f.P99, f.P999)
	if f.Counts.InTime < f.Counts.Requests*99/100 || f.Counts.Cut > 0 {
		t.Errorf("requests failed because of silent connections: %+v %v", f.Counts, f.Reasons)
	}
}

// TestDrains guards against requests that fail while a backend server is drained and an
// entry is stopped, and against new work for the drained backend server.
func TestDrains(t *testing.T) {
	c := startCluster(t)
	stopped := make(chan bool, 1)
	var before, after bfstandin.ServerStatus
	report := c.load(t, 14*time.Second, bfload.Flow{Service: "catalogue", Urgency: 1, Rate: 300, Timeout: briarferry.Duration(time.Second)}, func() {
		time.Sleep(2 * time.Second)
		target := c.busiest("catalogue")
		c.drain(briarferry.Drain{Kind: briarferry.DrainBackend, Target: target.Address.String()})
		go func() { time.Sleep(time.Second); stopped <- c.vms[6].stop(20 * time.Second) }()
		time.Sleep(3 * time.Second)
		before = c.server(target.Address)
		time.Sleep(3 * time.Second)
		after = c.server(target.Address)
	})
	f := report.Flows[0]
	t.Logf("%+v p99 %s", f.Counts, f.P99)
	if f.Counts.OK != f.Counts.Requests || f.Counts.Cut != 0 {
		t.Errorf("requests failed during the drains: %+v %v", f.Counts, f.Reasons)
	}
	// The entry has its whole 20 s, also those after the load.
	if !<-stopped {
		t.Error("the entry did not exit with status 0 within 20 s after SIGTERM")
	}
	if after.Served > before.Served+before.Busy {
		t.Errorf("the drained backend server got new work: %d served, later %d", before.Served, after.Served)
	}
	if after.Served == 0 || after.Busy != 0 {
		t.Errorf("the drained backend server is still busy, or never had work: %+v", after)
	}
}

// busiest returns the backend server of a service that has served the most requests.
func (c *cluster) busiest(service string) bfstandin.ServerStatus {
	c.t.Helper()
	var best bfstandin.ServerStatus
	for _, s := range c.servers() {
		if s.Service == service && s.Served >= best.Served {
			best = s
		}
	}
	return best
}

// server returns the status of the backend server at an address, or the zero value if
// there is none.
func (c *cluster) server(address netip.AddrPort) bfstandin.ServerStatus {
	c.t.Helper()
	for _, s := range c.servers() {
		if s.Address == address {
			return s
		}
	}
	return bfstandin.ServerStatus{}
}
