package bfcommand

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// TestKeysCommand guards against keys that are easy to guess or not fit for a header, against
// a list that shows them, and against a withdrawal that leaves the key in use.
func TestKeysCommand(t *testing.T) {
	run := func(args ...string) string {
		t.Helper()
		var out strings.Builder
		if err := runKeys(&out, args); err != nil {
			t.Fatalf("%v: %v", args, err)
		}
		return strings.TrimSpace(out.String())
	}
	key, other := run("new"), run("new")
	if !regexp.MustCompile(`^[a-z2-7]{32}$`).MatchString(key) || key == other {
		t.Fatalf("keys %q and %q", key, other)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(`{"version":"000000ff","tenants":[{"name":"north","apiKeys":["`+key+`","`+other+`"]}]}`), 0o600); err != nil {
		t.Fatal(err)
	}
	list := run("list", path)
	fields := strings.Fields(list)
	if len(fields) != 4 || fields[0] != "north" || strings.Contains(list, key) {
		t.Fatalf("list: %q", list)
	}
	if out := run("withdraw", path, fields[1]); strings.Contains(out, key) || !strings.Contains(out, other) || !strings.Contains(out, `"00000100"`) {
		t.Errorf("after the withdrawal: %s", out)
	}
	for _, args := range [][]string{nil, {"newer"}, {"list"}, {"list", path + "x"}, {"withdraw", path}, {"withdraw", path, "00"}} {
		var out strings.Builder
		if err := runKeys(&out, args); err == nil || out.Len() > 0 || strings.Contains(err.Error(), other) {
			t.Errorf("%v: %v, output %q", args, err, out.String())
		}
	}
}
