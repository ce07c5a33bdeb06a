package bfcommand

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestPrompter guards against answers that are stored in the wrong field, also after help
// was asked for and after an invalid answer.
func TestPrompter(t *testing.T) {
	lines := []string{"Recife,Salvador", "", "", "10ms", "", "", "?", "", "", "", "", "", "quotes", "?", "urgent", "yes", "20", "many", "9", ""}
	p := &prompter{in: bufio.NewScanner(strings.NewReader(strings.Join(lines, "\n") + "\n")), out: io.Discard}
	a, err := p.run()
	if err != nil {
		t.Fatal(err)
	}
	if err := a.Validate().Err(); err != nil {
		t.Fatal(err)
	}
	s := a.Services[0]
	if len(a.Regions) != 2 || a.Delays.BetweenRegions.Std().Milliseconds() != 10 || s.Slots != 9 || s.Servers != 20 || !s.Idempotent {
		t.Errorf("wrong answers: %+v", a)
	}
}

// TestPrompterEmptyList guards against a list without a name, such as a comma alone, that ends
// the command with a panic.
func TestPrompterEmptyList(t *testing.T) {
	lines := []string{"Recife,Salvador", "", "", "10ms", "", "", "", ",", " , ,", "urgent", "", ",", "quotes", "", "yes", "20", "9", ""}
	var out strings.Builder
	p := &prompter{in: bufio.NewScanner(strings.NewReader(strings.Join(lines, "\n") + "\n")), out: &out}
	a, err := p.run()
	if err != nil || len(a.Classes) != 1 || len(a.Services) != 1 {
		t.Errorf("%+v, %v; want one class and one service", a, err)
	}
	if got := strings.Count(out.String(), "at least one name"); got != 3 {
		t.Errorf("asked again %d times, want 3:\n%s", got, out.String())
	}
}

// TestServeReportsAllFindings guards against invalid settings that are reported one at a
// time, and against a public HTTP address without a token.
func TestServeReportsAllFindings(t *testing.T) {
	public := serveFlags{name: "a", region: "b", failureDomain: "c", http: "192.0.2.1:80", rpc: "127.0.0.1:1", gossip: "127.0.0.1:2", logLevel: "info", drainFor: 1, security: securityFlags{system: "s"}}
	if _, err := public.check(); err == nil || !strings.Contains(err.Error(), "--token") {
		t.Errorf("no finding for a public HTTP address without a token: %v", err)
	}
	f := serveFlags{name: "a b", region: "", http: "localhost", rpc: "127.0.0.1:1", gossip: "127.0.0.1:2", logLevel: "loud"}
	_, err := f.check()
	if err == nil {
		t.Fatal("no findings")
	}
	for _, want := range []string{"--name", "--region", "--failure-domain", "--http", "--log-level", "--drain-for"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("no finding for %s in:\n%v", want, err)
		}
	}
}

// TestExitCodes guards against exit codes that differ from the documented ones.
func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	bad := file("bad.json", `{"format":"briarferry_answers/1","colour":1}`)
	const settings = "[self]\nnode = \"e1\"\nip = \"10.0.0.1\"\nzone = \"a\"\nregion = \"r\"\n[network]\ninternalPorts = [%s]\n"
	const routes = `{"version":"00000001","services":[{"name":"s","maxConnections":4}],"hosts":[{"host":"h","paths":[{"name":"p","pathPrefix":"%s","kind":"idempotent","timeoutS":1,"service":"s"}]}]}`
	tests := []struct {
		args []string
		want int
	}{
		{[]string{"check", "../../../examples/mantas.answers.json"}, 0},
		{[]string{"check", bad}, 2},
		{[]string{"check"}, 2},
		{[]string{"check", file("good.toml", fmt.Sprintf(settings, "7540, 7555"))}, 0},
		{[]string{"check", file("bad.toml", fmt.Sprintf(settings, "7540"))}, 2},
		{[]string{"check", file("good-routes.json", fmt.Sprintf(routes, "/a/"))}, 0},
		{[]string{"check", file("bad-routes.json", fmt.Sprintf(routes, "a"))}, 2},
		{[]string{"check", filepath.Join(dir, "none.toml")}, 2},
		{[]string{"serve", "--http", "nowhere"}, 2},
		{[]string{"lookup", "--service", "x", "--entry", "127.0.0.1:1"}, 1},
	}
	for _, test := range tests {
		if got := Main(append([]string{"briarferry"}, test.args...)); got != test.want {
			t.Errorf("%v: exit code %d, want %d", test.args, got, test.want)
		}
	}
}
