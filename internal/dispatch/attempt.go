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

// attempt acquires a slot and runs the rest of the answer on its engine. It
// returns nil when the answer is complete.
func (d *Dispatcher) attempt(ctx context.Context, r *request.Request, p *progress, sink Sink) error {
	slot, err := d.acquire(ctx, r, p)
	if err != nil {
		return &finalError{err}
	}
	defer slot.Release()
	if err := checkPermitted(r); err != nil {
		return &finalError{err}
	}
	if p.offset > 0 && slot.Version != p.version {
		p.tried = append(p.tried, slot.Target)
		return failure.New(failure.NoReplica, "%s has loaded version %s, but the answer started with version %s", slot.Target, slot.Version, p.version)
	}
	before := p.offset
	defer func() { slot.SetGenerated(p.offset - before) }()
	p.version = slot.Version
	req := generateRequest(r, slot.Version, p.offset)
	logger := d.logger.With("request_id", r.ID, "attempt_id", req.AttemptID, "target", slot.Target)
	d.ejection.Begin(slot.Target)
	stream, err := d.engines.Generate(ctx, slot.Address, req)
	if err != nil {
		logger.Info("attempt not started", "reason", err)
		return d.startFailed(ctx, slot, req.AttemptID, p, err)
	}
	p.mayHaveRun = true
	err = d.relay(stream, slot.RecordFirstToken, p, sink)
	d.finishAttempt(ctx, slot, stream, req.AttemptID, p, err)
	if err == nil {
		return nil
	}
	logger.Info("attempt interrupted", "reason", err, "offset", p.offset)
	if flushErr := sinkError(sink.Flush()); flushErr != nil {
		return flushErr
	}
	return err
}

// acquire acquires a slot of an engine that is neither in p.tried nor ejected.
// After exclusionTimeout it accepts any engine.
func (d *Dispatcher) acquire(ctx context.Context, r *request.Request, p *progress) (*scheduler.Slot, error) {
	exclude := append(d.ejection.All(), p.tried...)
	if len(exclude) == 0 {
		return d.scheduler.Acquire(ctx, r, nil)
	}
	shortCtx, cancel := context.WithTimeout(ctx, exclusionTimeout)
	defer cancel()
	slot, err := d.scheduler.Acquire(shortCtx, r, exclude)
	if err == nil || ctx.Err() != nil {
		return slot, err
	}
	return d.scheduler.Acquire(ctx, r, nil)
}

// checkPermitted returns an error if r must not be sent any more. It is called
// with the slot acquired, immediately before the request is sent.
func checkPermitted(r *request.Request) error {
	if err := r.Ticket.Check(); err != nil {
		return err
	}
	if r.Permit != nil {
		return r.Permit.Check()
	}
	return nil
}

// startFailed records an attempt that the engine refused or did not respond to.
// It returns err, as a finalError if the request is invalid.
func (d *Dispatcher) startFailed(ctx context.Context, slot *scheduler.Slot, attemptID string, p *progress, err error) error {
	p.tried = append(p.tried, slot.Target)
	if certainlyNotRun(err) {
		d.counters.attempts.WithLabelValues(resultNotRun).Inc()
	} else {
		p.mayHaveRun = true
		d.counters.attempts.WithLabelValues(resultBroken).Inc()
		d.cancel(ctx, slot.Address, attemptID)
	}
	switch {
	case failure.Is(err, failure.BadRequest):
		d.ejection.Abandoned(slot.Target)
		return &finalError{err}
	case ctx.Err() != nil, failure.Is(err, failure.NoReplica), failure.Is(err, failure.Overloaded):
		d.ejection.Abandoned(slot.Target)
	default:
		d.ejection.Failed(slot.Target)
	}
	return err
}

// certainlyNotRun reports whether err, returned by EngineClient.Generate, proves
// that the attempt has not run.
func certainlyNotRun(err error) bool {
	var notSent *engine.NotSentError
	return errors.As(err, &notSent) || failure.From(err).Answer().NotRun
}

// finishAttempt closes the stream of an attempt, records the result and cancels
// unfinished work at the engine.
func (d *Dispatcher) finishAttempt(ctx context.Context, slot *scheduler.Slot, stream *engine.Stream, attemptID string, p *progress, err error) {
	_ = stream.Close()
	if n := stream.DroppedFrames(); n > 0 {
		d.counters.dropped.WithLabelValues(droppedOtherAttempt).Add(float64(n))
	}
	if stream.Stalled() {
		d.counters.stalled.Inc()
	}
	switch {
	case err == nil:
		d.counters.attempts.WithLabelValues(resultFinished).Inc()
		d.ejection.Succeeded(slot.Target)
		return
	case failure.Is(err, failure.Canceled), ctx.Err() != nil:
		d.counters.attempts.WithLabelValues(resultCanceled).Inc()
		d.ejection.Abandoned(slot.Target)
	default:
		d.counters.attempts.WithLabelValues(resultBroken).Inc()
		d.ejection.Failed(slot.Target)
		p.tried = append(p.tried, slot.Target)
	}
	d.cancel(ctx, slot.Address, attemptID)
}

// cancel cancels an attempt at its engine in the background. Closing the
// connection is not enough, since the engine cannot detect it if the network is
// broken.
func (d *Dispatcher) cancel(ctx context.Context, addr netip.AddrPort, attemptID string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
		defer cancel()
		if err := d.engines.Cancel(ctx, addr, attemptID); err != nil {
			d.logger.Debug("failed to cancel attempt", "attempt_id", attemptID, "reason", err)
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

// relay copies frames from the stream to the sink and calls onFirstFrame at the
// first one. Frames that the caller already received are dropped. A frame that
// skips tokens fails the attempt, so that the next one resumes at the offset.
func (d *Dispatcher) relay(stream *engine.Stream, onFirstFrame func(), p *progress, sink Sink) error {
	var f engine.Frame
	for receivedFirst := false; ; {
		if err := stream.Next(&f); err != nil {
			return err
		}
		if !receivedFirst {
			receivedFirst = true
			onFirstFrame()
		}
		switch {
		case f.Done && f.Offset == p.offset:
			return sinkError(sink.Finish(f.FinishReason, f.Usage))
		case f.Done || f.Offset > p.offset:
			return failure.New(failure.TargetFailed, "the engine sent offset %d, expected %d", f.Offset, p.offset)
		case f.Offset < p.offset:
			d.counters.dropped.WithLabelValues(droppedDuplicate).Inc()
			continue
		}
		if err := sinkError(sink.Token(f.Text)); err != nil {
			return err
		}
		p.offset++
		if !stream.WouldBlock() {
			continue
		}
		if err := sinkError(sink.Flush()); err != nil {
			return err
		}
	}
}

// sinkError converts an error of a sink, if any, to a final error of kind
// Canceled.
func sinkError(err error) error {
	if err == nil {
		return nil
	}
	return &finalError{failure.Wrap(failure.Canceled, err, "the caller disconnected")}
}
