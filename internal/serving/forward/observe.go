package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/serving/exchange"
	"fireflypier.example/fireflypier/internal/serving/target"
)

// brokenAnswerError marks an answer that its target broke off.
type brokenAnswerError struct{ cause error }

func (e *brokenAnswerError) Error() string { return e.cause.Error() }

func (e *brokenAnswerError) Unwrap() error { return e.cause }

// checkQuarantine returns the failure for the caller if engines crash on a part of the
// request's prompt, else nil.
func (j *job) checkQuarantine() error {
	now := j.f.Clock.Now()
	part, after, blocked := j.f.Quarantine.Blocked(j.r.Prefix, now)
	if !blocked {
		return nil
	}
	after = spread(after)
	j.f.Metrics.countRejection(rejectQuarantined)
	j.log(now).Info("request refused, engines crash on a part of its prompt", "part", part, "sends", j.sends, "retry_after_ms", after.Milliseconds())
	e := failure.New(failure.Quarantined, "engines crash on a part of the prompt")
	e.RetryAfter = after
	return e
}

// recordBreak records an attempt whose target broke the connection, unless the caller or
// this VM canceled it.
func (j *job) recordBreak(ctx context.Context, t *target.Target, err error) {
	if len(j.r.Prefix) == 0 || ctx.Err() != nil || errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return
	}
	j.f.Quarantine.RecordCrash(j.r.Prefix, t, j.f.Clock.Now())
}

// recordOutcome records whether an answer was complete or was broken off by its target.
func (j *job) recordOutcome(ctx context.Context, t *target.Target, result attemptResult, answer *exchange.Answer, err error) {
	var broken *brokenAnswerError
	switch {
	case errors.As(err, &broken):
		j.recordBreak(ctx, t, err)
	case result == done && err == nil && answer.Status == http.StatusOK && answer.Signed && len(j.r.Prefix) > 0:
		j.f.Quarantine.RecordAnswer(j.r.Prefix, j.f.Clock.Now())
	}
}

// observeMarks records what a target says in its answer about further requests; sent is
// when the request was sent.
func (j *job) observeMarks(t *target.Target, answer *exchange.Answer, sent time.Time) {
	now := j.f.Clock.Now()
	if j.f.View.SetLimit(t.ID, t.Born, answer.Limit, sent, now) {
		j.f.Metrics.countMark(markLimit)
		j.log(now).Info("target has another limit", "target", t.ID, "born", t.Born, "named", answer.Limit.Named, "per_second", answer.Limit.PerSecond)
	}
	if answer.Leaving && j.f.View.SetLeaving(t.ID, t.Born, now) {
		j.f.Metrics.countMark(markLeaving)
		j.log(now).Info("target leaves", "target", t.ID, "born", t.Born, "source", "answer")
	}
	if answer.Distance > 0 {
		until := j.f.View.SetDistance(t.ID, t.Born, answer.Distance, now)
		j.f.Metrics.countMark(markDistance)
		j.log(now).Info("target wants no requests for a while", "target", t.ID, "asked_ms", answer.Distance.Milliseconds(), "kept_ms", until.Sub(now).Milliseconds())
	}
}
