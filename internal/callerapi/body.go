package callerapi

import (
	"net/http"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/failure"
)

// generationBody holds the fields of chat completions and completions that the
// gateway interprets. All other fields are passed to the engine as sampling
// parameters.
type generationBody struct {
	Model               string         `json:"model"`
	Messages            jsontext.Value `json:"messages,omitzero"`
	Prompt              jsontext.Value `json:"prompt,omitzero"`
	MaxTokens           *int           `json:"max_tokens,omitzero"`
	MaxCompletionTokens *int           `json:"max_completion_tokens,omitzero"`
	Stream              bool           `json:"stream,omitzero"`
	StreamOptions       streamOptions  `json:"stream_options,omitzero"`
	N                   *int           `json:"n,omitzero"`
	Sampling            jsontext.Value `json:",unknown"`
}

type streamOptions struct {
	IncludeUsage bool           `json:"include_usage,omitzero"`
	Rest         jsontext.Value `json:",unknown"`
}

// readBody reads a body within the memory for all of them. Call release when the request has
// ended, also after an error.
func (api *API) readBody(w http.ResponseWriter, r *http.Request, limit int64) (_ []byte, release func(), _ error) {
	deadline := api.clock.Now().Add(api.limits.BodyTimeout)
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(deadline)
	data, held, err := api.config.Bodies.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	release = func() { api.config.Bodies.Release(held) }
	if err == nil {
		// Otherwise the server would cancel the request when the deadline passes.
		_ = controller.SetReadDeadline(time.Time{})
		return data, release, nil
	}
	return nil, release, failure.FromBody(err)
}

func (api *API) decodeGeneration(data []byte, chat bool) (*generationBody, error) {
	var body generationBody
	if err := json.Unmarshal(data, &body); err != nil {
		return nil, failure.New(failure.BadRequest, "invalid request body: %s", jsonMessage(err))
	}
	if body.N != nil && *body.N != 1 {
		return nil, failure.New(failure.BadRequest, "n must be 1")
	}
	if body.Model == "" {
		return nil, failure.New(failure.BadRequest, "model is required")
	}
	return &body, body.checkPrompt(chat)
}

func (b *generationBody) checkPrompt(chat bool) error {
	if chat {
		if b.Messages.Kind() != '[' {
			return failure.New(failure.BadRequest, "messages must be an array")
		}
		return nil
	}
	if k := b.Prompt.Kind(); k != '"' && k != '[' {
		return failure.New(failure.BadRequest, "prompt must be a string or an array")
	}
	return nil
}

func (b *generationBody) maxTokens(defaultTokens int) (int, error) {
	n := defaultTokens
	switch {
	case b.MaxCompletionTokens != nil:
		n = *b.MaxCompletionTokens
	case b.MaxTokens != nil:
		n = *b.MaxTokens
	}
	if n < 1 {
		return 0, failure.New(failure.BadRequest, "max_tokens must be at least 1")
	}
	return n, nil
}

// jsonMessage returns the text of a decoding error without content of the body.
func jsonMessage(err error) string {
	var semantic *json.SemanticError
	if errors.As(err, &semantic) {
		return "field " + string(semantic.JSONPointer) + " has the wrong type"
	}
	var syntactic *jsontext.SyntacticError
	if errors.As(err, &syntactic) {
		return syntactic.Err.Error()
	}
	return "malformed JSON"
}
