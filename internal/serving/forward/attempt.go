package forward

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/serving/exchange"
	"fireflypier.example/fireflypier/internal/serving/fleetview"
	"fireflypier.example/fireflypier/internal/serving/policy"
	"fireflypier.example/fireflypier/internal/transport"
)

// maxAnswerBytes bounds a plain answer, which is held until it is whole.
const maxAnswerBytes = 4 << 20

// verdict tells what follows an attempt.
type verdict int

const (
	// done attempts have answered the caller.
	done verdict = iota
	// notSent attempts have not reached the target.
	notSent
	// notRun attempts have reached the target, which certainly has not run
	// the request.
	notRun
	// mayHaveRun attempts have failed and may have run the request.
	mayHaveRun
)

// run makes attempts until one answers, or none may follow.
func (j *job) run(ctx context.Context) error {
	for {
		choice, err := j.choose(ctx)
		if err != nil {
			return j.giveUp(ctx, err)
		}
		v, err := j.attempt(ctx, choice)
		if v == done {
			return err
		}
		j.want.Exclude = append(j.want.Exclude, choice.Target.ID)
		if !j.mayRepeat(ctx, v) {
			return j.giveUp(ctx, err)
		}
	}
}

// mayRepeat reports whether another attempt may follow, and takes it from the
// retry budget if the target got the request.
func (j *job) mayRepeat(ctx context.Context, v verdict) bool {
	f := j.f
	if ctx.Err() != nil || j.sends >= maxSends || j.runs >= j.route.MaxAttempts || j.deadline.Sub(f.Clock.Now()) < leastTime {
		return false
	}
	if v == mayHaveRun && !j.route.Repeatable() {
		return false
	}
	if v == notSent {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	if !f.Retries.Take(j.pool.Name, f.VMs(), now) {
		j.log(now).Info("request not repeated, the retry budget is used up", "pool", j.pool.Name)
		return false
	}
	return true
}

// giveUp returns the failure to be told to the caller.
func (j *job) giveUp(ctx context.Context, err error) error {
	if j.runs == 0 {
		j.refund()
		if failure.From(err).Kind != failure.Internal {
			return err
		}
		e := failure.Wrap(failure.Overloaded, err, "no target took the request")
		e.RetryAfter = busyRetry
		return e
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return failure.Wrap(failure.OutcomeUnknown, errCallerLeft, "canceled")
	}
	return failure.Wrap(failure.OutcomeUnknown, err, "the request may have run")
}

// choose returns a target, or waits for one that holds the weights.
func (j *job) choose(ctx context.Context) (fleetview.Choice, error) {
	f := j.f
	for {
		changed := f.View.Changed()
		now := f.Clock.Now()
		c := f.View.Choose(&j.want, now)
		if c.Target != nil {
			return c, nil
		}
		if len(j.want.Exclude) > 0 && !j.again {
			// The only target left is one that has failed it before.
			j.again, j.want.Exclude = true, nil
			continue
		}
		if j.pool.Engine == nil || j.sends > 0 {
			return c, j.refuse(now, &c, busyRetry)
		}
		f.Placer.RecordDemand(j.pool.Name, j.r.Model, j.r.Adapter, j.r.Tokens(), true)
		if j.r.Adapter != "" && c.WithModel > 0 && !j.brought {
			j.brought = true
			if id, err := f.Placer.LoadAdapter(ctx, j.pool.Name, j.r.Model, j.r.Adapter); err != nil {
				j.log(now).Warn("adapter not brought", "model", j.r.Model, "adapter", j.r.Adapter, "error", err)
			} else if id != "" {
				continue
			}
		}
		until := j.waitUntil()
		if !now.Before(until) {
			return c, j.refuse(now, &c, loadRetry)
		}
		select {
		case <-changed:
		case <-f.Clock.After(until.Sub(now)):
		case <-ctx.Done():
			return c, failure.Wrap(failure.NoReplica, ctx.Err(), "no engine holds the weights")
		}
	}
}

// waitUntil returns when a request without a target is refused.
func (j *job) waitUntil() time.Time {
	limit := j.deadline.Sub(j.r.Arrival)
	if p := j.route.CallerTimeout(); p > 0 {
		limit = min(limit, p)
	}
	return j.r.Arrival.Add(time.Duration(waitShare * float64(limit)))
}

func (j *job) refuse(now time.Time, c *fleetview.Choice, after time.Duration) error {
	j.log(now).Info("no target for the request", "model", j.r.Model, "adapter", j.r.Adapter,
		"in_pool", c.InPool, "with_model", c.WithModel, "candidates", c.Candidates, "tried", len(j.want.Exclude))
	e := failure.New(failure.NoReplica, "no target can serve the request now")
	e.RetryAfter = after
	return e
}

// attempt sends the request to the chosen target. The error is nil only when
// the caller has its answer.
func (j *job) attempt(ctx context.Context, c fleetview.Choice) (verdict, error) {
	f := j.f
	now := f.Clock.Now()
	left := j.deadline.Sub(now)
	if left < leastTime {
		return notSent, failure.New(failure.DeadlineExceeded, "no time is left")
	}
	if j.sends == 0 {
		f.mu.Lock()
		f.Retries.RecordRequest(j.pool.Name, now)
		f.mu.Unlock()
		if j.pool.Engine != nil {
			f.Placer.RecordDemand(j.pool.Name, j.r.Model, j.r.Adapter, j.r.Tokens(), false)
		}
	}
	j.sends++
	a := &exchange.Attempt{Target: c.Target, TimeLimit: left, Rank: j.want.Rank, Repeatable: j.route.Kind == policy.Idempotent}
	if j.customer != nil {
		a.Customer = j.customer.Name
	}
	if j.stream != nil {
		a.LastEvent = j.stream.resumeAt()
	}
	j.log(now).Info("request sent", "target", c.Target.ID, "attempt", j.sends, "expected_ms", c.Expected.Milliseconds(),
		"cached_tokens", c.Cached, "cost", j.cost, "candidates", c.Candidates, "left_ms", left.Milliseconds())
	ticket := f.View.Begin(&c, &j.want, now)
	if j.pool.Engine != nil {
		f.Placer.AddRunning(j.pool.Name, j.r.Model, j.r.Adapter, 1)
		defer f.Placer.AddRunning(j.pool.Name, j.r.Model, j.r.Adapter, -1)
	}
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	j.watch(&c, left, cancel)
	answer, err := f.Sender.Send(attemptCtx, j.r, a)
	if err != nil {
		return j.sendFailed(ctx, ticket, c.Target.ID, err)
	}
	defer func() { _ = answer.Body.Close() }()
	j.target, j.status = c.Target.ID, answer.Status
	v, err := j.take(answer, ticket)
	ticket.End(v == mayHaveRun && ctx.Err() == nil, f.Clock.Now())
	f.Metrics.sent(verdictName(v, err))
	if err != nil {
		j.log(f.Clock.Now()).Info("attempt ended without an answer", "target", c.Target.ID, "attempt", j.sends,
			"status", answer.Status, "not_run", v == notRun, "error", err)
	}
	return v, err
}

// watch ends an attempt whose target stays silent, if another target may run
// the request then.
func (j *job) watch(c *fleetview.Choice, left time.Duration, end context.CancelFunc) {
	j.silence = nil
	if !j.route.Repeatable() || j.runs+1 >= j.route.MaxAttempts || c.Candidates < 2 {
		return
	}
	wait := max(j.route.Objective, silenceFactor*c.Expected) + silenceSlack
	if wait < left {
		j.silence = time.AfterFunc(wait, end)
	}
}

func verdictName(v verdict, err error) string {
	switch {
	case v == notSent:
		return "not_sent"
	case v == notRun:
		return "not_run"
	case v == mayHaveRun:
		return "failed"
	case err != nil:
		return "broken"
	}
	return "answered"
}

// sendFailed judges an attempt without the head of an answer.
func (j *job) sendFailed(ctx context.Context, ticket *fleetview.Ticket, id string, err error) (verdict, error) {
	now := j.f.Clock.Now()
	var unsent *transport.NotSentError
	v := mayHaveRun
	if errors.As(err, &unsent) {
		v = notSent
	}
	ticket.End(ctx.Err() == nil, now)
	if v == notSent && ctx.Err() == nil {
		ticket.Unreachable(now)
	}
	if v == mayHaveRun {
		j.runs++
	}
	j.f.Metrics.sent(verdictName(v, err))
	j.log(now).Info("attempt failed", "target", id, "attempt", j.sends, "not_sent", v == notSent, "error", err)
	return v, err
}

// take judges an answer and gives it to the caller if it is the last one.
func (j *job) take(answer *exchange.Answer, ticket *fleetview.Ticket) (verdict, error) {
	if answer.NotRun {
		if answer.Misdirected {
			ticket.Absent(j.f.Clock.Now())
		}
		return notRun, errors.Errorf("the target answered %d without running the request", answer.Status)
	}
	j.runs++
	if j.route.Kind == policy.Stream && answer.Status == http.StatusOK {
		return j.takeStream(answer, ticket)
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		err = errors.Errorf("the answer is longer than %d bytes", maxAnswerBytes)
	}
	if err != nil {
		return mayHaveRun, errors.Wrap(err, "the answer broke off")
	}
	if answer.Status < http.StatusMultipleChoices && !answer.Signed {
		return mayHaveRun, errors.New("the answer has no signature")
	}
	j.started(ticket)
	if answer.Status >= http.StatusInternalServerError && j.route.Repeatable() && j.mayTryElsewhere() {
		return mayHaveRun, errors.Errorf("the target answered %d", answer.Status)
	}
	if j.answering {
		return mayHaveRun, errors.Errorf("the target answered %d to a resumed stream", answer.Status)
	}
	header := j.w.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	if _, ok := header["Content-Length"]; !ok && len(body) > 0 {
		header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	j.answering = true
	j.w.WriteHeader(answer.Status)
	if _, err := j.w.Write(body); err != nil {
		return done, failure.Wrap(failure.OutcomeUnknown, err, "the caller did not take the answer")
	}
	return done, nil
}

// started notes the first event or the whole answer.
func (j *job) started(ticket *fleetview.Ticket) {
	if j.silence != nil {
		j.silence.Stop()
	}
	now := j.f.Clock.Now()
	ticket.Started(now)
	if j.first == 0 {
		j.first = now.Sub(j.r.Arrival)
	}
}

// mayTryElsewhere reports whether a failure that could be passed on should be
// tried at another target instead.
func (j *job) mayTryElsewhere() bool {
	return j.runs < j.route.MaxAttempts && j.sends < maxSends && j.f.Clock.Now().Before(j.deadline)
}
