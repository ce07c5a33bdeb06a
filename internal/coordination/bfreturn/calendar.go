package bfreturn

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// calendarTicks is the size of the calendar's ring: graceTicks of the past and the rest
	// of the future. Callers return to any entry, so that an entry with few requests gets
	// returns well before or after its own bookings.
	calendarTicks = 64
	graceTicks    = 10
	// rateTicks is the number of intervals over which answers in time are counted.
	rateTicks = 20
	// minReturnShare is the share of the answers in time that may always be booked. New
	// callers, which are not displaced, use the rest. Without refusals all may be booked;
	// the share of requests that found no room, times refusedWeight, is taken off.
	minReturnShare = 0.25
	refusedWeight  = 2
	// reservedShare is the share of an interval's room that is kept for urgent callers and
	// for those that can't come much later. Of reservedEvery intervals one is kept for urgent
	// callers as a whole, if there are some.
	reservedShare = 0.3
	reservedEvery = 3
	// remainingClasses is the number of classes of remaining times; classesPerDoubling of
	// them lie between a time and twice that time. Times that differ by a factor of 2.5 share
	// a class.
	remainingClasses   = 16
	classesPerDoubling = 12
	// lateClasses is the number of classes by which a returning caller's remaining time may
	// be shorter than expected, because of the time on the network.
	lateClasses = 2
	// dueTicks is the number of intervals before and after the current one whose bookings are
	// due.
	dueTicks = 2
	// maxDueShare bounds the part of the late placements that is kept for returning callers.
	maxDueShare = 0.5
	// remainingDivisor divides the remaining time into the longest wait and the rest.
	remainingDivisor = 3
	// roundingMargin is kept at the start of an interval, since a Retry-After is rounded to
	// hundredths of a second.
	roundingMargin = 10 * time.Millisecond
)

type (
	// calendar holds the returns that are booked in a ring of short intervals. Its memory
	// doesn't depend on the number of callers. It answers the load in which all callers
	// refused in a moment come back together and are refused again.
	calendar struct {
		latest    int64
		intervals [calendarTicks]interval
		// answers counts all answers, and inTime those in time.
		answers, inTime [rateTicks]int32
		// firstTick is the interval of the first answer; known is true from then on.
		firstTick int64
		known     bool
		// phase from 0 to 1 differs between entries, so that entries with less than one
		// return in an interval don't all use the same intervals.
		phase float64
	}

	// interval counts the callers that were told to come in it and those that came, by the
	// class of their remaining time.
	interval struct {
		booked, arrived int32
		classes         [remainingClasses]struct{ booked, arrived int32 }
	}

	booking struct {
		Refusal
		remaining time.Duration
		// urgent reports whether less urgent callers were seen and no more urgent ones, and
		// yields whether more urgent ones were.
		urgent, yields bool
		// granted reports whether the caller's organisation and urgency leave it a place.
		granted bool
		// refused is the share of the recent requests that found no room.
		refused float64
	}
)

func (c *calendar) at(tick int64) *interval { return &c.intervals[tick%calendarTicks] }

// advance clears the intervals that enter the ring.
func (c *calendar) advance(tick int64) {
	if c.phase == 0 {
		c.phase = rand.Float64()
	}
	if tick-c.latest >= rateTicks {
		// Without requests the rate says nothing about the room.
		c.known = false
	}
	for t := max(c.latest+1, tick-calendarTicks+1); t <= tick; t++ {
		*c.at(t + calendarTicks - graceTicks - 1) = interval{}
		c.answers[t%rateTicks], c.inTime[t%rateTicks] = 0, 0
	}
	c.latest = max(c.latest, tick)
}

func (c *calendar) finish(tick int64, inTime bool) {
	c.advance(tick)
	if !c.known {
		c.known, c.firstTick = true, tick
	}
	c.answers[c.latest%rateTicks]++
	if inTime {
		c.inTime[c.latest%rateTicks]++
	}
}

// queueTime returns the time in which the requests at the servers will be answered. Until they
// are, there is less room than the rate of the answers says.
func (c *calendar) queueTime(inFlight int) time.Duration {
	rate := c.rate(&c.answers)
	if rate == 0 {
		return 0
	}
	return time.Duration(float64(inFlight) / rate * float64(tickLength))
}

// rate returns the number of answers in an interval.
func (c *calendar) rate(counts *[rateTicks]int32) float64 {
	total := int32(0)
	for _, n := range counts {
		total += n
	}
	return float64(total) / float64(min(rateTicks, max(1, c.latest-c.firstTick+1)))
}

// room returns the number of callers that may be told to come in the interval. Over many
// intervals it is a whole number of callers close to the rate.
func (c *calendar) room(tick int64, perTick float64) int32 {
	end := math.Floor(float64(tick+1)*perTick + c.phase)
	return int32(end - math.Floor(float64(tick)*perTick+c.phase))
}

// book returns when the caller should come back, and whether there will be room then. If
// there will be none early enough, it returns a time in the last quarter of the time in
// which coming back is of use. The wait is 0 if no answers are known yet.
func (c *calendar) book(now time.Time, k *clock, b booking) (time.Duration, bool) {
	tick := k.tick(now)
	c.advance(tick)
	latest := b.remaining / remainingDivisor
	if b.Need < b.remaining {
		latest = min(latest, b.remaining-b.Need)
	}
	earliest := max(MinWait, b.NotBefore)
	if !c.known || latest <= earliest {
		return b.NotBefore, false
	}
	earliest = max(earliest, min(c.queueTime(b.InFlight)-b.Target, latest*3/4))
	perTick := c.rate(&c.inTime) * max(minReturnShare, 1-refusedWeight*b.refused)
	first, last := k.tick(now.Add(earliest)), min(k.tick(now.Add(latest)), tick+calendarTicks-graceTicks-1)
	for t := first; t <= last && b.granted; t++ {
		room, in := c.room(t, perTick), c.at(t)
		if t < (first+last)/2 {
			room -= b.reserved(t, room)
		}
		if in.booked >= room {
			continue
		}
		wait := k.startOf(t).Sub(now) + roundingMargin + rand.N(tickLength-roundingMargin)
		wait = min(max(wait, earliest), latest)
		in.booked++
		in.classes[remainingClass(b.remaining-wait)].booked++
		return wait, true
	}
	return max(earliest, latest-rand.N(latest/4+1)), false
}

// reserved returns the part of an interval's room that the caller leaves to others, if there
// is a later interval in which it can come: to those with less time left, and to more urgent
// ones also whole intervals, since an entry with few requests has room for one caller only.
func (b *booking) reserved(tick int64, room int32) int32 {
	switch {
	case b.urgent:
		return 0
	case b.yields && tick%reservedEvery == 0:
		return room
	}
	return int32(reservedShare * float64(room))
}

// arrive reports whether a caller with the remaining time was told to come about now, and
// takes it off the bookings. The class of remaining times keeps callers that repeat at once
// from taking the room of those that wait as they were told.
func (c *calendar) arrive(tick int64, remaining time.Duration) bool {
	c.advance(tick)
	class := remainingClass(remaining)
	for t := max(0, tick-graceTicks); t <= tick; t++ {
		in := c.at(t)
		for late := range lateClasses + 1 {
			k := &in.classes[(class+late)%remainingClasses]
			if k.arrived < k.booked {
				k.arrived++
				in.arrived++
				return true
			}
		}
	}
	return false
}

// dueShare returns the returns that are due as a share of the answers in time.
func (c *calendar) dueShare(tick int64) float64 {
	c.advance(tick)
	due := int32(0)
	for t := max(0, tick-dueTicks); t <= tick+dueTicks; t++ {
		due += c.at(t).booked - c.at(t).arrived
	}
	if due <= 0 {
		return 0
	}
	return min(maxDueShare, float64(due)/max(1, c.rate(&c.inTime)*(2*dueTicks+1)))
}

func remainingClass(d time.Duration) int {
	return int(classesPerDoubling*math.Log2(float64(max(1, d.Milliseconds())))) % remainingClasses
}
