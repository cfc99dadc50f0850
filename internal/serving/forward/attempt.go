package forward

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/serving/admission"
	"fireflypier.example/fireflypier/internal/serving/exchange"
	"fireflypier.example/fireflypier/internal/serving/fleetview"
	"fireflypier.example/fireflypier/internal/serving/policy"
	"fireflypier.example/fireflypier/internal/serving/target"
	"fireflypier.example/fireflypier/internal/transport"
)

const (
	// maxAnswerBytes bounds a plain answer, which is buffered until it is complete.
	maxAnswerBytes = 4 << 20
	// pieceBytes is the size of the pieces in which plain answers are buffered.
	// maxBufferedBytes bounds all pieces; an answer that finds no room fails, unless
	// it fits into one piece.
	pieceBytes       = 8 << 10
	maxBufferedBytes = 24 << 20
)

// attemptResult is the result of an attempt. It determines whether the request
// may be sent again.
type attemptResult int

const (
	// done means that the answer was written to the caller, at least in part,
	// and that no attempt may follow.
	done attemptResult = iota
	// notSent means that the request has not reached the target.
	notSent
	// notRun means that the request has reached the target, which certainly
	// has not run it.
	notRun
	// mayHaveRun means that the attempt has failed and the target may have run
	// the request.
	mayHaveRun
)

// run sends the request to one target after another until one answers or no
// further attempt is allowed.
func (j *job) run(ctx context.Context) error {
	for {
		j.awaitNews(ctx)
		choice, err := j.choose(ctx)
		if err != nil {
			return j.finalError(ctx, err)
		}
		result, err := j.attempt(ctx, choice)
		if result == done {
			return err
		}
		j.want.Exclude = append(j.want.Exclude, choice.Target.ID)
		if blocked := j.checkQuarantine(); blocked != nil {
			return j.finalError(ctx, blocked)
		}
		if !j.mayRepeat(ctx, result) {
			return j.finalError(ctx, err)
		}
		j.log(j.f.Clock.Now()).Info("request will be sent again", "last_target", choice.Target.ID, "last_result", attemptResultName(result, err),
			"sends", j.sends, "runs", j.runs, "resume_after", j.resumeAt(), "error", err)
	}
}

// mayRepeat reports whether another attempt is allowed after one that ended
// with result. It charges the retry budget if the request reached the target, and waits
// until the target of a broken stream has ended.
func (j *job) mayRepeat(ctx context.Context, result attemptResult) bool {
	f := j.f
	if ctx.Err() != nil || j.sends >= maxSends || j.runs >= j.route.MaxAttempts || j.deadline.Sub(f.Clock.Now()) < minTimeLeft {
		return false
	}
	if j.runs > 0 && !j.mayRunTwice() {
		return false
	}
	if result == notSent {
		return true
	}
	// The configuration may have changed during the wait.
	if result == mayHaveRun && (!j.awaitEnd(ctx) || !j.mayRunTwice()) {
		return false
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

// mayRunTwice reports whether the request may run more than once, by its route as it was
// taken and by the configuration in force now.
func (j *job) mayRunTwice() bool {
	if !j.route.Repeatable() {
		return false
	}
	p := j.f.Policy()
	if p == nil {
		return true
	}
	current, ok := p.Route(j.r.HostName, j.r.Path)
	return !ok || current.Repeatable()
}

// awaitEnd waits until the last attempt has ended at its target, or the target cannot be
// reached: a stream must not go on at a target while another one still works on it. It
// returns false if that is not certain in the time of the request.
func (j *job) awaitEnd(ctx context.Context) bool {
	if j.route.Kind != policy.Stream {
		return true
	}
	began := j.f.Clock.Now()
	end := j.ending.Await(ctx)
	now := j.f.Clock.Now()
	j.f.Metrics.countEnd(end.String())
	j.log(now).Info("attempt ended at its target", "target", j.lastTarget, "attempt", j.sends,
		"end", end.String(), "waited_ms", now.Sub(began).Milliseconds())
	return end != transport.Unconfirmed
}

// finalError returns the failure that the caller gets, and refunds the cost of
// a request that has not run.
func (j *job) finalError(ctx context.Context, err error) error {
	if j.runs == 0 {
		j.refund()
		if failure.From(err).Kind != failure.Internal {
			return err
		}
		e := failure.Wrap(failure.Overloaded, err, "no target accepted the request")
		e.RetryAfter = busyRetryAfter
		return e
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return failure.Wrap(failure.OutcomeUnknown, errCallerCanceled, "canceled")
	}
	return failure.Wrap(failure.OutcomeUnknown, err, "the request may have run")
}

// choose returns a target. If no engine has loaded the weights, it waits for one,
// provided that the load is expected to end before waitUntil.
func (j *job) choose(ctx context.Context) (fleetview.Choice, error) {
	f := j.f
	for {
		changed := f.View.Changed()
		now := f.Clock.Now()
		j.want.MaxCallWait = j.callWait(now)
		j.resetRank()
		c := f.View.Choose(&j.want, now)
		if c.Target != nil {
			if d, refused := j.admit(&c, now).(admission.Refused); refused {
				return c, j.reject(now, &c, d.After)
			}
			if c.Limit.Named && !j.reserve(ctx, &c) {
				continue
			}
			if !j.missingSince.IsZero() {
				f.Metrics.waits.Observe(now.Sub(j.missingSince).Seconds())
			}
			return c, nil
		}
		if len(j.want.Exclude) > 0 && !j.retryExcluded {
			// Only targets that have failed this request are left.
			j.retryExcluded, j.want.Exclude = true, nil
			continue
		}
		if c.InPool == 0 && c.Evacuated > 0 {
			return c, j.refuseEvacuated(now, &c)
		}
		if c.Candidates == 0 && !c.Returns.IsZero() {
			if j.sends == 0 && j.missingSince.IsZero() && j.pool.Engine != nil {
				f.Placer.RecordDemand(j.pool.Name, j.r.Model, j.r.Adapter, j.r.Tokens(), true)
			}
			return c, j.refuse(now, &c, spread(c.Returns.Sub(now)))
		}
		if j.pool.Engine == nil || j.sends > 0 {
			return c, j.refuse(now, &c, busyRetryAfter)
		}
		if j.missingSince.IsZero() {
			j.missingSince = now
			f.Placer.RecordDemand(j.pool.Name, j.r.Model, j.r.Adapter, j.r.Tokens(), true)
		}
		if j.r.Adapter != "" && c.WithModel > 0 && !j.adapterRequested {
			j.adapterRequested = true
			if id, err := f.Placer.LoadAdapter(ctx, j.pool.Name, j.r.Model, j.r.Adapter); err != nil {
				j.log(now).Warn("adapter not loaded", "model", j.r.Model, "adapter", j.r.Adapter, "error", err)
			} else if id != "" {
				continue
			}
		}
		remaining, known := j.loadRemaining(&c, now)
		until := j.waitUntil()
		if !known || now.Add(remaining).After(until) {
			return c, j.refuse(now, &c, spread(remaining))
		}
		select {
		case <-changed:
		case <-f.Clock.After(until.Sub(now)):
		case <-ctx.Done():
			return c, failure.Wrap(failure.NoReplica, ctx.Err(), "no engine has loaded the weights")
		}
	}
}

// reject refuses a request that its target could not answer in time.
func (j *job) reject(now time.Time, c *fleetview.Choice, after time.Duration) error {
	if j.sends == 0 {
		j.f.Placer.RecordDemand(j.pool.Name, j.r.Model, j.r.Adapter, j.r.Tokens(), false)
	}
	after = spread(j.returnAfter(after, now))
	j.f.Metrics.countRejection(rejectBusy)
	j.log(now).Info("request rejected, its target is too busy", "target", c.Target.ID, "candidates", c.Candidates,
		"expected_ms", c.Expected.Milliseconds(), "left_ms", j.deadline.Sub(now).Milliseconds(), "retry_after_ms", after.Milliseconds())
	e := failure.New(failure.Overloaded, "no target can serve the request in its time")
	e.RetryAfter = after
	return e
}

// loadRemaining returns the estimated time until an engine has loaded the weights
// of the request. known is false if the pool has no such model.
func (j *job) loadRemaining(c *fleetview.Choice, now time.Time) (remaining time.Duration, known bool) {
	m, known := j.pool.Engine.Model(j.r.Model)
	switch {
	case !known:
		return loadRetryAfter, false
	case c.WithModel > 0:
		return busyRetryAfter, true // only the adapter is missing
	}
	return j.f.View.LoadRemaining(j.pool.Name, m, j.missingSince, now), true
}

// spread returns a retry delay of at least d. Callers that are refused together
// return one after the other.
func spread(d time.Duration) time.Duration {
	return d + time.Duration(rand.Int64N(int64(retrySpread*float64(d))+1))
}

// patience returns the time from its arrival for which the caller waits for the first
// event of a request.
func (j *job) patience() time.Duration {
	limit := j.deadline.Sub(j.r.Arrival)
	if p := j.route.CallerTimeout(); p > 0 {
		limit = min(limit, p)
	}
	return limit
}

// waitUntil returns the time at which a request that still has no target is
// refused.
func (j *job) waitUntil() time.Time {
	return j.r.Arrival.Add(time.Duration(loadWaitShare * float64(j.patience())))
}

func (j *job) refuse(now time.Time, c *fleetview.Choice, after time.Duration) error {
	j.f.Metrics.countRejection(j.rejectionReason(c))
	j.log(now).Info("no target for the request", "model", j.r.Model, "adapter", j.r.Adapter,
		"in_pool", c.InPool, "with_model", c.WithModel, "candidates", c.Candidates, "waiting", c.Waiting, "tried", len(j.want.Exclude), "retry_after_ms", after.Milliseconds())
	e := failure.New(failure.NoReplica, "no target can serve the request now")
	e.RetryAfter = after
	return e
}

// rejectionReason returns the metric label for a request that finds no target.
func (j *job) rejectionReason(c *fleetview.Choice) string {
	if c.Candidates == 0 && c.Waiting > 0 {
		return rejectMarked
	}
	if j.pool.Engine == nil {
		return rejectNotAvailable
	}
	_, known := j.pool.Engine.Model(j.r.Model)
	switch {
	case !known:
		return rejectUnknown
	case c.WithModel == 0:
		return rejectNoModel
	case j.r.Adapter != "" && c.Candidates == 0:
		return rejectNoAdapter
	}
	return rejectNotAvailable
}

// attempt sends the request to the chosen target. The error is nil only if the
// whole answer was written to the caller.
func (j *job) attempt(ctx context.Context, c fleetview.Choice) (attemptResult, error) {
	f := j.f
	now := f.Clock.Now()
	left := j.deadline.Sub(now)
	if left < minTimeLeft {
		return notSent, failure.New(failure.DeadlineExceeded, "no time is left before the deadline")
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
	a := &exchange.Attempt{Target: c.Target, TimeLimit: left, Rank: j.want.Rank, Customer: j.customerName()}
	j.lastTarget = c.Target.ID
	a.LastEvent = j.resumeAt()
	j.log(now).Info("request sent", "target", c.Target.ID, "attempt", j.sends, "expected_ms", c.Expected.Milliseconds(),
		"extra_ms", c.Extra.Milliseconds(), "cached_tokens", c.Cached, "cost", j.cost, "candidates", c.Candidates, "left_ms", left.Milliseconds(), "spillover", j.countSpillover(&c))
	ticket := f.View.Begin(&c, &j.want, now)
	if j.pool.Engine != nil {
		f.Placer.AddRunning(j.pool.Name, j.r.Model, j.r.Adapter, 1)
		defer f.Placer.AddRunning(j.pool.Name, j.r.Model, j.r.Adapter, -1)
	}
	sendCtx, guard := j.withGuard(ctx, &c)
	if j.route.Kind == policy.Stream && j.route.Repeatable() {
		sendCtx, j.ending = transport.WithEnding(sendCtx)
	}
	attemptCtx, cancel := context.WithCancel(sendCtx)
	defer cancel()
	dog := j.watch(&c, left, cancel)
	defer dog.stop()
	answer, err := f.Sender.Send(attemptCtx, j.r, a)
	if err != nil && guard.withheld(ticket, err) {
		return notSent, errors.Wrap(errWithheld, err.Error())
	}
	if err != nil {
		return j.handleSendError(ctx, ticket, c.Target, err)
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.Misdirected && answer.Cold.Left == 0 {
		answer.Cold = target.Cold{} // may be that of another incarnation
	}
	f.ObserveMarks(c.Target, &answer.Marks, now, "answer", j.log)
	j.target, j.status = c.Target.ID, answer.Status
	result, err := j.handleAnswer(answer, ticket, dog)
	j.recordOutcome(ctx, c.Target, result, answer, err)
	ticket.End(result == mayHaveRun && ctx.Err() == nil, f.Clock.Now())
	f.Metrics.countSend(attemptResultName(result, err))
	if err != nil {
		conn := j.history.Last()
		j.log(f.Clock.Now()).Info("attempt ended without an answer", "target", c.Target.ID, "attempt", j.sends,
			"status", answer.Status, "not_run", result == notRun, "connection", conn.Local, "reused", conn.Reused, "error", err)
	}
	return result, err
}

func attemptResultName(result attemptResult, err error) string {
	switch {
	case result == notSent:
		return "not_sent"
	case result == notRun:
		return "not_run"
	case result == mayHaveRun:
		return "failed"
	case err != nil:
		return "broken"
	}
	return "answered"
}

// handleSendError classifies an attempt that ended before the header of an
// answer.
func (j *job) handleSendError(ctx context.Context, ticket *fleetview.Ticket, t *target.Target, err error) (attemptResult, error) {
	now := j.f.Clock.Now()
	var unsent *transport.NotSentError
	result := mayHaveRun
	if errors.As(err, &unsent) {
		result = notSent
	}
	ticket.End(ctx.Err() == nil, now)
	if result == notSent && ctx.Err() == nil {
		ticket.Unreachable(now)
	}
	j.suspect(ctx, t, err, now)
	if result == mayHaveRun {
		j.runs++
		j.recordBreak(ctx, t, false, err)
	}
	j.f.Metrics.countSend(attemptResultName(result, err))
	conn := j.history.Last()
	j.log(now).Info("attempt failed", "target", t.ID, "attempt", j.sends, "not_sent", result == notSent,
		"connection", conn.Local, "reused", conn.Reused, "error", err)
	return result, err
}

// handleAnswer classifies an answer and writes it to the caller if it is final.
func (j *job) handleAnswer(answer *exchange.Answer, ticket *fleetview.Ticket, dog *watchdog) (attemptResult, error) {
	if answer.Misdirected {
		ticket.Absent(j.f.Clock.Now())
	}
	if answer.NotRun {
		return notRun, errors.Errorf("the target answered %d without running the request", answer.Status)
	}
	j.runs++
	if j.route.Kind == policy.Stream && answer.Status == http.StatusOK {
		return j.forwardStream(answer, ticket, dog)
	}
	pieces, release, err := j.f.readAnswer(answer.Body)
	defer release()
	if err != nil {
		return mayHaveRun, &brokenAnswerError{cause: errors.Wrap(err, "the answer could not be read completely")}
	}
	if answer.Status < http.StatusMultipleChoices && !answer.Signed {
		return mayHaveRun, errors.New("the answer is not signed")
	}
	dog.stop()
	j.recordFirstEvent(ticket)
	if answer.Refusal {
		// The caller would take the answer for a promise and send the request again.
		return mayHaveRun, errors.Errorf("the target answered %d, and does not state that it has not run the request", answer.Status)
	}
	if answer.Status >= http.StatusInternalServerError && j.mayRunTwice() && j.mayTryOtherTarget() {
		return mayHaveRun, errors.Errorf("the target answered %d", answer.Status)
	}
	if j.headerWritten {
		return mayHaveRun, errors.Errorf("the target answered %d to a resumed stream", answer.Status)
	}
	header := j.w.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	size := 0
	for _, p := range pieces {
		size += len(p)
	}
	if _, ok := header["Content-Length"]; !ok && size > 0 {
		header.Set("Content-Length", strconv.Itoa(size))
	}
	j.headerWritten = true
	j.w.WriteHeader(answer.Status)
	for _, p := range pieces {
		if _, err := j.w.Write(p); err != nil {
			return done, failure.Wrap(failure.OutcomeUnknown, err, "the answer could not be written to the caller")
		}
	}
	return done, nil
}

// readAnswer reads a plain answer in pieces, within the memory for all of them. Call
// release when the answer is no longer needed, also after an error.
func (f *Forwarder) readAnswer(r io.Reader) (pieces [][]byte, release func(), err error) {
	size, reserved := 0, int64(0)
	release = func() { f.buffered.Release(reserved) }
	piece := make([]byte, 0, pieceBytes)
	for {
		n, err := r.Read(piece[len(piece):cap(piece)])
		size += n
		piece = piece[:len(piece)+n]
		switch {
		case errors.Is(err, io.EOF):
			return append(pieces, piece), release, nil
		case err != nil:
			return nil, release, err
		case size > maxAnswerBytes:
			return nil, release, errors.Errorf("the answer is longer than %d bytes", maxAnswerBytes)
		case len(piece) < cap(piece):
			continue
		}
		if !f.buffered.Reserve(pieceBytes) {
			return nil, release, errors.Errorf("answers of more than %d bytes are being read", f.buffered.Limit())
		}
		reserved += pieceBytes
		pieces, piece = append(pieces, piece), make([]byte, 0, pieceBytes)
	}
}

// recordFirstEvent records the arrival of the first event of a stream, or of a
// whole plain answer.
func (j *job) recordFirstEvent(ticket *fleetview.Ticket) {
	now := j.f.Clock.Now()
	ticket.Started(now)
	if j.timeToFirstEvent == 0 {
		j.timeToFirstEvent = now.Sub(j.r.Arrival)
		j.observeObjective(j.timeToFirstEvent)
		j.recordServed(now)
	}
}

// mayTryOtherTarget reports whether a failure answer may be dropped and the
// request sent to another target instead.
func (j *job) mayTryOtherTarget() bool {
	return j.runs < j.route.MaxAttempts && j.sends < maxSends && j.f.Clock.Now().Before(j.deadline)
}
