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

type explainFlags struct {
	request, from, to string
	around            time.Duration
}

func explainCommand() *command {
	var f explainFlags
	return &command{
		name:     "explain",
		synopsis: "print the log lines about a request or of a time range, from log files (arguments) or standard input",
		flags:    f.register,
		run:      f.run,
	}
}

func (f *explainFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&f.request, "request", "", "ID of the request, as in the log field request_id")
	fs.DurationVar(&f.around, "around", 3*time.Second, "with --request, also print lines about other events, from this long before the request starts to this long after it ends")
	fs.StringVar(&f.from, "from", "", "start of the time range (RFC 3339); required without --request")
	fs.StringVar(&f.to, "to", "", "end of the time range (RFC 3339); required without --request")
}

func (f *explainFlags) run(_ context.Context, args []string) error {
	var v validator
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
