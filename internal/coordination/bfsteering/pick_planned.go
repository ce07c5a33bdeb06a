package bfsteering

import (
	"sync/atomic"
	"time"
)

// pickPlanned picks a server of the planned region. If none there can be used, or none can
// answer in time and the request may leave its region, it picks one of all servers. It returns
// no server if the request may not leave a region whose servers accept none at the moment. It
// may for a time after a change of the servers, as restarted ones accept few requests.
func (v *service) pickPlanned(now time.Time, s *Steering, list []candidate, r *Request, plan planDecision) (candidate, LeaveReason, bool) {
	if !plan.planned {
		best, ok := pick(list, r)
		return best, s.leaveReason(best, LeftOwnChoice), ok
	}
	in := v.candidatesIn(list, plan.region)
	if len(in) == 0 {
		if v.hasUsable(now, r, plan.region) && !plan.mayLeave && !s.shift.suspended(now) {
			r.count(&s.PlanCounts.Refused)
			return candidate{}, "", false
		}
		best, ok := pick(list, r)
		r.count(&s.PlanCounts.NoUsableServer)
		return best, s.leaveReason(best, LeftNoUsableServer), ok
	}
	best, ok := pick(in, r)
	if plan.mayLeave && (!ok || best.estimate > onTimeLimit(r)) {
		other, otherOK := pick(list, r)
		if otherOK && other.server.region != plan.region && (!ok || other.estimate <= onTimeLimit(r)) {
			r.count(&s.PlanCounts.NoServerInTime)
			return other, s.leaveReason(other, LeftNoServerInTime), true
		}
	}
	if !ok {
		r.count(&s.PlanCounts.Refused)
		return best, "", false
	}
	r.count(&s.PlanCounts.Followed)
	if plan.region != s.Region {
		r.count(&s.PlanCounts.Remote)
	}
	return best, s.leaveReason(best, LeftPlanned), true
}

// count counts the request unless it was counted at an earlier try.
func (r *Request) count(c *atomic.Int64) {
	if r.isFirstTry() {
		c.Add(1)
	}
}

// leaveReason returns the reason if the server is outside the entry's region.
func (s *Steering) leaveReason(c candidate, reason LeaveReason) LeaveReason {
	if c.server.region == s.Region {
		return ""
	}
	return reason
}

// candidatesIn returns the candidates of a region. The list is valid until the next call.
func (v *service) candidatesIn(list []candidate, region string) []candidate {
	v.inRegion = v.inRegion[:0]
	for _, c := range list {
		if c.server.region == region {
			v.inRegion = append(v.inRegion, c)
		}
	}
	return v.inRegion
}

// hasUsable reports whether a server of the region is registered, works and asked for no pause,
// even if it accepts no request at the moment. A request that was tried at all of them has no other place.
func (v *service) hasUsable(now time.Time, r *Request, region string) bool {
	if !r.isFirstTry() {
		return false
	}
	for _, srv := range v.servers {
		if srv.region == region && srv.usable(r) && !srv.ejected() && !srv.availability.closed(now) {
			return true
		}
	}
	return false
}
