package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/serving/exchange"
	"fireflypier.example/fireflypier/internal/serving/target"
	"fireflypier.example/fireflypier/internal/transport"
)

// brokenAnswerError marks an answer that its target broke off. begun is set if a whole
// event of it had arrived.
type brokenAnswerError struct {
	cause error
	begun bool
}

func (e *brokenAnswerError) Error() string { return e.cause.Error() }

func (e *brokenAnswerError) Unwrap() error { return e.cause }

// checkQuarantine returns the failure for the caller if engines crash on the request or on a
// part of its prompt, else nil.
func (j *job) checkQuarantine() error {
	now := j.f.Clock.Now()
	name, after, blocked := j.f.Quarantine.Blocked(j.r, now)
	if !blocked {
		return nil
	}
	after = spread(after)
	j.f.Metrics.countRejection(rejectQuarantined)
	j.log(now).Info("request refused, engines crash on it or on a part of its prompt", "suspect", name, "fingerprint", j.r.Fingerprint.String(), "sends", j.sends, "retry_after_ms", after.Milliseconds())
	e := failure.New(failure.Quarantined, "engines crash on the request")
	e.RetryAfter = after
	return e
}

// recordBreak records an attempt whose target broke the connection, unless the caller or
// this VM canceled it, or closed it for the answer to another request. begun is set if the
// target had begun to answer.
func (j *job) recordBreak(ctx context.Context, t *target.Target, begun bool, err error) {
	if ctx.Err() != nil || errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return
	}
	if errors.Is(err, exchange.ErrOtherAnswer) || errors.Is(err, transport.ErrInvalidStatus) {
		return // the target lives
	}
	now := j.f.Clock.Now()
	j.suspect(ctx, t, err, now)
	j.f.Metrics.countBreak(begun)
	j.log(now).Info("target broke off, it may have crashed on the request", "target", t.ID, "born", t.Born,
		"fingerprint", j.r.Fingerprint.String(), "begun", begun, "sends", j.sends)
	if begun {
		j.f.Quarantine.RecordLateCrash(j.r, t, now)
		return
	}
	j.f.Quarantine.RecordCrash(j.r, t, now)
}

// recordOutcome records whether an answer was complete or was broken off by its target.
func (j *job) recordOutcome(ctx context.Context, t *target.Target, result attemptResult, answer *exchange.Answer, err error) {
	var broken *brokenAnswerError
	switch {
	case errors.As(err, &broken):
		j.recordBreak(ctx, t, broken.begun, err)
	case result != done || err != nil || !answer.Signed || answer.Status >= http.StatusInternalServerError:
	case answer.Status == http.StatusOK:
		j.f.Quarantine.RecordAnswer(j.r, j.f.Clock.Now())
	default:
		j.f.Quarantine.RecordFailure(j.r, j.f.Clock.Now())
	}
}

// ObserveMarks records what a target says in an answer about further calls; sent is when
// its call was sent. The logger that log returns gets a line for each change, with the
// source of the answer.
func (f *Forwarder) ObserveMarks(t *target.Target, m *target.Marks, sent time.Time, source string, log func(now time.Time) hclog.Logger) {
	now := f.Clock.Now()
	if f.View.SetLimit(t.ID, t.Born, m.Limit, sent, now) {
		f.Metrics.countMark(markLimit)
		log(now).Info("target has another limit", "target", t.ID, "born", t.Born, "named", m.Limit.Named, "per_second", m.Limit.PerSecond, "source", source)
	}
	if f.View.SetCold(t.ID, t.Born, m.Cold, sent, now) {
		f.Metrics.countMark(markCold)
		log(now).Info("target is cold", "target", t.ID, "born", t.Born, "left_ms", m.Cold.Left.Milliseconds(), "source", source)
		f.ColdLearned()
	}
	if m.Cold.Fault != "" {
		f.faults.log(now, log(now), "target", t.ID, "field", "cold", "error", m.Cold.Fault, "source", source)
	}
	if m.Leaving && f.View.SetLeaving(t.ID, t.Born, now) {
		f.Metrics.countMark(markLeaving)
		log(now).Info("target leaves", "target", t.ID, "born", t.Born, "source", source)
	}
	if m.Distance > 0 {
		until := f.View.SetDistance(t.ID, t.Born, m.Distance, now)
		f.Metrics.countMark(markDistance)
		log(now).Info("target wants no requests for a while", "target", t.ID, "source", source, "asked_ms", m.Distance.Milliseconds(), "kept_ms", until.Sub(now).Milliseconds())
	}
}
