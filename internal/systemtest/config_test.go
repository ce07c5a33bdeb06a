package systemtest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"briarferry"
)

type (
	// registerInput is a read or a compare-and-set of the register.
	registerInput struct {
		write         bool
		from, bodyMiB int
	}

	// registerOutput is the answer that the operator got.
	registerOutput struct {
		version, bodyMiB int
		ok, unknown      bool
	}

	// registerState is the version in force and its value.
	registerState struct{ version, bodyMiB int }
)

// registerModel models the configuration as a single register with compare-and-set,
// whose value is the body limit in MiB.
var registerModel = porcupine.Model{
	Init: func() any { return registerState{version: 1, bodyMiB: 1} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(registerState), input.(registerInput), output.(registerOutput)
		if !in.write {
			return out.version == s.version && out.bodyMiB == s.bodyMiB, s
		}
		matches := in.from == s.version
		next := registerState{version: s.version + 1, bodyMiB: in.bodyMiB}
		switch {
		case out.unknown && matches:
			return true, next
		case out.unknown:
			return true, s
		case out.ok:
			return matches, next
		default:
			return !matches, s
		}
	},
	Equal: func(a, b any) bool { return a == b },
	DescribeOperation: func(input, output any) string {
		return fmt.Sprintf("%+v -> %+v", input, output)
	},
}

// history records the operations of concurrent operators.
type history struct {
	mu  sync.Mutex
	ops []porcupine.Operation
}

func (h *history) add(client int, in registerInput, out registerOutput, call, ret time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	end := ret.UnixNano()
	if out.unknown {
		// A change whose outcome is unknown may take effect at any later time.
		end = time.Now().Add(time.Hour).UnixNano()
	}
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: call.UnixNano(), Return: end})
}

// changeConfig reads the configuration, sends a change based on its version, and records
// both operations.
func (c *cluster) changeConfig(ctx context.Context, h *history, client int, rng *rand.Rand, base *briarferry.Config) {
	v := c.vms[rng.IntN(len(c.vms))]
	call := time.Now()
	cfg, etag, err := c.config(v)
	if err != nil {
		time.Sleep(50 * time.Millisecond)
		return
	}
	version := versionOf(etag)
	h.add(client, registerInput{}, registerOutput{version: version, bodyMiB: int(cfg.Limits.MaxBodyBytes >> 20)}, call, time.Now())
	next := *base
	next.Limits.MaxBodyBytes = int64(1+rng.IntN(200)) << 20
	in := registerInput{write: true, from: version, bodyMiB: int(next.Limits.MaxBodyBytes >> 20)}
	key := fmt.Sprintf("change-%016x", rng.Uint64())
	call = time.Now()
	status := 0
	// A change whose answer was lost is resent with the same key through any VM.
	for try := 0; try < 3 && (status == 0 || status >= 500); try++ {
		status = c.put(ctx, c.vms[rng.IntN(len(c.vms))], &next, etag, key)
	}
	out := registerOutput{ok: status == http.StatusOK, unknown: status != http.StatusOK && status != http.StatusPreconditionFailed}
	h.add(client, in, out, call, time.Now())
}

// versionOf returns the version in an entity tag, or 0.
func versionOf(etag string) int {
	n, _ := strconv.Atoi(strings.Trim(etag, `W/"`))
	return n
}

// TestConfigHistory guards against an accepted change that is lost, reverted or applied
// twice, while operators concurrently send changes based on the same version and control
// VMs are killed, frozen, isolated and lose their disks.
func TestConfigHistory(t *testing.T) {
	seed := testSeed(t)
	c := startClusterWith(t, clusterOptions{relayed: true})
	base, etag, err := c.config(c.vms[0])
	if err != nil {
		t.Fatal(err)
	}
	if versionOf(etag) != 1 {
		t.Fatalf("first configuration has the entity tag %s, want version 1", etag)
	}
	ctx, cancel := context.WithTimeout(t.Context(), testDuration(t, 15*time.Second))
	defer cancel()
	h := &history{}
	var wg sync.WaitGroup
	for client := range 4 {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(client)))
			for ctx.Err() == nil {
				c.changeConfig(ctx, h, client, rng, base)
			}
		})
	}
	c.injectControlFaults(ctx, rand.New(rand.NewPCG(seed, 99)))
	wg.Wait()
	result, _ := porcupine.CheckOperationsVerbose(registerModel, h.ops, time.Minute)
	accepted := 0
	for _, op := range h.ops {
		if op.Output.(registerOutput).ok {
			accepted++
		}
	}
	t.Logf("%d operations, %d changes accepted: %s", len(h.ops), accepted, result)
	if result != porcupine.Ok || accepted < 5 {
		t.Errorf("the history is not linearizable, or too few changes were accepted")
	}
	c.waitSameConfig()
}

// injectControlFaults in turn kills, freezes, wipes and isolates a control VM, one at a
// time, until ctx ends.
func (c *cluster) injectControlFaults(ctx context.Context, rng *rand.Rand) {
	for i := 0; ctx.Err() == nil; i++ {
		v := c.vms[rng.IntN(controlCount)]
		switch i % 4 {
		case 0:
			v.kill()
			time.Sleep(500 * time.Millisecond)
			v.start()
		case 1:
			v.freeze()
			time.Sleep(2500 * time.Millisecond)
			v.resume()
		case 2:
			c.replaceDisk(v)
		case 3:
			v = c.isolateControlVM(rng)
		}
		c.waitReady(v)
		c.waitVoters()
	}
}

// replaceDisk wipes a control VM's data directory and waits until its new replica has
// replaced the old one as a voter. Before that, the loss of a second disk would be the
// loss of a majority, after which the group deliberately stops.
func (c *cluster) replaceDisk(v *vm) {
	c.t.Helper()
	old := ""
	c.waitFor(v.name+" is a voter", readyTimeout, func() bool {
		old = c.voterOn(v)
		return old != ""
	})
	v.kill()
	_ = os.RemoveAll(v.dataDir)
	v.start()
	c.waitFor(v.name+" is a voter with its new disk", readyTimeout, func() bool {
		id := c.voterOn(v)
		return id != "" && id != old
	})
}

// waitVoters waits until three voters follow one leader.
func (c *cluster) waitVoters() {
	c.t.Helper()
	c.waitFor("three voters follow one leader", readyTimeout, func() bool {
		return len(c.voters()) == controlCount
	})
}

// waitSameConfig waits until all VMs serve the same version and checksum of the
// configuration.
func (c *cluster) waitSameConfig() {
	c.t.Helper()
	c.waitFor("all VMs serve the same configuration", readyTimeout, func() bool {
		tags := map[string]bool{}
		for _, v := range c.vms {
			_, etag, err := c.config(v)
			if err != nil {
				return false
			}
			tags[etag] = true
		}
		return len(tags) == 1
	})
}

// testSeed returns the random seed from BRIARFERRY_TEST_SEED, or 1.
func testSeed(t *testing.T) uint64 {
	t.Helper()
	seed := uint64(1)
	if text := os.Getenv("BRIARFERRY_TEST_SEED"); text != "" {
		var err error
		if seed, err = strconv.ParseUint(text, 10, 64); err != nil {
			t.Fatal(err)
		}
	}
	t.Logf("seed %d", seed)
	return seed
}

// testDuration returns the duration from BRIARFERRY_TEST_FOR, or the fallback.
func testDuration(t *testing.T, fallback time.Duration) time.Duration {
	t.Helper()
	if text := os.Getenv("BRIARFERRY_TEST_FOR"); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil {
			t.Fatal(err)
		}
		return d
	}
	return fallback
}
