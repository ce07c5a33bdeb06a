package bfconfig

import (
	"encoding/json"
	"fmt"
	"sort"

	"briarferry"
)

// Difference is a field in which two configurations differ. Place is the path of the
// field.
type Difference struct {
	Place string `json:"place"`
	From  string `json:"from"`
	To    string `json:"to"`
}

// Diff returns the fields in which two configurations differ, apart from the version.
// List items that have a name are matched by name, so that an inserted item does not make
// the items after it differ.
func Diff(from, to *briarferry.Config) ([]Difference, error) {
	a, err := flatten(from)
	if err != nil {
		return nil, err
	}
	b, err := flatten(to)
	if err != nil {
		return nil, err
	}
	var out []Difference
	for path, value := range a {
		if b[path] != value {
			out = append(out, Difference{Place: path, From: value, To: b[path]})
		}
	}
	for path, value := range b {
		if _, ok := a[path]; !ok {
			out = append(out, Difference{Place: path, To: value})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Place < out[j].Place })
	return out, nil
}

// flatten returns the fields of the configuration as text by path.
func flatten(cfg *briarferry.Config) (map[string]string, error) {
	data, err := json.Marshal(cfg)
	if err != nil {
		return nil, fmt.Errorf("bfconfig: encode configuration: %w", err)
	}
	var tree map[string]any
	if err := json.Unmarshal(data, &tree); err != nil {
		return nil, fmt.Errorf("bfconfig: decode configuration: %w", err)
	}
	delete(tree, "version")
	out := map[string]string{}
	collectFields(out, "", tree)
	return out, nil
}

func collectFields(out map[string]string, path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for key, item := range v {
			collectFields(out, joinPath(path, key), item)
		}
	case []any:
		for i, item := range v {
			collectFields(out, fmt.Sprintf("%s[%s]", path, itemName(i, item)), item)
		}
	case nil:
	default:
		out[path] = fmt.Sprint(v)
	}
}

// itemName returns the name of a list item, or its index if it has none.
func itemName(i int, item any) string {
	if m, ok := item.(map[string]any); ok {
		if name, ok := m["name"].(string); ok {
			return name
		}
	}
	return fmt.Sprint(i)
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
