package bfquota

import "time"

// historyLevels is the number of levels below a bucket's depth that a history tracks: 1, 4, 16 and
// 64 tokens.
const historyLevels = 4

// history tells how many tokens a bucket may take back. A token that comes back must not count if
// the bucket would have been full with it meanwhile: otherwise more could run in some time than the
// quota allows.
type history struct {
	// highAt holds when the bucket last lacked no more than a level's number of tokens.
	highAt [historyLevels]time.Duration
	// taken and takenBefore are the numbers of tokens taken back since the given time and in
	// the period before.
	taken, takenBefore float64
	since              time.Duration
}

// begin starts the history of a new bucket.
func (h *history) begin(now time.Duration) {
	*h = history{since: now}
	for i := range h.highAt {
		h.highAt[i] = now
	}
}

func (h *history) observe(now time.Duration, tokens, depth float64) {
	level := 1.0
	for i := range h.highAt {
		if tokens > depth-level {
			h.highAt[i] = now
		}
		level *= 4
	}
}

// takeBack returns how many of the tokens may be taken back. They are of the given age, which is at
// most maxAge.
func (h *history) takeBack(now, age, maxAge time.Duration, tokens float64) float64 {
	if now-h.since > maxAge {
		h.takenBefore, h.taken, h.since = h.taken, 0, now
	}
	before := h.taken + h.takenBefore
	allowed, level := 0.0, 1.0
	for i := range h.highAt {
		if now-h.highAt[i] > age {
			allowed = level
		}
		level *= 4
	}
	n := max(0, min(tokens, allowed-before))
	h.taken += n
	return n
}
