package bfcommand

import (
	"context"
	"errors"
	"flag"
	"io"
	"os"
	"time"

	"briarferry"
	"briarferry/internal/transport/bfexplain"
)

// explainFlags are the settings of the explain command as text.
type explainFlags struct {
	request, from, to string
	around            time.Duration
}

func explainCommand() *command {
	var f explainFlags
	return &command{
		name:     "explain",
		synopsis: "print what the logs tell of a request, or of a span of time (files as arguments, or standard input)",
		flags:    f.register,
		run:      f.run,
	}
}

func (f *explainFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&f.request, "request", "", "id of the request")
	fs.DurationVar(&f.around, "around", 3*time.Second, "how far before and after the request changes of belief are shown")
	fs.StringVar(&f.from, "from", "", "start of a span (RFC 3339)")
	fs.StringVar(&f.to, "to", "", "end of a span (RFC 3339)")
}

func (f *explainFlags) run(_ context.Context, args []string) error {
	var v values
	q := bfexplain.Query{RequestID: f.request, Margin: f.around}
	if f.request == "" {
		q.From, q.To = v.time("from", f.from), v.time("to", f.to)
	}
	if err := v.findings.Err(); err != nil {
		return err
	}
	inputs := []io.Reader{os.Stdin}
	if len(args) > 0 {
		inputs = nil
	}
	for _, name := range args {
		file, err := os.Open(name)
		if err != nil {
			return briarferry.Findings{{Place: name, Message: errors.Unwrap(err).Error()}}
		}
		defer func() { _ = file.Close() }()
		inputs = append(inputs, file)
	}
	return bfexplain.Explain(os.Stdout, q, inputs...)
}
