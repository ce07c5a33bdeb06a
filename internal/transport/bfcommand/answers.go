package bfcommand

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"briarferry"
	"briarferry/internal/state/bfconfig"
)

// helpRequest is the input that prints the help of a question.
const helpRequest = "?"

// prompter asks the questions of the answers command on out and reads one line of in for
// each answer.
type prompter struct {
	in  *bufio.Scanner
	out io.Writer
}

func answersCommand() *command {
	var out string
	return &command{
		name:     "answers",
		synopsis: "ask about regions, delays, priority classes and services, and write an answers file",
		flags: func(fs *flag.FlagSet) {
			fs.StringVar(&out, "out", "answers.json", "answers file to write; - for standard output")
		},
		run: func(_ context.Context, _ []string) error {
			p := &prompter{in: bufio.NewScanner(os.Stdin), out: os.Stdout}
			a, err := p.run()
			if err != nil {
				return err
			}
			if err := a.Validate().Err(); err != nil {
				return err
			}
			return writeJSON(out, a)
		},
	}
}

func (p *prompter) run() (*bfconfig.Answers, error) {
	fmt.Fprintf(p.out, "Press Enter to accept the value in brackets. Enter %s for help on a question.\n", helpRequest)
	a := &bfconfig.Answers{Format: bfconfig.AnswersFormat}
	for _, ask := range []func(*bfconfig.Answers) error{p.askRegions, p.askDelays, p.askClasses, p.askServices} {
		if err := ask(a); err != nil {
			return nil, err
		}
	}
	return a, nil
}

func (p *prompter) askRegions(a *bfconfig.Answers) error {
	names, err := p.list("Regions", "", "Names of the regions, separated by commas.")
	if err != nil {
		return err
	}
	for _, name := range names {
		domains, err := p.list("Failure domains of "+name, strings.ToLower(name)+"-a,"+strings.ToLower(name)+"-b",
			"Parts of the region that fail independently of each other, such as halls or power feeds.")
		if err != nil {
			return err
		}
		a.Regions = append(a.Regions, bfconfig.RegionAnswer{Name: name, FailureDomains: domains})
	}
	return nil
}

func (p *prompter) askDelays(a *bfconfig.Answers) error {
	questions := []struct {
		text, defaultAnswer, help string
		to                        *briarferry.Duration
	}{
		{"One-way delay between regions", "55ms", "Half of the ping time between two regions, such as 55ms.", &a.Delays.BetweenRegions},
		{"One-way delay between failure domains", "1ms", "Half of the ping time between two failure domains of a region, such as 1ms.", &a.Delays.BetweenFailureDomains},
		{"One-way delay to callers", "8ms", "Half of the ping time from a typical caller, such as 8ms.", &a.Delays.ToCallers},
	}
	for _, q := range questions {
		d, err := p.duration(q.text, q.defaultAnswer, q.help)
		if err != nil {
			return err
		}
		*q.to = d
	}
	n, err := p.number("Bandwidth between two regions, in Mbit/s each way", "4000", "The part of the link's bandwidth that the system may use.")
	a.LinkMbit = n
	return err
}

func (p *prompter) askClasses(a *bfconfig.Answers) error {
	names, err := p.list("Priority classes, most urgent first", "urgent,normal,batch", "Names of the classes, separated by commas. Requests of an earlier class are served first.")
	if err != nil {
		return err
	}
	for i, name := range names {
		target, err := p.duration("Target response time of class "+name, []string{"1s", "3s", "20s", "60s"}[min(i, 3)],
			"A response that takes longer than this is of no use to the caller.")
		if err != nil {
			return err
		}
		a.Classes = append(a.Classes, bfconfig.ClassAnswer{Name: name, Target: target})
	}
	return nil
}

func (p *prompter) askServices(a *bfconfig.Answers) error {
	names, err := p.list("Services", "", "Names of the services, separated by commas.")
	if err != nil {
		return err
	}
	for _, name := range names {
		s, err := p.service(name, a.Classes[0].Name)
		if err != nil {
			return err
		}
		a.Services = append(a.Services, s)
	}
	return nil
}

func (p *prompter) service(name, class string) (bfconfig.ServiceAnswer, error) {
	s := bfconfig.ServiceAnswer{Name: name}
	var err error
	if s.Class, err = p.ask("Priority class of "+name, class, "One of the priority classes above."); err != nil {
		return s, err
	}
	idempotent, err := p.ask("May requests to "+name+" run twice without harm (yes or no)", "no",
		"Answer no for orders and payments: such requests then need an idempotency key and run at most once.")
	if err != nil {
		return s, err
	}
	s.Idempotent = idempotent == "yes"
	if s.Servers, err = p.number("Number of backend servers of "+name, "12", "The usual number. Backend servers announce themselves, so the actual number may differ."); err != nil {
		return s, err
	}
	if s.Slots, err = p.number("Slots of each backend server", "9", "Number of requests that one backend server can run at the same time."); err != nil {
		return s, err
	}
	s.ExpectedLatency, err = p.duration("Usual duration of a request", "100ms", "Time that a request occupies a slot, such as 100ms.")
	return s, err
}

func (p *prompter) ask(question, defaultAnswer, help string) (string, error) {
	for {
		fmt.Fprintf(p.out, "%s [%s]: ", question, defaultAnswer)
		if !p.in.Scan() {
			return "", fmt.Errorf("bfcommand: standard input ended before an answer to %q", question)
		}
		switch text := strings.TrimSpace(p.in.Text()); {
		case text == helpRequest:
			fmt.Fprintln(p.out, help)
		case text != "":
			return text, nil
		case defaultAnswer != "":
			return defaultAnswer, nil
		}
	}
}

// list asks until the answer has at least one name.
func (p *prompter) list(question, defaultAnswer, help string) ([]string, error) {
	for {
		text, err := p.ask(question, defaultAnswer, help)
		if err != nil {
			return nil, err
		}
		if names := splitList(text); len(names) > 0 {
			return names, nil
		}
		fmt.Fprintln(p.out, "Enter at least one name.")
	}
}

func (p *prompter) number(question, defaultAnswer, help string) (int, error) {
	for {
		text, err := p.ask(question, defaultAnswer, help)
		if err != nil {
			return 0, err
		}
		if n, err := strconv.Atoi(text); err == nil {
			return n, nil
		}
		fmt.Fprintln(p.out, "Enter a whole number, such as 12.")
	}
}

func (p *prompter) duration(question, defaultAnswer, help string) (briarferry.Duration, error) {
	for {
		text, err := p.ask(question, defaultAnswer, help)
		if err != nil {
			return 0, err
		}
		if d, err := time.ParseDuration(text); err == nil {
			return briarferry.Duration(d), nil
		}
		fmt.Fprintln(p.out, "Enter a duration with a unit, such as 250ms or 2s.")
	}
}

// writeJSON writes v as indented JSON to the file at path, or to standard output if path is
// "-".
func writeJSON(path string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return fmt.Errorf("bfcommand: encode JSON: %w", err)
	}
	if path == "-" {
		_, err = fmt.Println(string(data))
		return err
	}
	if err := os.WriteFile(path, append(data, '\n'), 0o644); err != nil {
		return fmt.Errorf("bfcommand: write JSON: %w", err)
	}
	return nil
}
