// Package workload describes the load that an experiment puts on gateways:
// customers, streams of requests with bursts and rushes, and a fixed seed.
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
	bytesPerToken      = 4
	defaultRetries     = 3
	defaultTimeout     = 30 * time.Second
	defaultFirstTarget = 890 * time.Millisecond
	defaultNextTarget  = 30 * time.Millisecond
)

// Workload is a load with a fixed seed.
type Workload struct {
	// Name is shown in results.
	Name string `json:"name"`
	// Seed fixes all arrivals, lengths and prompts.
	Seed uint64 `json:"seed"`
	// Duration is the time over which requests arrive.
	Duration time.Duration `json:"duration"`
	// FirstToken and BetweenTokens are the targets of attainment.
	FirstToken    time.Duration `json:"first_token_target,omitzero"`
	BetweenTokens time.Duration `json:"between_tokens_target,omitzero"`
	// Accelerators is the number behind the gateways.
	Accelerators int `json:"accelerators"`
	// Retries bounds how often a refusal that did not run is followed.
	Retries int `json:"retries,omitzero"`
	// Timeout bounds a request from its arrival, refusals followed included.
	Timeout time.Duration `json:"timeout,omitzero"`
	// Customers are the callers by name, Streams what they send.
	Customers map[string]Customer `json:"customers"`
	Streams   []Stream            `json:"streams"`
}

// Customer is one customer's callers.
type Customer struct {
	// Key is presented with each request.
	Key string `json:"key"`
	// DataCentre is where the callers are.
	DataCentre string `json:"data_centre,omitzero"`
	// TokensPerSecond and BurstTokens are the configured rate, by which
	// refusals inside the rate are told; zero tells none.
	TokensPerSecond float64 `json:"tokens_per_second,omitzero"`
	BurstTokens     float64 `json:"burst_tokens,omitzero"`
}

// Stream is one kind of request of one customer.
type Stream struct {
	// Name is unique; Customer names the sender.
	Name     string `json:"name"`
	Customer string `json:"customer"`
	// RequestsPerSecond is the mean of a Poisson process, before bursts and
	// rushes.
	RequestsPerSecond float64 `json:"requests_per_second"`
	// Bursts come every so often; Rushes have fixed times.
	Bursts Burst  `json:"bursts,omitzero"`
	Rushes []Rush `json:"rushes,omitzero"`
	// Class is the priority class; empty means the default.
	Class string `json:"class,omitzero"`
	// Model asks for a generation: PromptTokens of its own after
	// SharedTokens that it shares with others of the same of SharedPrefixes
	// groups, and AnswerTokens at most MaxTokens.
	Model          string `json:"model,omitzero"`
	PromptTokens   Length `json:"prompt_tokens,omitzero"`
	SharedTokens   int    `json:"shared_tokens,omitzero"`
	SharedPrefixes int    `json:"shared_prefixes,omitzero"`
	AnswerTokens   Length `json:"answer_tokens,omitzero"`
	MaxTokens      int    `json:"max_tokens,omitzero"`
	// Path asks for a plain service instead, BodyBytes long; CostTokens is
	// what the route charges.
	Path       string  `json:"path,omitzero"`
	BodyBytes  int     `json:"body_bytes,omitzero"`
	CostTokens float64 `json:"cost_tokens,omitzero"`
	// NotRepeatable is the part of the requests that must run at most once.
	NotRepeatable float64 `json:"not_repeatable,omitzero"`
}

// Burst multiplies the rate by Factor for the time For, every Every.
type Burst struct {
	Every  time.Duration `json:"every"`
	For    time.Duration `json:"for"`
	Factor float64       `json:"factor"`
}

// Rush multiplies the rate by Factor between two times.
type Rush struct {
	From   time.Duration `json:"from"`
	To     time.Duration `json:"to"`
	Factor float64       `json:"factor"`
}

// Length is an exponential distribution, cut off at Max.
type Length struct {
	Mean float64 `json:"mean"`
	Max  int     `json:"max"`
}

// Call is one request of a workload.
type Call struct {
	// ID is unique within the workload; At is when it arrives.
	ID string
	At time.Duration
	// Stream is what it belongs to.
	Stream *Stream
	// Prompt and AnswerTokens describe a generation, Body a plain request.
	Prompt       string
	AnswerTokens int
	Body         string
	// NotRepeatable marks a request that must run at most once.
	NotRepeatable bool
}

// Read reads and checks a workload file, JSON with comments. The errors are
// *document.Error and those of the file system.
func Read(file string) (*Workload, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read workload")
	}
	var w Workload
	if err := document.Decode(file, data, &w); err != nil {
		return nil, err
	}
	w.fill()
	return &w, w.check(file)
}

func (w *Workload) fill() {
	w.FirstToken = cmp.Or(w.FirstToken, defaultFirstTarget)
	w.BetweenTokens = cmp.Or(w.BetweenTokens, defaultNextTarget)
	w.Retries = cmp.Or(w.Retries, defaultRetries)
	w.Timeout = cmp.Or(w.Timeout, defaultTimeout)
	w.Accelerators = cmp.Or(w.Accelerators, 1)
}

func (w *Workload) check(file string) error {
	mistake := func(path, format string, args ...any) error {
		return &document.Error{File: file, Path: path, Message: fmt.Sprintf(format, args...)}
	}
	if w.Duration <= 0 {
		return mistake("/duration", "duration must be above zero")
	}
	names := map[string]bool{}
	for i := range w.Streams {
		s := &w.Streams[i]
		path := fmt.Sprintf("/streams/%d", i)
		switch {
		case s.Name == "" || names[s.Name]:
			return mistake(path+"/name", "stream names must be given and unique")
		case s.RequestsPerSecond <= 0:
			return mistake(path+"/requests_per_second", "requests_per_second must be above zero")
		case (s.Model == "") == (s.Path == ""):
			return mistake(path, "give either model or path")
		case s.Model != "" && s.MaxTokens < 1:
			return mistake(path+"/max_tokens", "max_tokens must be at least 1")
		}
		if _, ok := w.Customers[s.Customer]; !ok {
			return mistake(path+"/customer", "there is no customer %q", s.Customer)
		}
		names[s.Name] = true
	}
	return nil
}

// Calls returns the requests in the order of arrival; the same workload
// gives the same calls.
func (w *Workload) Calls() []Call {
	var calls []Call
	for i := range w.Streams {
		calls = append(calls, w.stream(&w.Streams[i])...)
	}
	slices.SortStableFunc(calls, func(a, b Call) int { return cmp.Compare(a.At, b.At) })
	return calls
}

// stream draws one stream's calls: a Poisson process at the highest rate, of
// which those are kept that the rate at their time allows.
func (w *Workload) stream(s *Stream) []Call {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(s.Name))
	random := rand.New(rand.NewPCG(w.Seed, hash.Sum64()))
	highest := s.RequestsPerSecond * s.highestFactor()
	var calls []Call
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / highest * float64(time.Second))
		if at >= w.Duration {
			return calls
		}
		if random.Float64()*highest > s.RequestsPerSecond*s.factor(at) {
			continue
		}
		calls = append(calls, w.call(s, at, len(calls), random))
	}
}

func (w *Workload) call(s *Stream, at time.Duration, number int, random *rand.Rand) Call {
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
	shared := words(fmt.Sprintf("%s group %d: ", s.Name, group), s.SharedTokens)
	c.Prompt = shared + words(c.ID+" ", s.PromptTokens.draw(random))
	return c
}

// Cost returns the tokens that a call is charged.
func (c *Call) Cost() float64 {
	if c.Stream.Path != "" {
		return c.Stream.CostTokens
	}
	return float64(len(c.Prompt)/bytesPerToken + c.Stream.MaxTokens)
}

// words returns text of a number of tokens that begins with start.
func words(start string, tokens int) string {
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

func (s *Stream) highestFactor() float64 {
	highest := max(1, s.Bursts.Factor)
	rush := 1.0
	for _, r := range s.Rushes {
		rush *= max(1, r.Factor)
	}
	return highest * rush
}

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
