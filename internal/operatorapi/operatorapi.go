// Package operatorapi is the HTTP API through which operators apply edits and read
// the configuration objects, their history and the status of a controller.
package operatorapi

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/hashicorp/go-hclog"
	"github.com/julienschmidt/httprouter"

	"fireflypier.example/fireflypier/internal/acceptance"
	"fireflypier.example/fireflypier/internal/callerapi"
	"fireflypier.example/fireflypier/internal/configstore"
	"fireflypier.example/fireflypier/internal/document"
	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/revision"
)

const (
	// maxEditBytes is the maximum size of the body of an edit.
	maxEditBytes        = 64 << 20
	defaultHistoryLimit = 20
	maxHistoryLimit     = 1000
	maxAcceptanceWait   = 20 * time.Second
)

// Publisher publishes edits; configstore.Repository implements it.
type Publisher interface {
	// Publish merges an edit into the configuration and returns its record.
	Publish(ctx context.Context, e *revision.Edit) (*revision.Record, error)
	// History returns up to limit entries of the history, newest first.
	History(ctx context.Context, limit int) ([]configstore.Entry, error)
	// At returns the snapshot of revision rev.
	At(ctx context.Context, rev int64) (*revision.Snapshot, error)
}

// Acceptance reports the progress of the acceptance of a revision;
// acceptance.Acceptance implements it.
type Acceptance interface {
	// Committed is called after an edit was committed.
	Committed(r *revision.Record)
	// Wait returns the status of revision rev once it is accepted, or when ctx
	// ends.
	Wait(ctx context.Context, rev int64) acceptance.Status
}

// Config holds the dependencies and settings of an API.
type Config struct {
	Publisher Publisher
	// Acceptance reports the acceptance of published edits.
	Acceptance Acceptance
	// Current returns the snapshot of the latest revision.
	Current func(ctx context.Context) (*revision.Snapshot, error)
	// Status returns the body of GET /v1/status.
	Status func() any
	// Tokens maps operator names to the hexadecimal SHA-256 of their tokens.
	Tokens map[string]string
	Logger hclog.Logger
}

// API is the HTTP API for operators.
type API struct {
	cfg Config
}

// New returns an API with the given dependencies.
func New(c Config) *API { return &API{cfg: c} }

// Handler returns the HTTP handler of all routes.
func (api *API) Handler() http.Handler {
	router := httprouter.New()
	router.HandlerFunc(http.MethodPost, "/v1/edits", api.authenticated(api.serveEdit))
	router.HandlerFunc(http.MethodGet, "/v1/objects", api.authenticated(api.serveObjects))
	router.HandlerFunc(http.MethodGet, "/v1/acceptance", api.authenticated(api.serveAcceptance))
	router.HandlerFunc(http.MethodGet, "/v1/history", api.authenticated(api.serveHistory))
	router.HandlerFunc(http.MethodGet, "/v1/status", api.authenticated(api.serveStatus))
	return router
}

// operatorHandler handles a request that the named operator sent.
type operatorHandler func(w http.ResponseWriter, r *http.Request, name string)

// authenticated returns a handler that passes requests with a valid operator token
// to h and refuses all others.
func (api *API) authenticated(h operatorHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		name, ok := api.operatorName(r.Header.Get("Authorization"))
		if !ok {
			callerapi.WriteError(w, failure.New(failure.Unauthorized, "missing or unknown operator token; send it as \"Authorization: Bearer TOKEN\""))
			return
		}
		h(w, r, name)
	}
}

// operatorName returns the name of the operator whose token is in the value of an
// Authorization header.
func (api *API) operatorName(authorization string) (string, bool) {
	token, ok := strings.CutPrefix(authorization, "Bearer ")
	if !ok {
		return "", false
	}
	sum := sha256.Sum256([]byte(token))
	hash := []byte(hex.EncodeToString(sum[:]))
	for name, want := range api.cfg.Tokens {
		if subtle.ConstantTimeCompare(hash, []byte(want)) == 1 {
			return name, true
		}
	}
	return "", false
}

func (api *API) serveEdit(w http.ResponseWriter, r *http.Request, name string) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxEditBytes))
	if err != nil {
		callerapi.WriteError(w, failure.Wrap(failure.BadRequest, err, "the request body of the edit could not be read"))
		return
	}
	var edit revision.Edit
	if err := document.Decode("edit", data, &edit); err != nil {
		callerapi.WriteError(w, failure.New(failure.BadRequest, "%s", err.Error()))
		return
	}
	edit.Author = name
	record, err := api.cfg.Publisher.Publish(r.Context(), &edit)
	if err != nil {
		api.cfg.Logger.Info("edit refused", "edit_id", edit.ID, "operator", name, "reason", err)
		callerapi.WriteError(w, err)
		return
	}
	api.cfg.Logger.Info("edit committed", "edit_id", edit.ID, "operator", name, "revision", record.Revision)
	api.cfg.Acceptance.Committed(record)
	writeJSON(w, struct {
		Revision int64  `json:"revision"`
		Digest   string `json:"digest"`
	}{record.Revision, record.Digest})
}

// serveAcceptance responds once the revision is accepted, at the latest after the
// duration in the query parameter wait.
func (api *API) serveAcceptance(w http.ResponseWriter, r *http.Request, _ string) {
	rev, err := queryInt(r, "revision", 0)
	if err != nil {
		callerapi.WriteError(w, err)
		return
	}
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(r.Context(), min(wait, maxAcceptanceWait))
	defer cancel()
	writeJSON(w, api.cfg.Acceptance.Wait(ctx, rev))
}

func (api *API) serveHistory(w http.ResponseWriter, r *http.Request, _ string) {
	limit, err := queryInt(r, "limit", defaultHistoryLimit)
	if err != nil {
		callerapi.WriteError(w, err)
		return
	}
	entries, err := api.cfg.Publisher.History(r.Context(), int(min(limit, maxHistoryLimit)))
	if err != nil {
		callerapi.WriteError(w, err)
		return
	}
	writeJSON(w, struct {
		Entries []configstore.Entry `json:"entries"`
	}{entries})
}

// queryInt returns the non-negative integer in the query parameter name, or
// defaultValue if the parameter is absent.
func queryInt(r *http.Request, name string, defaultValue int64) (int64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return defaultValue, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		return 0, failure.New(failure.BadRequest, "query parameter %s must be a non-negative integer", name)
	}
	return n, nil
}

func (api *API) serveObjects(w http.ResponseWriter, r *http.Request, _ string) {
	rev, err := queryInt(r, "revision", -1)
	if err != nil {
		callerapi.WriteError(w, err)
		return
	}
	var s *revision.Snapshot
	if rev >= 0 {
		s, err = api.cfg.Publisher.At(r.Context(), rev)
	} else {
		s, err = api.cfg.Current(r.Context())
	}
	if err != nil {
		callerapi.WriteError(w, err)
		return
	}
	writeJSON(w, s)
}

func (api *API) serveStatus(w http.ResponseWriter, _ *http.Request, _ string) {
	writeJSON(w, api.cfg.Status())
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.MarshalWrite(w, v, json.Deterministic(true), document.Durations())
}
