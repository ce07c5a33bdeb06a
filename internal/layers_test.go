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

// layers maps the folders of internal to their layers, from the lowest to the highest.
var layers = map[string]int{"state": 0, "coordination": 1, "protocol": 2, "transport": 3}

// TestLayerImports guards against a package that imports a package of a higher layer.
func TestLayerImports(t *testing.T) {
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
				t.Errorf("%s imports %s of a higher layer", path, name)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
