package callerapi

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"

	"fireflypier.example/fireflypier/internal/claim"
	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/recording"
	"fireflypier.example/fireflypier/internal/request"
)

// generation is the state of one generation request.
type generation struct {
	w       http.ResponseWriter
	r       *http.Request
	request *request.Request
	body    *generationBody
	raw     []byte
	format  *format
}

// run runs a generation and returns the number of tokens to charge. A request
// that is not repeatable and has an idempotency key runs at most once.
func (api *API) run(g *generation) int {
	id := g.r.Header.Get(headerIdempotency)
	if !g.request.NotRepeatable || id == "" {
		used, _ := api.generate(g.r.Context(), g)
		return used
	}
	if len(id) > maxIdempotencyKey {
		WriteError(g.w, failure.New(failure.BadRequest, "%s is longer than %d bytes", headerIdempotency, maxIdempotencyKey))
		return 0
	}
	ctx, cancel := context.WithDeadline(g.r.Context(), g.request.Deadline)
	defer cancel()
	held, recorded, err := api.config.Claims.Claim(ctx, api.claimRequest(g, id))
	switch {
	case err != nil:
		api.logFailure(g.request, err)
		WriteError(g.w, err)
		return 0
	case recorded != nil:
		recorded.Write(g.w)
		return 0
	}
	return api.generateOnce(g, held)
}

func (api *API) claimRequest(g *generation, id string) *claim.Request {
	h := sha256.New()
	_, _ = io.WriteString(h, g.r.Method+"\x00"+g.r.URL.RequestURI()+"\x00")
	_, _ = h.Write(g.raw)
	return &claim.Request{
		Customer: g.request.Ticket.Customer,
		ID:       id,
		Digest:   hex.EncodeToString(h.Sum(nil)),
		Hold:     api.limits.RequestTimeout,
	}
}

// generateOnce runs a claimed generation and records its outcome. It continues
// after the caller disconnects, so that a repeated request receives the answer.
func (api *API) generateOnce(g *generation, held *claim.Claim) int {
	ctx := context.WithoutCancel(g.r.Context())
	recorder := recording.NewRecorder(g.w, api.limits.MaxRecordedBytes)
	g.w = recorder
	g.request.Permit = held
	used, err := api.generate(ctx, g)
	switch {
	case err == nil:
		answer := recorder.Answer()
		answer.Header.Del(headerRequestID)
		held.Answered(ctx, answer)
	case failure.From(err).Answer().NotRun:
		held.Release(ctx)
	default:
		held.Unknown(ctx)
	}
	return used
}

// generate runs the request and writes the response. It returns the number of
// tokens to charge: those of the prompt and of the part of the answer that
// the caller received, or 0 if it received nothing.
func (api *API) generate(ctx context.Context, g *generation) (int, error) {
	if g.body.Stream {
		return api.generateStream(ctx, g)
	}
	var answer bufferedAnswer
	delivered, err := api.config.Dispatcher.Generate(ctx, g.request, &answer)
	if err != nil {
		api.logFailure(g.request, err)
		WriteError(g.w, err)
		return 0, err
	}
	answer.write(g.w, g.format, g.request.ID, g.body.Model, g.request.Arrival)
	return g.request.PromptTokens() + delivered, nil
}

func (api *API) generateStream(ctx context.Context, g *generation) (int, error) {
	stream, err := api.newEventStream(g.w, g.format, g.request.ID, g.body.Model, g.request.Arrival, g.body.StreamOptions.IncludeUsage)
	if err != nil {
		WriteError(g.w, err)
		return 0, err
	}
	delivered, err := api.config.Dispatcher.Generate(ctx, g.request, stream)
	if err != nil {
		api.logFailure(g.request, err)
		stream.fail(err)
		if delivered == 0 {
			return 0, err
		}
	}
	return g.request.PromptTokens() + delivered, err
}

// parseNotRepeatable parses the header X-Not-Repeatable. An empty one means
// false.
func parseNotRepeatable(header string) (bool, error) {
	switch header {
	case "", "false":
		return false, nil
	case "true":
		return true, nil
	}
	return false, failure.New(failure.BadRequest, "%s must be true or false", headerNotRepeatable)
}
