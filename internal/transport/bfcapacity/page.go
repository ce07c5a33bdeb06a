package bfcapacity

import (
	"fmt"
	"io"
	"math"
	"runtime"
	"strings"
	"time"
)

// page writes Markdown and keeps the first write error.
type page struct {
	w   io.Writer
	err error
}

func (p *page) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}

func (p *page) row(cells ...string) { p.printf("| %s |\n", strings.Join(cells, " | ")) }

func (p *page) head(cells ...string) {
	p.row(cells...)
	p.printf("|%s\n", strings.Repeat(" --- |", len(cells)))
}

// number formats a value with three significant digits and without an exponent.
func number(v float64) string {
	if v == 0 || math.Abs(v) >= 100 {
		return fmt.Sprintf("%.0f", v)
	}
	digits := max(0, 2-int(math.Floor(math.Log10(math.Abs(v)))))
	return fmt.Sprintf("%.*f", min(digits, 6), v)
}

func (e Estimate) String() string { return number(e.Value) + " ± " + number(e.Error) }

func percent(v float64) string { return number(100*v) + "%" }

// WritePage writes the capacity page with the figures of one run.
func (m *Model) WritePage(w io.Writer, revision string, now time.Time, took time.Duration) error {
	p := &page{w: w}
	p.printf(pageHead, now.UTC().Format("2006-01-02 15:04 UTC"), took.Seconds(), runtime.Version(), runtime.GOARCH, runtime.NumCPU(), revision)
	m.writeRoles(p)
	p.printf("\n%s\n", pageRoles)
	m.writeRouted(p)
	m.writeLookups(p)
	m.writeScalingLimits(p)
	m.writeEvents(p)
	m.writePolicies(p)
	m.writeFits(p)
	p.printf("\n%s", pageNotMeasured)
	return p.err
}

func (m *Model) writeRoles(p *page) {
	p.printf("## Roles at the target size\n\n")
	p.head("role", "mechanism", "state", "messages/s", "KB/s, steady", "KB/s while a failure domain is lost", "KB/s while a region is lost", "processor, % of a core", "memory, MB", "limits")
	domainDeltas, regionDeltas := m.deltaRate(eventFailureDomainFails), m.deltaRate(eventRegionFails)
	for _, r := range m.Roles() {
		p.row(r.Name, r.Mechanism, r.State, number(r.Messages), r.Bytes.Times(1e-3).String(),
			number((r.Bytes.Value+domainDeltas*r.DeltaCopies)/1e3), number((r.Bytes.Value+regionDeltas*r.DeltaCopies)/1e3),
			r.CPU.Times(1e-4).String(), r.Memory.String(), r.limitStatus(domainDeltas, regionDeltas))
	}
}

// limitStatus names the limits that the role exceeds, given the delta rates in bytes
// per second while a failure domain or a region is lost.
func (r Role) limitStatus(domainDeltas, regionDeltas float64) string {
	var exceeded []string
	switch {
	case r.Bytes.Value > limitBytesPerSecond:
		exceeded = append(exceeded, "KB/s")
	case r.Bytes.Value+domainDeltas*r.DeltaCopies > limitBytesPerSecond:
		exceeded = append(exceeded, "KB/s while a failure domain is lost")
	case r.Bytes.Value+regionDeltas*r.DeltaCopies > limitBytesPerSecond:
		exceeded = append(exceeded, "KB/s while a region is lost")
	}
	if r.CPU.Value/1e6 > limitCPUCores {
		exceeded = append(exceeded, "processor")
	}
	if r.Memory.Value > limitMemoryMB {
		exceeded = append(exceeded, "memory")
	}
	switch {
	case len(exceeded) == 0:
		return "within"
	case r.Reserved:
		return "over: " + strings.Join(exceeded, ", ") + " (reserved VM)"
	}
	return "**over**: " + strings.Join(exceeded, ", ")
}

func (m *Model) writeLookups(p *page) {
	perEntry := float64(targetLookups / targetVMs)
	entries, request := m.entriesTime.At(targetVMs), m.lookupTime.At(targetVMs)
	p.printf("## A caller's look-up\n\n")
	p.head("part", "per look-up", fmt.Sprintf("at %.0f look-ups/s on each entry", perEntry))
	p.row("ranked list by address", m.listLookupTime.At(targetBlocks).String()+" ns", percent(m.listLookupTime.At(targetBlocks).Value*perEntry/1e9)+" of a core")
	p.row("entries among 520 live VMs", entries.String()+" µs", percent(entries.Value*perEntry/1e6)+" of a core")
	p.row("whole `GET /v1/lookup`, without a network", request.String()+" µs", percent(request.Value*perEntry/1e6)+" of a core")
	p.printf("\nLook-ups are regular work of the entries and not control overhead, so the limit of 2.5%% does not apply to them.\n\n")
}

func (m *Model) writeScalingLimits(p *page) {
	p.printf("## System sizes from which the current mechanisms exceed a limit\n\n")
	p.head("mechanism", "limit", "from", "instead")
	for _, b := range m.ScalingLimits() {
		at := "not reached up to 2,000"
		if b.Size > 0 {
			at = fmt.Sprintf("%d %s", b.Size, b.Unit)
		}
		p.row(b.Mechanism, b.Limit, at, b.Replacement)
	}
}

func (m *Model) writeEvents(p *page) {
	p.printf("\n## Simulated failures and drains\n\n%s\n", pageEvents)
	p.head("event", "how often", "moved, % of demand", "refused at most, %, classes 0/1/2", "until all is served", "largest shift into a region in one step, % of its capacity", "held back by", "deltas, KB: largest, sum")
	for _, e := range m.Events {
		until := e.RecoveryTime.String()
		if !e.Recovered {
			until = "not within " + (maxEventSteps * stepInterval).String()
		}
		var refused []string
		for _, v := range e.Refused {
			refused = append(refused, number(100*v))
		}
		p.row(e.Name, e.Frequency, number(100*e.Moved), strings.Join(refused, " / "), until, number(100*e.MaxShift), e.HeldBy,
			number(float64(e.MaxDelta)/1e3)+", "+number(float64(e.TotalDelta)/1e3))
	}
}

func (m *Model) writePolicies(p *page) {
	p.printf("\n## Planner against nearest site\n\n90,000 blocks, %d steps of %s.\n\n", policySteps, stepInterval)
	WritePolicies(p.w, m.Policies)
}

// WritePolicies writes the comparison of the policies as a Markdown table.
func WritePolicies(w io.Writer, results []PolicyResult) {
	p := &page{w: w}
	p.head("scenario", "policy", "demand over a site's limit, %", "refused, %", "moved, sum over all steps, %", "largest shift into a region in 10 s, % of its capacity", "mean one-way delay, ms")
	for _, r := range results {
		p.row(r.Scenario, r.Policy, number(100*r.Overload), number(100*r.Refused), number(100*r.Moved), number(100*r.MaxShift), number(r.MeanDelay))
	}
}

func (m *Model) writeFits(p *page) {
	p.printf("\n## Measured slopes\n\nEach line is a least-squares fit. The error of a slope is its standard error; the residual is the root mean square distance of the points from the line.\n\n")
	p.head("quantity", "unit", "sizes", "measured", "slope per unit of size", "intercept", "residual", "code")
	for _, f := range []Fit{
		m.siteMembership.bytes, m.siteMembership.encode, m.siteMembership.receive, m.siteMembership.tick, m.siteMembership.memory, m.meshMembership.bytes, m.meshMembership.encode, m.meshMembership.receive, m.meshMembership.tick, m.meshMembership.memory,
		m.compactBytes, m.compactCPU, m.digestBytes, m.digestCPU, m.configBytes, m.configCPU, m.configHeap, m.changeBytes, m.changeCPU,
		m.announcementBytes, m.announcementCPU, m.recordBytes, m.demandBytes, m.datagramCPU,
		m.controlBytes, m.controlCPU, m.listBytes, m.listCPU, m.changedBytes, m.changedCPU, m.routeBytes, m.routeCPU, m.callBytes, m.callCPU,
		m.planTime, m.planMemory, m.idleStepTime, m.siteLossTime, m.blockSetBytes, m.assignmentBytes, m.assignmentCPU, m.deltaBytes, m.deltaCPU,
		m.indexMemory, m.lookupTablesMemory, m.listLookupTime, m.entriesTime, m.lookupTime,
	} {
		p.row(f.Name, f.Unit, numbers(f.X)+" × "+f.Per, numbers(f.Y),
			fmt.Sprintf("%.3g ± %.2g", f.Slope, f.SlopeError), fmt.Sprintf("%.3g", f.Intercept), fmt.Sprintf("%.2g", f.Residual), f.Source)
	}
}

func numbers(v []float64) string {
	var out []string
	for _, x := range v {
		out = append(out, number(x))
	}
	return strings.Join(out, ", ")
}
