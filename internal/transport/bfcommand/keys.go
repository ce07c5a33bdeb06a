package bfcommand

import (
	"context"
	"crypto/rand"
	"encoding/base32"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"briarferry"
	"briarferry/platform"
)

// organisationKeyBytes is the size of an organisation's random key.
const organisationKeyBytes = 20

func keysCommand() *command {
	return &command{
		name:     "keys",
		synopsis: "organisations' keys: \"new\" prints a random key, \"list FILE\" the organisations of a configuration with a short ID of each key, \"withdraw FILE ID\" the configuration without that key, to be applied by the operator",
		flags:    func(*flag.FlagSet) {},
		run:      func(_ context.Context, args []string) error { return runKeys(os.Stdout, args) },
	}
}

func runKeys(w io.Writer, args []string) error {
	action := strings.Join(args[:min(1, len(args))], "")
	switch {
	case action == "new" && len(args) == 1:
		_, err := fmt.Fprintln(w, newOrganisationKey())
		return err
	case action == "list" && len(args) == 2:
		return listKeys(w, args[1])
	case action == "withdraw" && len(args) == 3:
		return withdrawKey(w, args[1], args[2])
	}
	return briarferry.Findings{{Place: "arguments", Message: "must be: new, list FILE, or withdraw FILE ID"}}
}

// newOrganisationKey returns a random key in base 32, lower case.
func newOrganisationKey() string {
	var b [organisationKeyBytes]byte
	_, _ = rand.Read(b[:])
	return strings.ToLower(base32.StdEncoding.EncodeToString(b[:]))
}

func listKeys(w io.Writer, path string) error {
	data, err := readConfigFile(path)
	if err != nil {
		return err
	}
	keys, err := platform.ListKeys(data)
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, k := range keys {
		fmt.Fprintf(table, "%s\t%s\n", k.Tenant, k.ShortID)
	}
	return table.Flush()
}

func withdrawKey(w io.Writer, path, shortID string) error {
	data, err := readConfigFile(path)
	if err != nil {
		return err
	}
	out, err := platform.WithdrawKey(data, shortID)
	if err != nil {
		return err
	}
	_, err = w.Write(out)
	return err
}

func readConfigFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, briarferry.Findings{{Place: "arguments", Message: fmt.Sprintf("must name a readable file: %v", err)}}
	}
	return data, nil
}
