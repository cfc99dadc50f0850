package dispatch

import (
	"context"
	"net/netip"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/engine"
	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/request"
	"fireflypier.example/fireflypier/internal/scheduler"
)

// attempt makes one attempt.
func (d *Dispatcher) attempt(ctx context.Context, r *request.Request, p *progress, sink Sink) error {
	place, err := d.acquire(ctx, r, p)
	if err != nil {
		return &finalError{err}
	}
	defer place.Release()
	if err := check(r); err != nil {
		return &finalError{err}
	}
	if p.offset > 0 && place.Version != p.version {
		p.tried = append(p.tried, place.Target)
		return failure.New(failure.NoReplica, "%s holds version %s, the answer began with %s", place.Target, place.Version, p.version)
	}
	before := p.offset
	defer func() { place.SetGenerated(p.offset - before) }()
	p.version = place.Version
	req := generateRequest(r, place.Version, p.offset)
	logger := d.logger.With("request_id", r.ID, "attempt_id", req.AttemptID, "target", place.Target)
	d.ejection.Begin(place.Target)
	stream, err := d.engines.Generate(ctx, place.Address, req)
	if err != nil {
		logger.Info("attempt not begun", "reason", err)
		return d.notBegun(ctx, place, req.AttemptID, p, err)
	}
	p.mayHaveRun = true
	err = d.relay(stream, place.RecordFirstToken, p, sink)
	d.ended(ctx, place, stream, req.AttemptID, p, err)
	if err == nil {
		return nil
	}
	logger.Info("attempt ended early", "reason", err, "offset", p.offset)
	if failed := left(sink.Flush()); failed != nil {
		return failed
	}
	return err
}

// acquire takes a place at an engine that was not tried and is not ejected;
// after a short wait it takes any.
func (d *Dispatcher) acquire(ctx context.Context, r *request.Request, p *progress) (*scheduler.Slot, error) {
	exclude := append(d.ejection.All(), p.tried...)
	if len(exclude) == 0 {
		return d.scheduler.Acquire(ctx, r, nil)
	}
	short, cancel := context.WithTimeout(ctx, excludeWait)
	defer cancel()
	place, err := d.scheduler.Acquire(short, r, exclude)
	if err == nil || ctx.Err() != nil {
		return place, err
	}
	return d.scheduler.Acquire(ctx, r, nil)
}

// check tells, right before the first byte, whether r may still be sent.
func check(r *request.Request) error {
	if err := r.Ticket.Check(); err != nil {
		return err
	}
	if r.Permit != nil {
		return r.Permit.Check()
	}
	return nil
}

// notBegun ends an attempt that the engine did not answer or refused.
func (d *Dispatcher) notBegun(ctx context.Context, place *scheduler.Slot, attemptID string, p *progress, err error) error {
	p.tried = append(p.tried, place.Target)
	if certainlyNotRun(err) {
		d.counters.attempts.WithLabelValues(resultNotRun).Inc()
	} else {
		p.mayHaveRun = true
		d.counters.attempts.WithLabelValues(resultBroken).Inc()
		d.cancel(ctx, place.Address, attemptID)
	}
	switch {
	case failure.Is(err, failure.BadRequest):
		d.ejection.Abandoned(place.Target)
		return &finalError{err}
	case ctx.Err() != nil, failure.Is(err, failure.NoReplica), failure.Is(err, failure.Overloaded):
		d.ejection.Abandoned(place.Target)
	default:
		d.ejection.Failed(place.Target)
	}
	return err
}

// certainlyNotRun reports whether an attempt without a stream ran nothing.
func certainlyNotRun(err error) bool {
	var notSent *engine.NotSentError
	return errors.As(err, &notSent) || failure.From(err).Answer().NotRun
}

// ended closes the stream of an attempt and cancels unfinished work.
func (d *Dispatcher) ended(ctx context.Context, place *scheduler.Slot, stream *engine.Stream, attemptID string, p *progress, err error) {
	_ = stream.Close()
	if n := stream.DroppedFrames(); n > 0 {
		d.counters.dropped.WithLabelValues(droppedForeign).Add(float64(n))
	}
	if stream.Stalled() {
		d.counters.stalled.Inc()
	}
	switch {
	case err == nil:
		d.counters.attempts.WithLabelValues(resultFinished).Inc()
		d.ejection.Succeeded(place.Target)
		return
	case failure.Is(err, failure.Canceled), ctx.Err() != nil:
		d.counters.attempts.WithLabelValues(resultCanceled).Inc()
		d.ejection.Abandoned(place.Target)
	default:
		d.counters.attempts.WithLabelValues(resultBroken).Inc()
		d.ejection.Failed(place.Target)
		p.tried = append(p.tried, place.Target)
	}
	d.cancel(ctx, place.Address, attemptID)
}

// cancel tells an engine, in the background, that an attempt is no longer
// wanted. Closing the connection says the same, but does not reach an engine
// behind a broken network.
func (d *Dispatcher) cancel(ctx context.Context, addr netip.AddrPort, attemptID string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
		defer cancel()
		if err := d.engines.Cancel(ctx, addr, attemptID); err != nil {
			d.logger.Debug("attempt not canceled", "attempt_id", attemptID, "reason", err)
		}
	}()
}

func generateRequest(r *request.Request, version string, offset int) *engine.GenerateRequest {
	return &engine.GenerateRequest{
		AttemptID: uuid.NewString(),
		Model:     r.Weights.Model,
		Version:   version,
		Adapter:   r.Weights.Adapter,
		Prompt:    r.Prompt,
		Sampling:  r.Sampling,
		MaxTokens: r.MaxTokens,
		Offset:    offset,
		Priority:  r.Priority(),
	}
}

// relay copies frames to the sink. A frame that the caller already has is
// dropped; one that skips tokens ends the attempt, so that the next resumes
// at the offset. It calls started at the first frame.
func (d *Dispatcher) relay(stream *engine.Stream, started func(), p *progress, sink Sink) error {
	var f engine.Frame
	for begun := false; ; {
		if err := stream.Next(&f); err != nil {
			return err
		}
		if !begun {
			begun = true
			started()
		}
		switch {
		case f.Done && f.Offset == p.offset:
			return left(sink.Finish(f.FinishReason, f.Usage))
		case f.Done || f.Offset > p.offset:
			return failure.New(failure.TargetFailed, "the engine sent offset %d in place of %d", f.Offset, p.offset)
		case f.Offset < p.offset:
			d.counters.dropped.WithLabelValues(droppedDouble).Inc()
			continue
		}
		if err := left(sink.Token(f.Text)); err != nil {
			return err
		}
		p.offset++
		if !stream.WouldBlock() {
			continue
		}
		if err := left(sink.Flush()); err != nil {
			return err
		}
	}
}

// left tells that a sink's error means that the caller has left.
func left(err error) error {
	if err == nil {
		return nil
	}
	return &finalError{failure.Wrap(failure.Canceled, err, "the caller left")}
}
