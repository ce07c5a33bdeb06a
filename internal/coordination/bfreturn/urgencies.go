package bfreturn

const (
	// urgencyBands is the number of urgencies that are told apart; all less urgent ones share
	// the last.
	urgencyBands = 8
	// urgencyFloor is the share of the late placements that each urgency keeps.
	urgencyFloor = 0.1
)

// urgencies counts the requests of a service by urgency over the last second. It answers the
// load in which less urgent requests take the late placements while more urgent ones are
// refused.
type urgencies struct {
	bands [urgencyBands]struct{ seen, refused, taken recent }
}

func band(urgency int) int { return min(max(0, urgency), urgencyBands-1) }

func (u *urgencies) note(tick int64, urgency int)   { u.bands[band(urgency)].seen.add(tick) }
func (u *urgencies) refuse(tick int64, urgency int) { u.bands[band(urgency)].refused.add(tick) }
func (u *urgencies) take(tick int64, urgency int)   { u.bands[band(urgency)].taken.add(tick) }

// mayTake reports whether a request of the urgency may get a late placement: no more urgent
// request was refused in the last second, or the urgency has not got its floor.
func (u *urgencies) mayTake(tick int64, urgency int) bool {
	own, refused, total := band(urgency), false, 0.0
	for i := range u.bands {
		refused = refused || i < own && u.bands[i].refused.sum(tick) > 0
		total += u.bands[i].taken.sum(tick)
	}
	return !refused || u.bands[own].taken.sum(tick) <= urgencyFloor*total
}

// compare reports whether the requests of the last second show the urgency to be the first of
// several, or to come after others.
func (u *urgencies) compare(tick int64, urgency int) (first, yields bool) {
	own, others := band(urgency), false
	for i := range u.bands {
		seen := u.bands[i].seen.sum(tick) > 0
		yields = yields || seen && i < own
		others = others || seen && i > own
	}
	return others && !yields, yields
}

// refusedShare returns the share of the last second's requests that found no room.
func (u *urgencies) refusedShare(tick int64) float64 {
	refused, seen := 0.0, 1.0
	for i := range u.bands {
		refused += u.bands[i].refused.sum(tick)
		seen += u.bands[i].seen.sum(tick)
	}
	return min(1, refused/seen)
}
