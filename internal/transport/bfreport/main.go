package bfreport

import (
	"flag"
	"fmt"
	"io"
	"os"

	"briarferry/internal/transport/bfexplain"
)

const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// Main draws the logs in the files that args name, or from in if there are none, to an SVG
// file and returns the exit code. args[0] is the name of the program; usage and errors go to
// messages.
func Main(args []string, in io.Reader, messages io.Writer) int {
	fs := flag.NewFlagSet(args[0], flag.ContinueOnError)
	fs.SetOutput(messages)
	out := fs.String("out", "report.svg", "SVG file to write")
	fs.Usage = func() {
		fmt.Fprintf(messages, "%s: draw latency, outcomes and events over time from log files (arguments) or standard input\n", args[0])
		fs.PrintDefaults()
	}
	if err := fs.Parse(args[1:]); err != nil {
		return exitUsage
	}
	lines, err := readLogs(fs.Args(), in)
	if err == nil && len(lines) == 0 {
		err = fmt.Errorf("bfreport: the input has no log lines in JSON format with a time")
	}
	if err != nil {
		fmt.Fprintln(messages, err)
		return exitUsage
	}
	if err := writeSVG(*out, NewSeries(lines)); err != nil {
		fmt.Fprintln(messages, err)
		return exitFailed
	}
	return exitOK
}

func readLogs(names []string, in io.Reader) ([]bfexplain.Line, error) {
	if len(names) == 0 {
		return bfexplain.ReadLines(in)
	}
	var lines []bfexplain.Line
	for _, name := range names {
		f, err := os.Open(name)
		if err != nil {
			return nil, fmt.Errorf("bfreport: %w", err)
		}
		got, err := bfexplain.ReadLines(f)
		_ = f.Close()
		if err != nil {
			return nil, err
		}
		lines = append(lines, got...)
	}
	return lines, nil
}

func writeSVG(path string, s *Series) error {
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("bfreport: %w", err)
	}
	if err := Draw(f, s); err != nil {
		_ = f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return fmt.Errorf("bfreport: %w", err)
	}
	return nil
}
