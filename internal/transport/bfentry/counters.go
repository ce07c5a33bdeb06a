package bfentry

import (
	"expvar"
	"strings"
	"sync"

	"briarferry"
)

// Events that are counted for each service and class. countRefusedPrefix precedes the
// reason of a refusal.
const (
	countAnswered         = "answered"
	countLate             = "late"
	countFailed           = "failed"
	countReplayed         = "replayed"
	countRetried          = "retried"
	countRetryBudgetSpent = "retry_budget_spent"
	countHedged           = "hedged"
	countHedgeWon         = "hedge_won"
	countShed             = "shed"
	countAnswerMismatch   = "crossed"
	countTruncated        = "truncated"
	countInvalidStatus    = "invalid_status"
	countSilent           = "silent"
	countConnectionDied   = "connection_died"
	countNotSent          = "not_sent"
	countServerCrash      = "strike"
	countCompletionLost   = "completion_lost"
	countRefusedPrefix    = "refused_"
)

type (
	// Counters counts the events of requests. The zero value is ready for use.
	Counters struct {
		once   sync.Once
		root   *expvar.Map
		values sync.Map
	}

	counterKey struct{ service, class, event string }
)

// processCounters are the counters of the process, published through expvar.
var processCounters = &Counters{}

func init() { expvar.Publish("requests", processCounters.Vars()) }

// Vars returns all counters under names of the form service/class/event.
func (c *Counters) Vars() *expvar.Map {
	c.once.Do(func() { c.root = new(expvar.Map).Init() })
	return c.root
}

// Value returns the value of one counter.
func (c *Counters) Value(service, class, event string) int64 {
	return c.counter(counterKey{service, class, event}).Value()
}

// Refusals returns how many requests for the service this process has refused, by class.
func Refusals(service string) map[string]int64 {
	out := map[string]int64{}
	processCounters.values.Range(func(k, v any) bool {
		if key := k.(counterKey); key.service == service && strings.HasPrefix(key.event, countRefusedPrefix) {
			out[key.class] += v.(*expvar.Int).Value()
		}
		return true
	})
	return out
}

func (c *Counters) add(r *briarferry.Request, event string) {
	c.counter(counterKey{r.Service, r.Class.Name, event}).Add(1)
}

func (c *Counters) counter(k counterKey) *expvar.Int {
	if v, ok := c.values.Load(k); ok {
		return v.(*expvar.Int)
	}
	v, loaded := c.values.LoadOrStore(k, new(expvar.Int))
	if !loaded {
		c.Vars().Set(k.service+"/"+k.class+"/"+k.event, v.(*expvar.Int))
	}
	return v.(*expvar.Int)
}
