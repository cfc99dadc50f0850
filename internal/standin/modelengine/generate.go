package modelengine

import (
	"bytes"
	"context"
	"regexp"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"fireflypier.example/fireflypier/internal/engine"
	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/prefix"
)

// bytesPerToken is the size of a simulated prompt token.
const bytesPerToken = 4

var lengthPattern = regexp.MustCompile(`\[tokens=(\d+)\]`)

// Token returns the text of the token at index in the completion of prompt. It is the
// same on every engine, so that a stream can resume on another one.
func Token(prompt []byte, index int) string {
	digest := xxhash.New()
	_, _ = digest.Write(prompt)
	_, _ = digest.WriteString(strconv.Itoa(index))
	return " t" + strconv.FormatUint(digest.Sum64()%100_000, 36)
}

// PromptTokens returns the number of tokens in prompt.
func PromptTokens(prompt []byte) int { return (len(prompt) + bytesPerToken - 1) / bytesPerToken }

// completionLength returns the number of tokens of the whole completion and the finish
// reason. If the prompt contains [tokens=N] and N is below MaxTokens, the completion
// has N tokens; otherwise it has MaxTokens.
func completionLength(req *engine.GenerateRequest) (n int, reason string) {
	if m := lengthPattern.FindSubmatch(req.Prompt); m != nil {
		if n, err := strconv.Atoi(string(m[1])); err == nil && n < req.MaxTokens {
			return n, "stop"
		}
	}
	return req.MaxTokens, "length"
}

// Generate runs req and calls emit for each frame. It fails with NoReplica or
// Overloaded if the generation did not start. It stops when ctx ends or emit returns
// an error.
func (e *Engine) Generate(ctx context.Context, req *engine.GenerateRequest, emit func(engine.Frame) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	generation, err := e.begin(req, cancel)
	if err != nil {
		return err
	}
	defer e.end(req)
	if !e.acquireSlot(ctx, req.Priority) {
		return ctx.Err()
	}
	defer e.releaseSlot()
	return e.run(ctx, req, generation, emit)
}

func (e *Engine) begin(req *engine.GenerateRequest, cancel context.CancelFunc) (*Generation, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.fault.Refuse && e.fault.LoseStarts == 0, len(e.waiting) > e.cfg.MaxWaiting:
		return nil, failure.New(failure.Overloaded, "%d requests are waiting", len(e.waiting))
	case !e.hasWeights(req):
		return nil, failure.New(failure.NoReplica, "model %s %s adapter %q is not loaded", req.Model, req.Version, req.Adapter)
	}
	generation := &Generation{AttemptID: req.AttemptID, Model: req.Model}
	e.generations = append(e.generations, generation)
	e.cancels[req.AttemptID] = cancel
	e.tokens += req.MaxTokens
	return generation, nil
}

func (e *Engine) end(req *engine.GenerateRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.cancels, req.AttemptID)
	e.tokens -= req.MaxTokens
}

// Cancel stops the attempt with the given ID, if it is running.
func (e *Engine) Cancel(attemptID string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if cancel, ok := e.cancels[attemptID]; ok {
		cancel()
	}
}

func (e *Engine) run(ctx context.Context, req *engine.GenerateRequest, generation *Generation, emit func(engine.Frame) error) error {
	if e.takeLostStart() {
		generation.Tokens++
		return failure.New(failure.Internal, "the stream was cut before its first frame")
	}
	cached := e.prefill(ctx, req)
	length, reason := completionLength(req)
	for i := req.Offset; i < length; i++ {
		if !e.waitStep(ctx) {
			return ctx.Err()
		}
		fault := e.countToken(generation)
		if fault.CutAfterTokens > 0 && i-req.Offset >= fault.CutAfterTokens {
			return failure.New(failure.Internal, "the stream was cut before its last frame")
		}
		if fault.RepeatFrames {
			if err := e.emitRepeated(req, i, emit); err != nil {
				return err
			}
		}
		if fault.CrossAnswers {
			if err := emit(engine.Frame{AttemptID: "other-" + req.AttemptID, Offset: i, Text: " crossed"}); err != nil {
				return err
			}
		}
		if err := emit(engine.Frame{AttemptID: req.AttemptID, Offset: i, Text: Token(req.Prompt, i)}); err != nil {
			return err
		}
	}
	e.finish(generation)
	return emit(engine.Frame{
		AttemptID: req.AttemptID, Offset: length, Done: true, FinishReason: reason,
		Usage: engine.Usage{
			PromptTokens:     PromptTokens(req.Prompt),
			CompletionTokens: length,
			CachedTokens:     cached * prefix.BlockBytes / bytesPerToken,
		},
	})
}

// emitRepeated sends copies of the next frame and of the first frame of the stream.
func (e *Engine) emitRepeated(req *engine.GenerateRequest, i int, emit func(engine.Frame) error) error {
	for _, offset := range []int{i, req.Offset} {
		f := engine.Frame{AttemptID: req.AttemptID, Offset: offset, Text: Token(req.Prompt, offset)}
		if err := emit(f); err != nil {
			return err
		}
	}
	return nil
}

// takeLostStart reports whether LoseStarts applies to a generation, and counts it if
// so.
func (e *Engine) takeLostStart() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fault.LoseStarts == 0 {
		return false
	}
	e.fault.LoseStarts--
	return true
}

// countToken counts a generated token and returns the current faults.
func (e *Engine) countToken(generation *Generation) Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	generation.Tokens++
	return e.fault
}

func (e *Engine) finish(generation *Generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	generation.Finished = true
}

// prefill adds the prompt to the prefix cache, waits for the prefill time of the
// tokens that were not cached, and returns the number of blocks that were.
func (e *Engine) prefill(ctx context.Context, req *engine.GenerateRequest) int {
	hashes := prefix.HashPrompt(req.Model, bytes.TrimSpace(req.Prompt))
	e.mu.Lock()
	cached := e.cache.match(hashes)
	e.cache.add(hashes, e.clock.Now())
	e.mu.Unlock()
	uncached := PromptTokens(req.Prompt) - cached*prefix.BlockBytes/bytesPerToken
	e.sleep(ctx, time.Duration(uncached)*e.cfg.PrefillPerToken)
	return cached
}

// waitStep waits for the time of a decoding step of the batch; it returns false if
// ctx ends first.
func (e *Engine) waitStep(ctx context.Context) bool {
	e.mu.Lock()
	d := e.cfg.StepBase + time.Duration(e.running)*e.cfg.StepPerSequence
	e.mu.Unlock()
	return e.sleep(ctx, d)
}

func (e *Engine) sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := e.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-ctx.Done():
		return false
	}
}
