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

// openCustomer is the customer in claims of requests on open routes. It is not a
// valid customer name.
const openCustomer = "~open"

// runClaimed runs a request with an idempotency key at most once. Once the
// request is claimed, it continues after the caller disconnects, so that a
// repeated request receives the answer.
func (s *Routes) runClaimed(ex *exchange, timeout time.Duration) (used bool, err error) {
	if err := s.readWhole(ex); err != nil {
		return false, err
	}
	waitCtx, cancelWait := context.WithTimeout(ex.r.Context(), timeout)
	defer cancelWait()
	held, recorded, err := s.config.Claims.Claim(waitCtx, claimRequest(ex, timeout))
	if err != nil {
		return false, err
	}
	if recorded != nil {
		ex.w.Header().Set(headerRequestID, ex.r.Header.Get(headerRequestID))
		recorded.Write(ex.w)
		return false, nil
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ex.r.Context()), timeout)
	defer cancel()
	return s.runOnce(ctx, ex, held)
}

func claimRequest(ex *exchange, timeout time.Duration) *claim.Request {
	customer := ex.ticket.Customer
	if customer == "" {
		customer = openCustomer
	}
	return &claim.Request{
		Customer: customer,
		ID:       ex.r.Header.Get(headerIdempotency),
		Digest:   digest(ex.r, ex.body.whole),
		Hold:     timeout,
	}
}

// digest returns the hash that identifies a request. A claim refuses a repeated
// idempotency key whose request has another digest.
func digest(r *http.Request, body []byte) string {
	h := sha256.New()
	_, _ = io.WriteString(h, r.Method+"\x00"+r.URL.RequestURI()+"\x00"+r.Header.Get("Content-Type")+"\x00")
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// runOnce sends a claimed request and records its outcome before the caller
// receives it.
func (s *Routes) runOnce(ctx context.Context, ex *exchange, held *claim.Claim) (used bool, err error) {
	ex.check = func() error {
		if err := ex.ticket.Check(); err != nil {
			return err
		}
		return held.Check()
	}
	resp, err := s.send(ctx, ex)
	if err != nil {
		if failure.From(err).Answer().NotRun {
			held.Release(context.WithoutCancel(ctx))
			return false, err
		}
		held.Unknown(context.WithoutCancel(ctx))
		return true, err
	}
	defer resp.close()
	return true, s.record(ctx, ex, held, resp)
}

// record records the response and sends it to the caller. A body larger than
// MaxRecordedBytes is omitted from the record.
func (s *Routes) record(ctx context.Context, ex *exchange, held *claim.Claim, resp *targetResponse) error {
	head, err := io.ReadAll(io.LimitReader(resp.Body, int64(s.config.MaxRecordedBytes)+1))
	if err != nil {
		held.Unknown(context.WithoutCancel(ctx))
		return failure.Wrap(failure.OutcomeUnknown, err, "the response of the target was interrupted")
	}
	recorded := &recording.Answer{Status: resp.StatusCode, Header: http.Header{}}
	copyHeaders(recorded.Header, resp.Header)
	recorded.Header.Del("Content-Length")
	recorded.Header.Del(headerRequestID)
	if len(head) <= s.config.MaxRecordedBytes {
		recorded.Body = head
		held.Answered(ctx, recorded)
		ex.w.Header().Set(headerRequestID, ex.r.Header.Get(headerRequestID))
		s.writeWhole(ex.w, recorded)
		return nil
	}
	recorded.Omitted = true
	held.Answered(ctx, recorded)
	rest := resp.Body
	defer func() { _ = rest.Close() }()
	resp.Body = io.NopCloser(io.MultiReader(bytes.NewReader(head), rest))
	s.deliver(ex, resp)
	return nil
}

func (s *Routes) writeWhole(w http.ResponseWriter, resp *recording.Answer) {
	_ = http.NewResponseController(w).SetWriteDeadline(s.config.Clock.Now().Add(s.config.WriteTimeout))
	resp.Write(w)
}
