package plainroute

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"time"

	"fireflypier.example/fireflypier/internal/claim"
	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/recording"
)

// openCustomer stands in claims for the callers of open routes; no customer
// can have the name.
const openCustomer = "~open"

// runClaimed carries a request that runs at most once under its id. It goes
// on when the caller leaves, so that a repeat receives the answer.
func (s *Routes) runClaimed(p *passage, timeout time.Duration) (used bool, err error) {
	if err := s.readWhole(p); err != nil {
		return false, err
	}
	waiting, cancelWaiting := context.WithTimeout(p.r.Context(), timeout)
	defer cancelWaiting()
	held, recorded, err := s.parts.Claims.Claim(waiting, claimRequest(p, timeout))
	if err != nil {
		return false, err
	}
	if recorded != nil {
		p.w.Header().Set(headerRequestID, p.r.Header.Get(headerRequestID))
		recorded.Write(p.w)
		return false, nil
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(p.r.Context()), timeout)
	defer cancel()
	return s.runOnce(ctx, p, held)
}

func claimRequest(p *passage, timeout time.Duration) *claim.Request {
	customer := p.ticket.Customer
	if customer == "" {
		customer = openCustomer
	}
	return &claim.Request{
		Customer: customer,
		ID:       p.r.Header.Get(headerIdempotency),
		Digest:   digest(p.r, p.body.whole),
		Hold:     timeout,
	}
}

// digest names a request: an id that comes with another one is refused.
func digest(r *http.Request, body []byte) string {
	h := sha256.New()
	_, _ = io.WriteString(h, r.Method+"\x00"+r.URL.RequestURI()+"\x00"+r.Header.Get("Content-Type")+"\x00")
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// runOnce dispatches a claimed request and records its outcome before the
// caller sees it.
func (s *Routes) runOnce(ctx context.Context, p *passage, held *claim.Claim) (used bool, err error) {
	p.check = func() error {
		if err := p.ticket.Check(); err != nil {
			return err
		}
		return held.Check()
	}
	answer, err := s.send(ctx, p)
	if err != nil {
		if failure.From(err).Answer().NotRun {
			held.Release(context.WithoutCancel(ctx))
			return false, err
		}
		held.Unknown(context.WithoutCancel(ctx))
		return true, err
	}
	defer answer.close()
	return true, s.record(ctx, p, held, answer)
}

// record keeps the answer and gives it to the caller.
func (s *Routes) record(ctx context.Context, p *passage, held *claim.Claim, answer *targetAnswer) error {
	head, err := io.ReadAll(io.LimitReader(answer.Body, int64(s.parts.MaxRecordedBytes)+1))
	if err != nil {
		held.Unknown(context.WithoutCancel(ctx))
		return failure.Wrap(failure.OutcomeUnknown, err, "the target's answer broke off")
	}
	kept := &recording.Answer{Status: answer.StatusCode, Header: http.Header{}}
	copyHeaders(kept.Header, answer.Header)
	kept.Header.Del("Content-Length")
	kept.Header.Del(headerRequestID)
	if len(head) <= s.parts.MaxRecordedBytes {
		kept.Body = head
		held.Answered(ctx, kept)
		p.w.Header().Set(headerRequestID, p.r.Header.Get(headerRequestID))
		s.writeWhole(p.w, kept)
		return nil
	}
	kept.Omitted = true
	held.Answered(ctx, kept)
	rest := answer.Body
	defer func() { _ = rest.Close() }()
	answer.Body = io.NopCloser(io.MultiReader(bytes.NewReader(head), rest))
	s.deliver(p, answer)
	return nil
}

func (s *Routes) writeWhole(w http.ResponseWriter, answer *recording.Answer) {
	_ = http.NewResponseController(w).SetWriteDeadline(s.parts.Clock.Now().Add(s.parts.WriteTimeout))
	answer.Write(w)
}
