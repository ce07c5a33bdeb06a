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

const helpAnswer = "?"

// interview asks one question at a time.
type interview struct {
	in  *bufio.Scanner
	out io.Writer
}

func answersCommand() *command {
	var out string
	return &command{
		name:     "answers",
		synopsis: "ask about services, regions, classes and limits, and write an answers file",
		flags: func(fs *flag.FlagSet) {
			fs.StringVar(&out, "out", "answers.json", "file to write")
		},
		run: func(_ context.Context, _ []string) error {
			iv := &interview{in: bufio.NewScanner(os.Stdin), out: os.Stdout}
			a, err := iv.run()
			if err != nil {
				return err
			}
			if err := a.Validate().Err(); err != nil {
				return err
			}
			return writeDocument(out, a)
		},
	}
}

func (iv *interview) run() (*bfconfig.Answers, error) {
	fmt.Fprintf(iv.out, "Enter takes the value in brackets; %s explains the question.\n", helpAnswer)
	a := &bfconfig.Answers{Format: bfconfig.AnswersFormat}
	for _, part := range []func(*bfconfig.Answers) error{iv.askRegions, iv.askDelays, iv.askClasses, iv.askServices} {
		if err := part(a); err != nil {
			return nil, err
		}
	}
	return a, nil
}

func (iv *interview) askRegions(a *bfconfig.Answers) error {
	names, err := iv.list("Regions", "", "Names of the regions, comma separated.")
	if err != nil {
		return err
	}
	for _, name := range names {
		domains, err := iv.list("Failure domains of "+name, strings.ToLower(name)+"-a,"+strings.ToLower(name)+"-b",
			"Parts of the region that fail apart from each other, such as halls or power feeds.")
		if err != nil {
			return err
		}
		a.Regions = append(a.Regions, bfconfig.RegionAnswer{Name: name, FailureDomains: domains})
	}
	return nil
}

func (iv *interview) askDelays(a *bfconfig.Answers) error {
	questions := []struct {
		text, initial, help string
		to                  *briarferry.Duration
	}{
		{"One-way delay between regions", "55ms", "Half of a ping between two regions.", &a.Delays.BetweenRegions},
		{"One-way delay between failure domains", "1ms", "Half of a ping inside a region.", &a.Delays.BetweenFailureDomains},
		{"One-way delay to callers", "8ms", "Half of a ping from a usual caller.", &a.Delays.ToCallers},
	}
	for _, q := range questions {
		d, err := iv.duration(q.text, q.initial, q.help)
		if err != nil {
			return err
		}
		*q.to = d
	}
	n, err := iv.number("Link between two regions, in Mbit/s each way", "4000", "What the system may use of the link.")
	a.LinkMbit = n
	return err
}

func (iv *interview) askClasses(a *bfconfig.Answers) error {
	names, err := iv.list("Priority classes, most urgent first", "urgent,normal,batch", "Work of an earlier class is served first.")
	if err != nil {
		return err
	}
	for i, name := range names {
		target, err := iv.duration("Target time of "+name, []string{"1s", "3s", "20s", "60s"}[min(i, 3)],
			"An answer later than this is of no use to the caller.")
		if err != nil {
			return err
		}
		a.Classes = append(a.Classes, bfconfig.ClassAnswer{Name: name, Target: target})
	}
	return nil
}

func (iv *interview) askServices(a *bfconfig.Answers) error {
	names, err := iv.list("Services", "", "Names of the services, comma separated.")
	if err != nil {
		return err
	}
	for _, name := range names {
		s, err := iv.service(name, a.Classes[0].Name)
		if err != nil {
			return err
		}
		a.Services = append(a.Services, s)
	}
	return nil
}

func (iv *interview) service(name, class string) (bfconfig.ServiceAnswer, error) {
	s := bfconfig.ServiceAnswer{Name: name}
	var err error
	if s.Class, err = iv.ask("Class of "+name, class, "One of the priority classes above."); err != nil {
		return s, err
	}
	yes, err := iv.ask("May requests to "+name+" run twice without harm (yes or no)", "no",
		"Orders and payments: no. Such requests need an idempotency key and run at most once.")
	if err != nil {
		return s, err
	}
	s.Idempotent = yes == "yes"
	if s.Servers, err = iv.number("Backend servers of "+name, "12", "The usual number; they announce themselves."); err != nil {
		return s, err
	}
	if s.Slots, err = iv.number("Slots of each", "9", "Requests that one server can run at a time."); err != nil {
		return s, err
	}
	s.ExpectedLatency, err = iv.duration("Usual time of a request", "100ms", "How long a request holds a slot.")
	return s, err
}

func (iv *interview) ask(question, initial, help string) (string, error) {
	for {
		fmt.Fprintf(iv.out, "%s [%s]: ", question, initial)
		if !iv.in.Scan() {
			return "", fmt.Errorf("bfcommand: the answers ended at %q", question)
		}
		switch text := strings.TrimSpace(iv.in.Text()); {
		case text == helpAnswer:
			fmt.Fprintln(iv.out, help)
		case text != "":
			return text, nil
		case initial != "":
			return initial, nil
		}
	}
}

func (iv *interview) list(question, initial, help string) ([]string, error) {
	text, err := iv.ask(question, initial, help)
	return splitList(text), err
}

func (iv *interview) number(question, initial, help string) (int, error) {
	for {
		text, err := iv.ask(question, initial, help)
		if err != nil {
			return 0, err
		}
		if n, err := strconv.Atoi(text); err == nil {
			return n, nil
		}
		fmt.Fprintln(iv.out, "Please give a whole number.")
	}
}

func (iv *interview) duration(question, initial, help string) (briarferry.Duration, error) {
	for {
		text, err := iv.ask(question, initial, help)
		if err != nil {
			return 0, err
		}
		if d, err := time.ParseDuration(text); err == nil {
			return briarferry.Duration(d), nil
		}
		fmt.Fprintln(iv.out, "Please give a time such as 250ms or 2s.")
	}
}

func writeDocument(path string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return fmt.Errorf("bfcommand: encode document: %w", err)
	}
	if path == "-" {
		_, err = fmt.Println(string(data))
		return err
	}
	if err := os.WriteFile(path, append(data, '\n'), 0o644); err != nil {
		return fmt.Errorf("bfcommand: write document: %w", err)
	}
	return nil
}
