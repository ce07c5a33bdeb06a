package bfconfig

import (
	"encoding/json"
	"fmt"
	"sort"

	"briarferry"
)

// Difference is one place where two configurations differ.
type Difference struct {
	Place string `json:"place"`
	From  string `json:"from"`
	To    string `json:"to"`
}

// Diff lists the places where two configurations differ, the version left out.
// Items with a name are compared by name, so that a new one shifts nothing.
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
	for place, value := range a {
		if b[place] != value {
			out = append(out, Difference{Place: place, From: value, To: b[place]})
		}
	}
	for place, value := range b {
		if _, ok := a[place]; !ok {
			out = append(out, Difference{Place: place, To: value})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Place < out[j].Place })
	return out, nil
}

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
	walk(out, "", tree)
	return out, nil
}

func walk(out map[string]string, place string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for key, item := range v {
			walk(out, join(place, key), item)
		}
	case []any:
		for i, item := range v {
			walk(out, fmt.Sprintf("%s[%s]", place, itemName(i, item)), item)
		}
	case nil:
	default:
		out[place] = fmt.Sprint(v)
	}
}

func itemName(i int, item any) string {
	if m, ok := item.(map[string]any); ok {
		if name, ok := m["name"].(string); ok {
			return name
		}
	}
	return fmt.Sprint(i)
}

func join(place, key string) string {
	if place == "" {
		return key
	}
	return place + "." + key
}
