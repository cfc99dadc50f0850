// Package workload describes a workload for gateways and draws its requests:
// customers, and streams of requests with bursts and rushes. The same seed
// always gives the same requests.
package workload

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/document"
)

const (
	bytesPerToken        = 4
	defaultRetries       = 3
	defaultTimeout       = 30 * time.Second
	defaultFirstToken    = 890 * time.Millisecond
	defaultBetweenTokens = 30 * time.Millisecond
)

// Workload is a workload file.
type Workload struct {
	// Name is shown in results.
	Name string `json:"name"`
	// Seed determines all arrivals, lengths and prompts.
	Seed uint64 `json:"seed"`
	// Duration is the time over which requests arrive.
	Duration time.Duration `json:"duration"`
	// FirstToken and BetweenTokens are the latency targets that a request must
	// meet to count as attained; zero selects a default.
	FirstToken    time.Duration `json:"first_token_target,omitzero"`
	BetweenTokens time.Duration `json:"between_tokens_target,omitzero"`
	// Accelerators is the number of accelerators that serve the gateways; zero
	// means 1.
	Accelerators int `json:"accelerators"`
	// Retries is the maximum number of retries of a request that was refused
	// without running; zero selects a default.
	Retries int `json:"retries,omitzero"`
	// Timeout limits a request from its arrival, including retries; zero selects
	// a default.
	Timeout time.Duration `json:"timeout,omitzero"`
	// Customers are the callers by customer name, Streams their requests.
	Customers map[string]Customer `json:"customers"`
	Streams   []Stream            `json:"streams"`
}

// Customer describes the callers of one customer.
type Customer struct {
	// Key is the API key of each request.
	Key string `json:"key"`
	// DataCentre is the data centre of the callers.
	DataCentre string `json:"data_centre,omitzero"`
	// TokensPerSecond and BurstTokens are the customer's configured rate, by
	// which refusals inside the rate are found. With zero, no refusal counts as
	// inside the rate.
	TokensPerSecond float64 `json:"tokens_per_second,omitzero"`
	BurstTokens     float64 `json:"burst_tokens,omitzero"`
}

// Stream is one kind of request of one customer.
type Stream struct {
	// Name is unique; Customer is the name of the sending customer.
	Name     string `json:"name"`
	Customer string `json:"customer"`
	// RequestsPerSecond is the mean of a Poisson process, before bursts and
	// rushes.
	RequestsPerSecond float64 `json:"requests_per_second"`
	// Bursts are periodic; Rushes have fixed times.
	Bursts Burst  `json:"bursts,omitzero"`
	Rushes []Rush `json:"rushes,omitzero"`
	// Class is the priority class; empty selects the default.
	Class string `json:"class,omitzero"`
	// Model makes the requests generations by this model. A prompt starts with
	// SharedTokens tokens, the same for all requests of one of SharedPrefixes
	// groups, followed by PromptTokens of its own. AnswerTokens is the length
	// of the answer, limited to MaxTokens.
	Model          string `json:"model,omitzero"`
	PromptTokens   Length `json:"prompt_tokens,omitzero"`
	SharedTokens   int    `json:"shared_tokens,omitzero"`
	SharedPrefixes int    `json:"shared_prefixes,omitzero"`
	AnswerTokens   Length `json:"answer_tokens,omitzero"`
	MaxTokens      int    `json:"max_tokens,omitzero"`
	// Path makes them requests to a plain service instead, with bodies of at
	// least BodyBytes bytes; CostTokens is the charge of the route.
	Path       string  `json:"path,omitzero"`
	BodyBytes  int     `json:"body_bytes,omitzero"`
	CostTokens float64 `json:"cost_tokens,omitzero"`
	// NotRepeatable is the fraction of the requests that must run at most once.
	NotRepeatable float64 `json:"not_repeatable,omitzero"`
}

// Burst multiplies the request rate by Factor during the first For of each period
// Every.
type Burst struct {
	Every  time.Duration `json:"every"`
	For    time.Duration `json:"for"`
	Factor float64       `json:"factor"`
}

// Rush multiplies the request rate by Factor from From until before To, counted
// from the start of the workload.
type Rush struct {
	From   time.Duration `json:"from"`
	To     time.Duration `json:"to"`
	Factor float64       `json:"factor"`
}

// Length is an exponential distribution of lengths in tokens, limited to Max if
// that is above zero. With a Mean of zero each length is 1.
type Length struct {
	Mean float64 `json:"mean"`
	Max  int     `json:"max"`
}

// Call is one request of a workload.
type Call struct {
	// ID is unique within the workload; At is the arrival time, counted from
	// the start of the workload.
	ID string
	At time.Duration
	// Stream is the stream that the call belongs to.
	Stream *Stream
	// Prompt and AnswerTokens are set for a generation, Body for a request to
	// a plain service.
	Prompt       string
	AnswerTokens int
	Body         string
	// NotRepeatable marks a request that must run at most once.
	NotRepeatable bool
}

// Read reads and validates a workload file, JSON with comments, and sets
// defaults. A file that is invalid gives a *document.Error; other errors are
// those of reading the file.
func Read(file string) (*Workload, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read workload")
	}
	var w Workload
	if err := document.Decode(file, data, &w); err != nil {
		return nil, err
	}
	w.setDefaults()
	return &w, w.check(file)
}

func (w *Workload) setDefaults() {
	w.FirstToken = cmp.Or(w.FirstToken, defaultFirstToken)
	w.BetweenTokens = cmp.Or(w.BetweenTokens, defaultBetweenTokens)
	w.Retries = cmp.Or(w.Retries, defaultRetries)
	w.Timeout = cmp.Or(w.Timeout, defaultTimeout)
	w.Accelerators = cmp.Or(w.Accelerators, 1)
}

func (w *Workload) check(file string) error {
	invalid := func(path, format string, args ...any) error {
		return &document.Error{File: file, Path: path, Message: fmt.Sprintf(format, args...)}
	}
	if w.Duration <= 0 {
		return invalid("/duration", "duration must be above zero")
	}
	names := map[string]bool{}
	for i := range w.Streams {
		s := &w.Streams[i]
		path := fmt.Sprintf("/streams/%d", i)
		switch {
		case s.Name == "" || names[s.Name]:
			return invalid(path+"/name", "stream names must be set and unique")
		case s.RequestsPerSecond <= 0:
			return invalid(path+"/requests_per_second", "requests_per_second must be above zero")
		case (s.Model == "") == (s.Path == ""):
			return invalid(path, "set either model or path")
		case s.Model != "" && s.MaxTokens < 1:
			return invalid(path+"/max_tokens", "max_tokens must be at least 1")
		}
		if _, ok := w.Customers[s.Customer]; !ok {
			return invalid(path+"/customer", "unknown customer %q", s.Customer)
		}
		names[s.Name] = true
	}
	return nil
}

// Calls draws the requests of the workload and returns them in order of arrival;
// the same workload always gives the same calls.
func (w *Workload) Calls() []Call {
	var calls []Call
	for i := range w.Streams {
		calls = append(calls, w.drawStream(&w.Streams[i])...)
	}
	slices.SortStableFunc(calls, func(a, b Call) int { return cmp.Compare(a.At, b.At) })
	return calls
}

// drawStream draws the calls of one stream by thinning: arrivals of a Poisson
// process at the peak rate are kept with the probability of the current rate
// divided by the peak rate.
func (w *Workload) drawStream(s *Stream) []Call {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(s.Name))
	random := rand.New(rand.NewPCG(w.Seed, hash.Sum64()))
	peakRate := s.RequestsPerSecond * s.maxFactor()
	var calls []Call
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / peakRate * float64(time.Second))
		if at >= w.Duration {
			return calls
		}
		if random.Float64()*peakRate > s.RequestsPerSecond*s.factor(at) {
			continue
		}
		calls = append(calls, w.drawCall(s, at, len(calls), random))
	}
}

func (w *Workload) drawCall(s *Stream, at time.Duration, number int, random *rand.Rand) Call {
	c := Call{
		ID:     fmt.Sprintf("%s-%d-%06d", s.Name, w.Seed, number),
		At:     at,
		Stream: s, NotRepeatable: random.Float64() < s.NotRepeatable,
	}
	if s.Path != "" {
		c.Body = c.ID + strings.Repeat(".", max(0, s.BodyBytes-len(c.ID)))
		return c
	}
	c.AnswerTokens = min(s.AnswerTokens.draw(random), s.MaxTokens)
	group := random.IntN(max(1, s.SharedPrefixes))
	shared := repeatText(fmt.Sprintf("%s group %d: ", s.Name, group), s.SharedTokens)
	c.Prompt = shared + repeatText(c.ID+" ", s.PromptTokens.draw(random))
	return c
}

// Cost returns the number of tokens that a call takes from its customer's rate.
func (c *Call) Cost() float64 {
	if c.Stream.Path != "" {
		return c.Stream.CostTokens
	}
	return float64(len(c.Prompt)/bytesPerToken + c.Stream.MaxTokens)
}

// repeatText repeats start to a length of the given number of tokens.
func repeatText(start string, tokens int) string {
	length := tokens * bytesPerToken
	return strings.Repeat(start, length/len(start)+1)[:length]
}

func (l Length) draw(random *rand.Rand) int {
	if l.Mean == 0 {
		return 1
	}
	n := 1 + int(random.ExpFloat64()*l.Mean)
	if l.Max > 0 {
		n = min(n, l.Max)
	}
	return n
}

// maxFactor returns an upper bound of factor.
func (s *Stream) maxFactor() float64 {
	burst := max(1, s.Bursts.Factor)
	rush := 1.0
	for _, r := range s.Rushes {
		rush *= max(1, r.Factor)
	}
	return burst * rush
}

// factor returns the multiplier of the request rate at a time.
func (s *Stream) factor(at time.Duration) float64 {
	factor := 1.0
	if s.Bursts.Every > 0 && at%s.Bursts.Every < s.Bursts.For {
		factor = s.Bursts.Factor
	}
	for _, r := range s.Rushes {
		if at >= r.From && at < r.To {
			factor *= r.Factor
		}
	}
	return factor
}
