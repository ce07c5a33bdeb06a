package bfsteering

import "time"

// takesUpload reports whether this entry may send a further upload to the server: as many as
// its share of the server's slots, and more only while the last load report shows free slots.
// Requests that wait at a server occupy its memory with their bodies, and a server whose
// memory is used up crashes.
func (s *server) takesUpload(now time.Time, regionPeers int) bool {
	entries := regionPeers + 1
	share := max(1, (s.Slots+entries-1)/entries)
	return s.uploads < share || s.load(now, regionPeers)+1 <= float64(s.Slots)
}

// transferTime returns how long a streamed body takes over this VM's link. Receiving and
// sending overlap, so the link's time counts once.
func (s *Steering) transferTime(r *Request) time.Duration {
	if s.LinkBandwidth <= 0 {
		return 0
	}
	return time.Duration(float64(r.StreamedBytes) / s.LinkBandwidth * float64(time.Second))
}

// workBegan returns the time from which on the try waited for the server alone: the end of a
// streamed body, whose sending takes as long as the caller needs, or the start of the try.
func (t *Try) workBegan(r *Report) time.Time {
	if r.BodySentAt.After(t.started) {
		return r.BodySentAt
	}
	return t.started
}

// networkTime returns the part of the time since workBegan that the network took. A streamed
// body is sent after the connection was opened.
func (t *Try) networkTime(r *Report) time.Duration {
	if r.BodySentAt.After(t.started) {
		return t.steering.rtts.get(t.server.region, t.steering.Region)
	}
	return t.network
}

// isCallersDoing reports whether the try ended without an answer because its caller did not
// send the body in time. A server may close a connection on which it waits for long.
func (r *Report) isCallersDoing() bool {
	switch r.Outcome {
	case TimedOut, Cancelled:
		return r.AwaitedCaller
	case ConnectionLost:
		return r.AwaitedCaller && !r.ServerRefusedConnection
	}
	return false
}
