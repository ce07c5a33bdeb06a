package bfapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"

	"briarferry"
)

// DecodeJSON decodes exactly one JSON document and validates it. Its errors are
// briarferry.Findings; an unknown field is a finding.
func DecodeJSON(data []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return decodeFinding(err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return briarferry.Findings{{Place: "body", Message: "must hold one document"}}
	}
	if validator, ok := v.(briarferry.Validator); ok {
		return validator.Validate().Err()
	}
	return nil
}

// DecodeBody decodes a request body of at most MaxControlBodyBytes as DecodeJSON does.
func DecodeBody(w http.ResponseWriter, r *http.Request, v any) error {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxControlBodyBytes))
	if err != nil {
		return briarferry.Findings{{Place: "body", Message: "could not be read: " + err.Error()}}
	}
	return DecodeJSON(data, v)
}

func decodeFinding(err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return briarferry.Findings{{Place: typeErr.Field, Message: "must be of type " + typeErr.Type.String()}}
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return briarferry.Findings{{Place: strings.Trim(name, `"`), Message: "is not a known field"}}
	}
	return briarferry.Findings{{Place: "body", Message: err.Error()}}
}
