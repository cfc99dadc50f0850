// Package operatorapi serves operators: they apply edits and read objects,
// history and status.
package operatorapi

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"io"
	"net/http"
	"strings"

	"github.com/go-json-experiment/json"
	"github.com/hashicorp/go-hclog"
	"github.com/julienschmidt/httprouter"

	"fireflypier.example/fireflypier/internal/callerapi"
	"fireflypier.example/fireflypier/internal/document"
	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/revision"
)

const maxEditBytes = 64 << 20

// Publisher publishes edits; publication.Publication implements it.
type Publisher interface {
	// Publish merges an edit; see publication.Publication.
	Publish(ctx context.Context, e *revision.Edit) (*revision.Snapshot, error)
}

// Parts are what the API stands on.
type Parts struct {
	// Publisher publishes edits.
	Publisher Publisher
	// Current returns the highest known revision.
	Current func(ctx context.Context) (*revision.Snapshot, error)
	// Status returns what operators see of pools and members.
	Status func() any
	// Tokens maps operators' names to the SHA-256 of their tokens.
	Tokens map[string]string
	Logger hclog.Logger
}

// API is the operators' HTTP interface.
type API struct {
	parts Parts
}

// New returns the operators' HTTP interface over its parts.
func New(p Parts) *API { return &API{parts: p} }

// Handler returns the routes of the API.
func (api *API) Handler() http.Handler {
	router := httprouter.New()
	router.HandlerFunc(http.MethodPost, "/v1/edits", api.authenticated(api.serveEdit))
	router.HandlerFunc(http.MethodGet, "/v1/objects", api.authenticated(api.serveObjects))
	router.HandlerFunc(http.MethodGet, "/v1/status", api.authenticated(api.serveStatus))
	return router
}

// operatorHandler serves a request of the operator called name.
type operatorHandler func(w http.ResponseWriter, r *http.Request, name string)

func (api *API) authenticated(h operatorHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		name, ok := api.operator(r.Header.Get("Authorization"))
		if !ok {
			callerapi.WriteError(w, failure.New(failure.Unauthorized, "give an operator token as \"Authorization: Bearer TOKEN\""))
			return
		}
		h(w, r, name)
	}
}

func (api *API) operator(authorization string) (string, bool) {
	token, ok := strings.CutPrefix(authorization, "Bearer ")
	if !ok {
		return "", false
	}
	sum := sha256.Sum256([]byte(token))
	hash := []byte(hex.EncodeToString(sum[:]))
	for name, want := range api.parts.Tokens {
		if subtle.ConstantTimeCompare(hash, []byte(want)) == 1 {
			return name, true
		}
	}
	return "", false
}

func (api *API) serveEdit(w http.ResponseWriter, r *http.Request, name string) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxEditBytes))
	if err != nil {
		callerapi.WriteError(w, failure.Wrap(failure.BadRequest, err, "the edit could not be read"))
		return
	}
	var edit revision.Edit
	if err := document.Decode("edit", data, &edit); err != nil {
		callerapi.WriteError(w, failure.New(failure.BadRequest, "%s", err.Error()))
		return
	}
	edit.Author = name
	s, err := api.parts.Publisher.Publish(r.Context(), &edit)
	if err != nil {
		api.parts.Logger.Info("edit refused", "edit_id", edit.ID, "operator", name, "reason", err)
		callerapi.WriteError(w, err)
		return
	}
	api.parts.Logger.Info("edit committed", "edit_id", edit.ID, "operator", name, "revision", s.Revision)
	writeJSON(w, struct {
		Revision int64  `json:"revision"`
		Digest   string `json:"digest"`
	}{s.Revision, s.Digest()})
}

func (api *API) serveObjects(w http.ResponseWriter, r *http.Request, _ string) {
	s, err := api.parts.Current(r.Context())
	if err != nil {
		callerapi.WriteError(w, err)
		return
	}
	writeJSON(w, s)
}

func (api *API) serveStatus(w http.ResponseWriter, _ *http.Request, _ string) {
	writeJSON(w, api.parts.Status())
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.MarshalWrite(w, v, json.Deterministic(true), document.Durations())
}
