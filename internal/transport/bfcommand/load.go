package bfcommand

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"math"
	"net/http"
	"net/netip"
	"os"
	"time"

	"briarferry"
	"briarferry/internal/transport/bfload"
	"briarferry/internal/transport/bfstandin"
)

type (
	// flowFile is the content of the file of the --flows flag.
	flowFile struct {
		Flows []bfload.Flow `json:"flows"`
	}

	loadFlags struct {
		entries, flows, standin, out string
		duration                     time.Duration
		seed                         uint64
		check                        bool
		security                     clientFlags
	}

	// loadSummary is printed as JSON on the last line of the output.
	loadSummary struct {
		Requests int `json:"requests"`
		OK       int `json:"ok"`
		NotRun   int `json:"not_run"`
		Unknown  int `json:"unknown"`
		// Cut counts requests that got no complete answer, or the answer to another request.
		Cut int `json:"cut"`
		// Duplicates counts the executions beyond the first of each idempotency key.
		Duplicates int `json:"duplicates"`
		// FalseNotRun counts idempotency keys whose request ran although the caller was told
		// that it had not.
		FalseNotRun int `json:"false_not_run"`
		// UrgentLate counts requests of the most urgent flows that got no response in time.
		UrgentLate int `json:"urgent_late"`
	}
)

// Validate reports the flows that are not valid.
func (f *flowFile) Validate() briarferry.Findings {
	var out briarferry.Findings
	for i, flow := range f.Flows {
		place := fmt.Sprintf("flows[%d]", i)
		if !briarferry.ValidName(flow.Service) {
			out.Add(place+".service", "must be a name: %q", flow.Service)
		}
		if flow.Rate <= 0 {
			out.Add(place+".rate", "must be more than 0")
		}
		if flow.Timeout <= 0 {
			out.Add(place+".timeout", "must be more than 0")
		}
	}
	return out
}

func loadCommand() *command {
	var f loadFlags
	return &command{
		name:     "load",
		synopsis: "send requests at fixed rates (open loop) and print the results that callers got",
		flags: func(fs *flag.FlagSet) {
			fs.StringVar(&f.entries, "entries", "127.0.0.1:7000", "HTTP addresses (IP:port) of entries for look-ups, comma separated")
			f.security.register(fs)
			fs.StringVar(&f.flows, "flows", "", "JSON file with the flows to send")
			fs.StringVar(&f.standin, "standin", "", "admin address (IP:port) of the stand-in backend servers, to count how often each request ran; empty for no count")
			fs.StringVar(&f.out, "out", "", "file for the full report as JSON; empty for none")
			fs.BoolVar(&f.check, "check", false, "exit with 1 if a response was incomplete or belonged to another request, a request with a key ran more than once or ran although its caller was told that it had not, or a request of the most urgent flows was late")
			fs.DurationVar(&f.duration, "for", 10*time.Second, "time to send requests for")
			fs.Uint64Var(&f.seed, "seed", 1, "random seed of the arrival times and keys")
		},
		run: func(ctx context.Context, _ []string) error { return f.run(ctx) },
	}
}

func (f *loadFlags) run(ctx context.Context) error {
	var v validator
	var flows flowFile
	v.jsonFile("flows", f.flows, &flows)
	entries := v.addresses("entries", f.entries)
	var standin netip.AddrPort
	if f.standin != "" {
		standin = v.address("standin", f.standin)
	}
	v.positive("for", f.duration)
	cas := f.security.trustedCAs(&v)
	if err := v.findings.Err(); err != nil {
		return err
	}
	g := &bfload.Generator{Entries: entries, Flows: flows.Flows, Duration: f.duration, Seed: f.seed, TLS: cas}
	report, err := g.Run(ctx)
	if err != nil {
		return err
	}
	return f.print(ctx, report, standin)
}

func (f *loadFlags) print(ctx context.Context, report *bfload.Report, standin netip.AddrPort) error {
	report.WriteTable(os.Stdout)
	for _, flow := range report.Flows {
		for reason, n := range flow.Reasons {
			fmt.Printf("%s urgency %d: %d times %s\n", flow.Flow.Service, flow.Flow.Urgency, n, reason)
		}
	}
	if f.out != "" {
		data, err := json.MarshalIndent(report, "", "  ")
		if err != nil {
			return fmt.Errorf("bfcommand: encode report: %w", err)
		}
		if err := os.WriteFile(f.out, data, 0o644); err != nil {
			return fmt.Errorf("bfcommand: write report: %w", err)
		}
	}
	t := report.Total
	sum := loadSummary{Requests: t.Requests, OK: t.OK, NotRun: t.NotRun + t.Skipped, Unknown: t.Unknown, Cut: t.Cut}
	if standin.IsValid() {
		if err := sum.countExecutions(ctx, report, standin); err != nil {
			return err
		}
	}
	sum.UrgentLate = countUrgentLate(report)
	if err := json.NewEncoder(os.Stdout).Encode(sum); err != nil {
		return fmt.Errorf("bfcommand: print summary: %w", err)
	}
	if f.check && sum.Cut+sum.Duplicates+sum.FalseNotRun+sum.UrgentLate > 0 {
		return errors.New("bfcommand: the load check failed: cut, duplicates, false_not_run and urgent_late must be 0 in the summary")
	}
	return nil
}

// countUrgentLate returns the number of requests of the most urgent flows, those with the
// lowest urgency number, that got no response in time. Flows with a negative urgency, which
// is not sent, are ignored.
func countUrgentLate(report *bfload.Report) int {
	lowest, late := math.MaxInt, 0
	for _, f := range report.Flows {
		if f.Flow.Urgency >= 0 {
			lowest = min(lowest, f.Flow.Urgency)
		}
	}
	for _, f := range report.Flows {
		if f.Flow.Urgency == lowest {
			late += f.Counts.Requests - f.Counts.InTime
		}
	}
	return late
}

// countExecutions sets Duplicates and FalseNotRun from the executions that the stand-in
// recorded.
func (s *loadSummary) countExecutions(ctx context.Context, report *bfload.Report, standin netip.AddrPort) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+standin.String()+"/executions", nil)
	if err != nil {
		return fmt.Errorf("bfcommand: build request: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("bfcommand: request executions from the stand-in, check --standin: %w", err)
	}
	defer resp.Body.Close()
	var e bfstandin.Executions
	if err := json.NewDecoder(resp.Body).Decode(&e); err != nil {
		return fmt.Errorf("bfcommand: decode executions: %w", err)
	}
	s.Duplicates = e.Duplicates
	for _, flow := range report.Flows {
		for _, key := range flow.NotRunKeys {
			if len(e.ByKey[key]) > 0 {
				s.FalseNotRun++
			}
		}
	}
	return nil
}
