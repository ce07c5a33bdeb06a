package bfreport

import (
	"flag"
	"fmt"
	"io"
	"os"

	"briarferry/internal/transport/bfexplain"
)

const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

// Main draws the logs in the files that args name, or on standard input, and returns the
// exit code.
func Main(args []string, in io.Reader, messages io.Writer) int {
	fs := flag.NewFlagSet(args[0], flag.ContinueOnError)
	fs.SetOutput(messages)
	out := fs.String("out", "report.svg", "SVG file to write")
	fs.Usage = func() {
		fmt.Fprintf(messages, "%s: draw the logs of a run (files as arguments, or standard input)\n", args[0])
		fs.PrintDefaults()
	}
	if err := fs.Parse(args[1:]); err != nil {
		return exitUsage
	}
	lines, err := readAll(fs.Args(), in)
	if err == nil && len(lines) == 0 {
		err = fmt.Errorf("bfreport: no log lines")
	}
	if err != nil {
		fmt.Fprintln(messages, err)
		return exitUsage
	}
	if err := drawTo(*out, NewSeries(lines)); err != nil {
		fmt.Fprintln(messages, err)
		return exitFailed
	}
	return exitDone
}

func readAll(names []string, in io.Reader) ([]bfexplain.Line, error) {
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

func drawTo(path string, s *Series) error {
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
