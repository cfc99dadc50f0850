// Package dryrun defines the question where a request would go now, and its answer. The
// admin API of a node answers it; fireflypier where asks it and prints the answer.
package dryrun

import (
	"net/url"
	"strconv"
	"strings"
	"time"

	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/serving/exchange"
)

// Path is the path of the admin API that answers questions.
const Path = "/where"

// Question describes a request that is not sent.
type Question struct {
	// Host and Path select the route; the host has no port and is in lower case. Without
	// them, Pool selects the pool.
	Host, Path string
	// Pool selects one of the pools of the route.
	Pool           string
	Model, Adapter string
	// Customer is the name of the customer, never a key.
	Customer                   string
	PromptTokens, AnswerTokens int
	// TimeLimit is how long the caller waits; zero if it sets no limit.
	TimeLimit time.Duration
	// Prefix lists the parts of the prompt that may be shared. Without it, what is cached
	// of the prompt is not known.
	Prefix []exchange.PromptPart
}

// The parameters of a question in a URL.
const (
	paramHost, paramPath, paramPool   = "host", "path", "pool"
	paramModel, paramAdapter          = "model", "adapter"
	paramCustomer, paramTimeLimit     = "customer", "time_limit"
	paramPromptTokens, paramAnswerTok = "prompt_tokens", "answer_tokens"
	paramPrefix                       = "prefix"
)

// maxTokens bounds the size of a prompt and of an answer: a number above that is a mistake.
const maxTokens = 100_000_000

// Values returns the question as the parameters of a URL.
func (q *Question) Values() url.Values {
	v := make(url.Values)
	for name, value := range map[string]string{
		paramHost: q.Host, paramPath: q.Path, paramPool: q.Pool, paramModel: q.Model, paramAdapter: q.Adapter, paramCustomer: q.Customer,
	} {
		if value != "" {
			v.Set(name, value)
		}
	}
	v.Set(paramPromptTokens, strconv.Itoa(q.PromptTokens))
	v.Set(paramAnswerTok, strconv.Itoa(q.AnswerTokens))
	if q.TimeLimit != 0 {
		v.Set(paramTimeLimit, q.TimeLimit.String())
	}
	for _, p := range q.Prefix {
		v.Add(paramPrefix, p.ID+":"+strconv.Itoa(p.Tokens))
	}
	return v
}

// ParseQuestion is the inverse of Values. It refuses parameters that are unknown or not
// usable.
func ParseQuestion(v url.Values) (*Question, error) {
	q := &Question{}
	for name, values := range v {
		for _, value := range values {
			if err := q.set(name, value); err != nil {
				return nil, err
			}
		}
	}
	return q, nil
}

func (q *Question) set(name, value string) (err error) {
	switch name {
	case paramHost:
		q.Host = value
	case paramPath:
		q.Path = value
	case paramPool:
		q.Pool = value
	case paramModel:
		q.Model = value
	case paramAdapter:
		q.Adapter = value
	case paramCustomer:
		q.Customer = value
	case paramPromptTokens:
		q.PromptTokens, err = parseTokens(name, value)
	case paramAnswerTok:
		q.AnswerTokens, err = parseTokens(name, value)
	case paramTimeLimit:
		q.TimeLimit, err = time.ParseDuration(value)
		if err != nil || q.TimeLimit <= 0 {
			return failure.New(failure.BadRequest, "%s %q is not a duration above zero, such as 1.5s", name, value)
		}
	case paramPrefix:
		var p exchange.PromptPart
		p, err = ParsePart(value)
		q.Prefix = append(q.Prefix, p)
	default:
		return failure.New(failure.BadRequest, "unknown parameter %q", name)
	}
	return err
}

// ParsePart returns the part of a prompt that is written as ID:TOKENS.
func ParsePart(text string) (exchange.PromptPart, error) {
	i := strings.LastIndexByte(text, ':')
	if i <= 0 {
		return exchange.PromptPart{}, failure.New(failure.BadRequest, "%s %q is not ID:TOKENS", paramPrefix, text)
	}
	tokens, err := parseTokens(paramPrefix, text[i+1:])
	return exchange.PromptPart{ID: text[:i], Tokens: tokens}, err
}

func parseTokens(name, value string) (int, error) {
	n, err := strconv.Atoi(value)
	if err != nil || n < 0 || n > maxTokens {
		return 0, failure.New(failure.BadRequest, "%s %q is not a number of tokens", name, value)
	}
	return n, nil
}
