package bfraft

import "slices"

// maxSilentTicks limits the inherited time, which comes from another replica's message.
const maxSilentTicks = 1 << 30

// silentMembers returns the members that have not replied for an election timeout. The
// leader sends them with its heartbeats, so that its successor doesn't count from zero: a
// member that is lost for good would otherwise stay as long as leaders are lost too.
func (r *Raft) silentMembers() []Silence {
	var out []Silence
	for _, id := range r.peers() {
		p := r.progress[id]
		if ticks := p.silentBefore + p.ticksSinceReply; ticks >= r.cfg.ElectionTicks {
			out = append(out, Silence{ID: id, Ticks: uint64(ticks)})
		}
	}
	return out
}

// inheritSilence takes over for how long members had not replied before this replica's
// election: those that the last leader reported, and that leader itself. Members that
// answered the vote request are not silent.
func (r *Raft) inheritSilence() {
	for _, s := range slices.Concat(r.reportedSilence, []Silence{{ID: r.lastLeader}}) {
		p := r.progress[s.ID]
		if _, answered := r.votes[s.ID]; p == nil || answered {
			continue
		}
		p.silentBefore = min(int(min(s.Ticks, maxSilentTicks))+r.leaderElapsed, maxSilentTicks)
	}
	r.reportedSilence = nil
}
