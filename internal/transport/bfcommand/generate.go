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
		synopsis: "generate the configuration (JSON) from an answers file",
		flags: func(fs *flag.FlagSet) {
			fs.StringVar(&answers, "answers", "answers.json", "answers file to read")
			fs.StringVar(&out, "out", "-", "configuration file to write; - for standard output")
			fs.BoolVar(&explain, "explain", false, "print each derived value with its reason on standard error")
		},
		run: func(_ context.Context, _ []string) error {
			cfg, explanations, err := generateFromFile(answers)
			if err != nil {
				return err
			}
			if explain {
				printExplanations(explanations)
			}
			return writeJSON(out, cfg)
		},
	}
}

func generateFromFile(path string) (*briarferry.Config, []bfconfig.Explanation, error) {
	var v validator
	a := &bfconfig.Answers{}
	v.jsonFile("answers", path, a)
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
		synopsis: "validate answers files, configurations, route tables and platform settings (.toml) given as arguments",
		flags:    func(*flag.FlagSet) {},
		run: func(_ context.Context, args []string) error {
			var v validator
			if len(args) == 0 {
				v.findings.Add("arguments", "must name at least one file to check")
			}
			for _, path := range args {
				v.checkFile(path)
			}
			return v.findings.Err()
		},
	}
}

// checkFile validates a file according to its type: platform settings have the extension
// .toml, answers files have a format field, route tables have a hosts field, and any other
// file is a configuration.
func (v *validator) checkFile(path string) {
	data, err := os.ReadFile(path)
	if err != nil {
		v.findings.Add("arguments", "must name readable files: %v", err)
		return
	}
	var probe struct {
		Format string          `json:"format"`
		Hosts  json.RawMessage `json:"hosts"`
	}
	isJSON := json.Unmarshal(data, &probe) == nil
	switch {
	case filepath.Ext(path) == ".toml":
		_, err = platform.ParseSettings(path, data)
	case isJSON && probe.Format != "":
		err = bfapi.DecodeJSON(data, &bfconfig.Answers{})
	case isJSON && probe.Hosts != nil:
		_, err = platform.ParseConfig(data, briarferry.NewKeySalt())
	default:
		err = bfapi.DecodeJSON(data, &briarferry.Config{})
	}
	v.addFileErrors(path, err)
}
