package bfentry

import (
	"expvar"
	"strings"
	"sync"

	"briarferry"
)

// Decisions that are counted for each service and class.
const (
	countAnswered   = "answered"
	countLate       = "late"
	countFailed     = "failed"
	countReplayed   = "replayed"
	countRetried    = "retried"
	countNoBudget   = "retry_budget_spent"
	countHedged     = "hedged"
	countHedgeWon   = "hedge_won"
	countShed       = "shed"
	countCrossed    = "crossed"
	countTruncated  = "truncated"
	countSilent     = "silent"
	countDied       = "connection_died"
	countNotSent    = "not_sent"
	countStrike     = "strike"
	countCompletion = "completion_lost"
	countRefused    = "refused_"
)

type (
	// Counters counts the decisions about requests. Its zero value is ready.
	Counters struct {
		once   sync.Once
		root   *expvar.Map
		values sync.Map
	}

	counterKey struct{ service, class, decision string }
)

var published = &Counters{}

func init() { expvar.Publish("requests", published.Vars()) }

// Vars returns the counters by service, class and decision.
func (c *Counters) Vars() *expvar.Map {
	c.once.Do(func() { c.root = new(expvar.Map).Init() })
	return c.root
}

// Value returns one counter's value.
func (c *Counters) Value(service, class, decision string) int64 {
	return c.counter(counterKey{service, class, decision}).Value()
}

// Refusals returns this process's refusals of a service by class.
func Refusals(service string) map[string]int64 {
	out := map[string]int64{}
	published.values.Range(func(k, v any) bool {
		if key := k.(counterKey); key.service == service && strings.HasPrefix(key.decision, countRefused) {
			out[key.class] += v.(*expvar.Int).Value()
		}
		return true
	})
	return out
}

func (c *Counters) add(r *briarferry.Request, decision string) {
	c.counter(counterKey{r.Service, r.Class.Name, decision}).Add(1)
}

func (c *Counters) counter(k counterKey) *expvar.Int {
	if v, ok := c.values.Load(k); ok {
		return v.(*expvar.Int)
	}
	v, loaded := c.values.LoadOrStore(k, new(expvar.Int))
	if !loaded {
		c.Vars().Set(k.service+"/"+k.class+"/"+k.decision, v.(*expvar.Int))
	}
	return v.(*expvar.Int)
}
