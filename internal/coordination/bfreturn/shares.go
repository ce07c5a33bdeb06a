package bfreturn

import (
	"math"
	"time"
)

const (
	// maxNamed bounds the organisations that are counted by name.
	maxNamed = 32
	// usualTime is the time constant of an organisation's usual rate.
	usualTime = 30 * time.Second
	// minUsual is the lowest usual rate, in requests per second. It is the one of
	// organisations that were not seen before.
	minUsual = 1.0
	// shareSlack is the factor by which the late placements of the last second may grow.
	// Without it they would not grow again once they were few.
	shareSlack = 1.1
	// minUsedShare is the share of the late placements that others must use while shares are
	// enforced, and suspendedTicks the time without enforcement if they don't.
	minUsedShare   = 0.6
	suspendedTicks = 30
	// mostDecay is the factor by which the remembered number of late placements falls in an
	// interval. The servers' queues fill at the start of a shortage, which takes more
	// placements than later seconds have.
	mostDecay = 0.98
)

type (
	// shares divides the late placements of a sliding second among organisations, max-min
	// fair and weighted by their usual rates. It answers the load in which one organisation
	// sends several times its usual and takes the room of all others.
	shares struct {
		named map[string]*share
		// rest counts the placements of the organisations that are not counted by name.
		rest recent
		// denied counts the requests that were refused because of their shares, and most is
		// the largest number of placements in a recent second.
		denied         recent
		most           float64
		mostAt         int64
		suspendedUntil int64
	}

	// share is the recent demand of an organisation for late placements, what it got, and
	// its usual rate of requests, which isn't updated during a shortage.
	share struct {
		asked, taken recent
		usual        float64
		usualAt      time.Time
	}
)

// note updates the organisation's usual rate.
func (s *shares) note(now time.Time, tick int64, organisation string, short bool) {
	sh := s.get(tick, organisation)
	elapsed := now.Sub(sh.usualAt)
	sh.usualAt = now
	if short {
		return
	}
	sh.usual = sh.usual*math.Exp(-elapsed.Seconds()/usualTime.Seconds()) + 1/usualTime.Seconds()
}

func (s *shares) take(tick int64, organisation string) { s.get(tick, organisation).taken.add(tick) }

// get returns the counts of an organisation. If there are too many, the lightest is no longer
// counted by name.
func (s *shares) get(tick int64, organisation string) *share {
	if sh := s.named[organisation]; sh != nil {
		return sh
	}
	if s.named == nil {
		s.named = map[string]*share{}
	}
	if len(s.named) >= maxNamed {
		s.removeLightest(tick)
	}
	sh := &share{}
	s.named[organisation] = sh
	return sh
}

func (s *shares) removeLightest(tick int64) {
	lightest, least := "", math.Inf(1)
	for name, sh := range s.named {
		if weight := sh.asked.sum(tick) + sh.usual; weight < least {
			lightest, least = name, weight
		}
	}
	s.rest.addAll(tick, &s.named[lightest].taken)
	delete(s.named, lightest)
}

func (s *shares) ask(tick int64, organisation string) { s.get(tick, organisation).asked.add(tick) }

// mayTake reports whether the organisation has less than its fair share of the late
// placements.
func (s *shares) mayTake(tick int64, organisation string) bool {
	if len(s.named) < 2 {
		return true
	}
	mine := s.get(tick, organisation)
	total, rest := 0.0, s.rest.sum(tick)
	for _, sh := range s.named {
		total += sh.taken.sum(tick)
	}
	if s.isSuspended(tick, total+rest) {
		return true
	}
	fair := s.level(tick, shareSlack*total) * mine.weight()
	if mine.asked.sum(tick) <= fair || mine.taken.sum(tick) <= fair {
		return true
	}
	s.denied.add(tick)
	return false
}

// isSuspended reports whether shares are not enforced. The organisations that want more may
// be unable to use what is left to them, as their servers are others. So enforcement is
// suspended where it makes the late placements fewer.
func (s *shares) isSuspended(tick int64, total float64) bool {
	s.most *= math.Pow(mostDecay, float64(max(0, tick-s.mostAt)))
	s.mostAt = max(s.mostAt, tick)
	switch {
	case tick < s.suspendedUntil:
		return true
	case s.denied.sum(tick) == 0, total > s.most:
		s.most = total
	case total < minUsedShare*s.most:
		s.most, s.suspendedUntil = total, tick+suspendedTicks
		return true
	}
	return false
}

// level returns the placements per weight of an organisation that wants more than its share,
// after those that want less have got what they want.
func (s *shares) level(tick int64, capacity float64) float64 {
	open := make([]*share, 0, maxNamed)
	weights := 0.0
	for _, sh := range s.named {
		if sh.asked.sum(tick) > 0 {
			open, weights = append(open, sh), weights+sh.weight()
		}
	}
	for {
		level, left := capacity/weights, open[:0]
		for _, sh := range open {
			if want := sh.asked.sum(tick); want <= level*sh.weight() {
				capacity, weights = capacity-want, weights-sh.weight()
				continue
			}
			left = append(left, sh)
		}
		if len(left) == 0 {
			return math.Inf(1)
		}
		if len(left) == len(open) {
			return level
		}
		open = left
	}
}

func (s *share) weight() float64 { return max(minUsual, s.usual) }

// addAll adds the recent events of another counter.
func (r *recent) addAll(tick int64, other *recent) {
	r.advance(tick)
	other.advance(tick)
	for i := range r.counts {
		r.counts[i] += other.counts[i]
	}
}
