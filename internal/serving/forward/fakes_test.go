package forward_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/serving/exchange"
	"fireflypier.example/fireflypier/internal/serving/fleetview"
	"fireflypier.example/fireflypier/internal/serving/target"
	"fireflypier.example/fireflypier/internal/transport"
)

// reply is the scripted reaction of a target to one request.
type reply struct {
	status      int
	body        string
	breaks      bool
	notRun      bool
	refusal     bool
	misdirected bool
	leaving     bool
	distance    time.Duration
	limit       target.Limit
	cold        target.Cold
	err         error
	hang        bool
	// endless is repeated after body without end.
	endless string
	// stalls is set if nothing follows body until the attempt is canceled.
	stalls bool
	// ends is called when body has been read, unless it is nil.
	ends func()
}

// scriptedSender uses one of its replies for each send, and answers with status
// 200 when none is left.
type scriptedSender struct {
	mu       sync.Mutex
	replies  []reply
	attempts []exchange.Attempt
	// sent is called at each send, unless it is nil.
	sent func()
}

var errReset = errors.New("connection reset")

func (s *scriptedSender) Send(ctx context.Context, _ *exchange.Request, a *exchange.Attempt) (*exchange.Answer, error) {
	s.mu.Lock()
	s.attempts = append(s.attempts, *a)
	r := reply{status: http.StatusOK, body: "answer"}
	if len(s.replies) > 0 {
		r, s.replies = s.replies[0], s.replies[1:]
	}
	s.mu.Unlock()
	if s.sent != nil {
		s.sent()
	}
	if !transport.Allowed(ctx) {
		return nil, transport.NewNotSentError(errReset)
	}
	if r.hang {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if r.err != nil {
		return nil, r.err
	}
	var body io.Reader = strings.NewReader(r.body)
	if r.endless != "" {
		body = io.MultiReader(body, &endlessReader{text: strings.Repeat(r.endless, 4096)})
	}
	if r.ends != nil {
		body = io.MultiReader(body, hookReader(r.ends))
	}
	if r.stalls {
		body = io.MultiReader(body, stalledReader{ctx})
	}
	if r.breaks {
		body = io.MultiReader(body, brokenReader{})
	}
	return &exchange.Answer{
		Status: r.status, Header: http.Header{"X-Target": {a.Target.ID}}, Body: io.NopCloser(contextReader{ctx, body}),
		NotRun: r.notRun, Refusal: r.refusal, Misdirected: r.misdirected, Signed: !r.notRun && !r.misdirected,
		Marks: target.Marks{Leaving: r.leaving, Distance: r.distance, Limit: r.limit, Cold: r.cold},
	}, nil
}

// endlessReader repeats a text.
type endlessReader struct {
	text string
	at   int
}

func (r *endlessReader) Read(p []byte) (int, error) {
	n := copy(p, r.text[r.at:])
	r.at = (r.at + n) % len(r.text)
	return n, nil
}

// hookReader is called at its end.
type hookReader func()

func (r hookReader) Read([]byte) (int, error) {
	r()
	return 0, io.EOF
}

// contextReader fails once its context has ended, as the body of an HTTP answer does.
type contextReader struct {
	ctx context.Context
	r   io.Reader
}

func (r contextReader) Read(p []byte) (int, error) {
	if err := r.ctx.Err(); err != nil {
		return 0, err
	}
	return r.r.Read(p)
}

type stalledReader struct{ ctx context.Context }

func (r stalledReader) Read([]byte) (int, error) {
	<-r.ctx.Done()
	return 0, r.ctx.Err()
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// fakePlacer has the engine engineID load every adapter; it fails while engineID
// is empty. waiting counts requests whose weights no engine has loaded, demand the others.
type fakePlacer struct {
	view     *fleetview.View
	engineID string
	waiting  int
	demand   int
	// running must be zero again when all requests have ended.
	running int
}

func (s *fakePlacer) RecordDemand(_, _, _ string, _ int, waits bool) {
	if waits {
		s.waiting++
		return
	}
	s.demand++
}

func (s *fakePlacer) AddRunning(_, _, _ string, change int) { s.running += change }

func (s *fakePlacer) LoadAdapter(_ context.Context, _, model, adapter string) (string, error) {
	if s.engineID == "" {
		return "", errors.New("no engine can load the adapter")
	}
	s.view.AddAdapter(s.engineID, model, adapter, time.Now())
	return s.engineID, nil
}
