package internal

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

var layers = map[string]int{"state": 0, "coordination": 1, "protocol": 2, "transport": 3}

// TestImportsPointDown guards against a lower layer that depends on a higher one.
func TestImportsPointDown(t *testing.T) {
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		own, ok := layers[strings.Split(path, string(filepath.Separator))[0]]
		if !ok {
			return nil
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, spec := range f.Imports {
			name, _ := strconv.Unquote(spec.Path.Value)
			rest, found := strings.CutPrefix(name, "briarferry/internal/")
			if !found {
				continue
			}
			if layers[strings.Split(rest, "/")[0]] > own {
				t.Errorf("%s imports %s, a higher layer", path, name)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
