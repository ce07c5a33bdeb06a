package bfentry

import (
	"context"
	"crypto/subtle"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"briarferry"
	"briarferry/internal/protocol/bfapi"
	"briarferry/internal/state/bfcodec"
	"briarferry/internal/state/bfmachine"
)

const (
	configReadTimeout = 5 * time.Second
	// changeTimeout exceeds the sum of an election (2 s), the leases of an earlier leader and
	// of a frozen entry (3.3 s), and one resend.
	changeTimeout = 12 * time.Second
	// maxChangeBytes keeps a change below the 1 MB limit of the Raft log on commands.
	maxChangeBytes = 900 << 10
)

type (
	// ControlGroup reads and changes the state of the control group for the operator API.
	ControlGroup interface {
		// Config returns the newest committed configuration state.
		Config(ctx context.Context) (*bfmachine.ConfigState, error)
		// Change applies a change and returns once it is in force. It may be repeated with
		// the same idempotency key.
		Change(ctx context.Context, op bfmachine.Op) (bfmachine.OpResult, error)
	}

	// OperatorAPI is the HTTP API for operators. Its fields must be set before use.
	OperatorAPI struct {
		Control ControlGroup
		// Token authorizes changes. If it is empty and Tokens returns none, changes need no
		// token.
		Token string
		// Tokens returns further tokens that authorize changes; it may be nil.
		Tokens func() []string
	}
)

// Handler returns the handler for the paths of the API.
func (o *OperatorAPI) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+bfapi.PathConfig, o.getConfig)
	mux.HandleFunc("PUT "+bfapi.PathConfig, o.authorized(o.putConfig))
	mux.HandleFunc("GET "+bfapi.PathDrains, o.listDrains)
	mux.HandleFunc("POST "+bfapi.PathDrains, o.authorized(o.addDrain))
	mux.HandleFunc("DELETE "+bfapi.PathDrains+"/{id}", o.authorized(o.removeDrain))
	return mux
}

// authorized wraps a handler so that it requires a valid token.
func (o *OperatorAPI) authorized(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !o.acceptsToken(token, ok) {
			w.Header().Set("WWW-Authenticate", "Bearer")
			bfapi.WriteProblem(w, bfapi.Problem{Status: http.StatusUnauthorized, Detail: "changes need the operators' token"}, 0)
			return
		}
		next(w, r)
	}
}

// acceptsToken reports whether the token authorizes changes; given is false if the request
// has no token. It compares with every token, each in constant time.
func (o *OperatorAPI) acceptsToken(token string, given bool) bool {
	var tokens []string
	if o.Token != "" {
		tokens = append(tokens, o.Token)
	}
	if o.Tokens != nil {
		tokens = append(tokens, o.Tokens()...)
	}
	matches := 0
	for _, t := range tokens {
		matches += subtle.ConstantTimeCompare([]byte(token), []byte(t))
	}
	return len(tokens) == 0 || given && matches > 0
}

func (o *OperatorAPI) getConfig(w http.ResponseWriter, r *http.Request) {
	s, ok := o.readConfigState(w, r)
	if !ok {
		return
	}
	cfg := s.Config
	if cfg == nil {
		cfg = &briarferry.Config{}
	}
	w.Header().Set(bfapi.HeaderETag, formatETag(cfg.Version))
	bfapi.WriteJSON(w, http.StatusOK, cfg)
}

func (o *OperatorAPI) listDrains(w http.ResponseWriter, r *http.Request) {
	if s, ok := o.readConfigState(w, r); ok {
		drains := append([]briarferry.Drain{}, s.Drains...)
		bfapi.WriteJSON(w, http.StatusOK, map[string][]briarferry.Drain{"drains": drains})
	}
}

// readConfigState returns the committed configuration state. If it can't be read, it answers
// the request and returns false.
func (o *OperatorAPI) readConfigState(w http.ResponseWriter, r *http.Request) (*bfmachine.ConfigState, bool) {
	ctx, cancel := context.WithTimeout(r.Context(), configReadTimeout)
	defer cancel()
	s, err := o.Control.Config(ctx)
	if err != nil {
		writeUnavailable(w, "the control group does not answer")
		return nil, false
	}
	return s, true
}

func (o *OperatorAPI) putConfig(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(bfapi.HeaderIfMatch) == "" {
		bfapi.WriteProblem(w, bfapi.Problem{Status: http.StatusPreconditionRequired, Detail: "If-Match must name the version that the change is based on"}, 0)
		return
	}
	var f briarferry.Findings
	put := &bfmachine.PutConfig{Key: readIdempotencyKey(&f, r)}
	base, err := parseETag(r.Header.Get(bfapi.HeaderIfMatch))
	if err != nil {
		f.Add(bfapi.HeaderIfMatch, "%s", err.Error())
	}
	put.Base = base
	addFindings(&f, bfapi.DecodeBody(w, r, &put.Config))
	op := bfmachine.Op{PutConfig: put}
	if data, err := bfcodec.Marshal(op); err != nil || len(data) > maxChangeBytes {
		f.Add("body", "must have at most %d bytes in its encoded form", maxChangeBytes)
	}
	result, ok := o.applyChange(w, r, f, op)
	if !ok {
		return
	}
	put.Config.Version = result.Version
	w.Header().Set(bfapi.HeaderETag, formatETag(result.Version))
	bfapi.WriteJSON(w, http.StatusOK, put.Config)
}

func (o *OperatorAPI) addDrain(w http.ResponseWriter, r *http.Request) {
	var f briarferry.Findings
	add := &bfmachine.AddDrain{Key: readIdempotencyKey(&f, r)}
	addFindings(&f, bfapi.DecodeBody(w, r, &add.Drain))
	if add.Drain.ID != "" {
		f.Add("id", "is given by the system")
	}
	result, ok := o.applyChange(w, r, f, bfmachine.Op{AddDrain: add})
	if ok {
		bfapi.WriteJSON(w, http.StatusCreated, result.Drain)
	}
}

func (o *OperatorAPI) removeDrain(w http.ResponseWriter, r *http.Request) {
	var f briarferry.Findings
	// Change may resend the operation after a lost answer. Without a key the resend would
	// then find no drain.
	if r.Header.Get(bfapi.HeaderIdempotencyKey) == "" {
		r.Header.Set(bfapi.HeaderIdempotencyKey, bfapi.NewRequestID())
	}
	remove := &bfmachine.RemoveDrain{ID: r.PathValue("id"), Key: readIdempotencyKey(&f, r)}
	if !briarferry.ValidName(remove.ID) {
		f.Add("id", "must be a name: %q", remove.ID)
	}
	if _, ok := o.applyChange(w, r, f, bfmachine.Op{RemoveDrain: remove}); ok {
		w.WriteHeader(http.StatusNoContent)
	}
}

// applyChange applies the change unless there are findings. On failure it answers the request
// and returns false.
func (o *OperatorAPI) applyChange(w http.ResponseWriter, r *http.Request, f briarferry.Findings, op bfmachine.Op) (bfmachine.OpResult, bool) {
	if err := f.Err(); err != nil {
		bfapi.WriteError(w, "", err)
		return bfmachine.OpResult{}, false
	}
	// The change continues if the operator's connection breaks. It is committed entirely or
	// not at all, and a resend with the same key gets its result.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), changeTimeout)
	defer cancel()
	result, err := o.Control.Change(ctx, op)
	if err != nil {
		writeUnavailable(w, "the change could not be confirmed; send it again with the same Idempotency-Key")
		return result, false
	}
	if result.Code == bfmachine.CodeOK {
		return result, true
	}
	writeResult(w, result)
	return result, false
}

// writeResult answers a change that the control group has rejected.
func writeResult(w http.ResponseWriter, result bfmachine.OpResult) {
	p := bfapi.Problem{Outcome: briarferry.OutcomeNotRun}
	switch result.Code {
	case bfmachine.CodeConflict:
		w.Header().Set(bfapi.HeaderETag, formatETag(result.Version))
		p.Status, p.Detail = http.StatusPreconditionFailed, fmt.Sprintf("the current version is %d", result.Version)
	case bfmachine.CodeKeyReused:
		p.Status, p.Detail = http.StatusUnprocessableEntity, "the idempotency key was used for another change"
	case bfmachine.CodeNotFound:
		p.Status, p.Detail = http.StatusNotFound, "there is no such drain"
	case bfmachine.CodeFull:
		p.Status, p.Detail = http.StatusInsufficientStorage, "there is no room for another drain"
	default:
		p.Status, p.Detail = http.StatusBadRequest, "the control plane found the change invalid"
	}
	bfapi.WriteProblem(w, p, 0)
}

func writeUnavailable(w http.ResponseWriter, detail string) {
	bfapi.WriteProblem(w, bfapi.Problem{Status: http.StatusServiceUnavailable, Detail: detail, Outcome: briarferry.OutcomeUnknown}, defaultRetryAfter)
}

// readIdempotencyKey returns the request's idempotency key and adds a finding if it is
// missing or too long.
func readIdempotencyKey(f *briarferry.Findings, r *http.Request) string {
	key := r.Header.Get(bfapi.HeaderIdempotencyKey)
	if key == "" || len(key) > bfapi.MaxKeyLength {
		f.Add(bfapi.HeaderIdempotencyKey, "must have 1 to %d characters", bfapi.MaxKeyLength)
	}
	return key
}

// addFindings adds the findings in err, or err itself as a finding for the body.
func addFindings(f *briarferry.Findings, err error) {
	var more briarferry.Findings
	if errors.As(err, &more) {
		*f = append(*f, more...)
	} else if err != nil {
		f.Add("body", "%s", err.Error())
	}
}

func formatETag(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }

func parseETag(text string) (uint64, error) {
	quoted := strings.TrimSpace(text)
	if len(quoted) < 2 || quoted[0] != '"' || quoted[len(quoted)-1] != '"' {
		return 0, fmt.Errorf("must be one quoted version: %q", text)
	}
	version, err := strconv.ParseUint(quoted[1:len(quoted)-1], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("must be one quoted version: %q", text)
	}
	return version, nil
}
