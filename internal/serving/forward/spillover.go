package forward

import "fireflypier.example/fireflypier/internal/serving/fleetview"

const (
	// answerBytesPerToken is the assumed size of an event of a stream, which has a token.
	answerBytesPerToken = 64
	// plainAnswerBytes is the assumed size of the answer of a plain service: 0.5 to 4 KB.
	plainAnswerBytes = 2 << 10
)

// setSpillover sets what the decision whether the request leaves the data centre needs.
// Without an objective, the caller's patience is the time for the first event.
func (j *job) setSpillover() {
	answer := plainAnswerBytes
	if j.pool.Engine != nil {
		answer = j.r.AnswerTokens * answerBytesPerToken
	}
	objective := j.patience()
	if o := j.route.Objective; o > 0 {
		objective = min(objective, o)
	}
	j.want.Arrival, j.want.Objective, j.want.Bytes = j.r.Arrival, objective, len(j.r.Body)+answer
}

// countSpillover counts a request that leaves the data centre, and returns the value of
// the log field that states why it leaves or stays.
func (j *job) countSpillover(c *fleetview.Choice) string {
	if c.Spillover != nil && c.Spillover.Leaves() {
		j.f.Metrics.countLeaving(c.Spillover.Reason().String(), j.want.Bytes)
	}
	return spilloverName(c)
}

// spilloverName returns the name of the decision whether a request leaves, with its reason.
func spilloverName(c *fleetview.Choice) string {
	switch {
	case c.Spillover == nil:
		return "off"
	case c.Spillover.Leaves():
		return "leave_" + c.Spillover.Reason().String()
	}
	return "stay_" + c.Spillover.Reason().String()
}
