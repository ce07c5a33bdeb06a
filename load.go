package briarferry

const (
	// minSlowdown and maxSlowdown bound the slowdowns that are taken from load reports.
	minSlowdown = 0.05
	maxSlowdown = 50.0
)

// ServerLoad is the load that a backend server reports with an answer.
type ServerLoad struct {
	Running int
	Waiting int
	Slots   int
	// Slowdown is the server's current time for a request relative to its usual time: 2
	// means twice as long. It is 0 if the server didn't report it.
	Slowdown float64
}

// WithSlowdown returns the load with the slowdown, or without one if it is out of range.
func (l ServerLoad) WithSlowdown(slowdown float64) ServerLoad {
	l.Slowdown = 0
	if slowdown >= minSlowdown && slowdown <= maxSlowdown {
		l.Slowdown = slowdown
	}
	return l
}

// Validate reports every field that is out of range.
func (l *ServerLoad) Validate() Findings {
	var f Findings
	if l.Running < 0 || l.Running > maxConnections {
		f.Add("running", "must be between 0 and %d", maxConnections)
	}
	if l.Waiting < 0 || l.Waiting > maxConnections {
		f.Add("waiting", "must be between 0 and %d", maxConnections)
	}
	if l.Slots < 1 || l.Slots > maxSlots {
		f.Add("slots", "must be between 1 and %d", maxSlots)
	}
	if l.Slowdown != 0 && !(l.Slowdown >= minSlowdown && l.Slowdown <= maxSlowdown) {
		f.Add("slowdown", "must be between %v and %v", minSlowdown, maxSlowdown)
	}
	return f
}
