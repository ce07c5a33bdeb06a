package bfcommand

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"text/tabwriter"

	"briarferry"
	"briarferry/internal/protocol/bfapi"
	"briarferry/internal/state/bfconfig"
	"briarferry/platform"
)

func generateCommand() *command {
	var answers, out string
	var explain bool
	return &command{
		name:     "generate",
		synopsis: "make the configuration from an answers file and explain derived values",
		flags: func(fs *flag.FlagSet) {
			fs.StringVar(&answers, "answers", "answers.json", "answers file")
			fs.StringVar(&out, "out", "-", "file to write, - for standard output")
			fs.BoolVar(&explain, "explain", false, "explain each derived value on standard error")
		},
		run: func(_ context.Context, _ []string) error {
			cfg, explanations, err := generateFrom(answers)
			if err != nil {
				return err
			}
			if explain {
				printExplanations(explanations)
			}
			return writeDocument(out, cfg)
		},
	}
}

func generateFrom(path string) (*briarferry.Config, []bfconfig.Explanation, error) {
	var v values
	a := &bfconfig.Answers{}
	v.document("answers", path, a)
	if err := v.findings.Err(); err != nil {
		return nil, nil, err
	}
	return bfconfig.Generate(a)
}

func printExplanations(list []bfconfig.Explanation) {
	t := tabwriter.NewWriter(os.Stderr, 0, 0, 2, ' ', 0)
	for _, e := range list {
		fmt.Fprintf(t, "%s\t%s\t%s\n", e.Place, e.Value, e.Reason)
	}
	t.Flush()
}

func checkCommand() *command {
	return &command{
		name:     "check",
		synopsis: "check answers, configurations, route tables or platform settings (.toml) and report every finding",
		flags:    func(*flag.FlagSet) {},
		run: func(_ context.Context, args []string) error {
			var v values
			if len(args) == 0 {
				v.findings.Add("arguments", "must name at least one file")
			}
			for _, path := range args {
				v.file(path)
			}
			return v.findings.Err()
		},
	}
}

// file checks a file by what it holds: platform settings are TOML, answers name their
// format, and route tables list hosts.
func (v *values) file(path string) {
	data, err := os.ReadFile(path)
	if err != nil {
		v.findings.Add("arguments", "%v", err)
		return
	}
	var head struct {
		Format string          `json:"format"`
		Hosts  json.RawMessage `json:"hosts"`
	}
	known := json.Unmarshal(data, &head) == nil
	switch {
	case filepath.Ext(path) == ".toml":
		_, err = platform.ParseSettings(path, data)
	case known && head.Format != "":
		err = bfapi.DecodeJSON(data, &bfconfig.Answers{})
	case known && head.Hosts != nil:
		_, err = platform.ParseConfig(data)
	default:
		err = bfapi.DecodeJSON(data, &briarferry.Config{})
	}
	v.merge(path, err)
}
