package bucket

// maxCheckpoints bounds the checkpoints that a bucket keeps.
const maxCheckpoints = 64

// checkpoint is the headroom of the bucket right before a change. Changes are
// numbered consecutively.
type checkpoint struct {
	change   uint64
	headroom float64
}

// history keeps the checkpoints that bound later refunds, in order of rising
// headroom: a checkpoint is dropped when a later one has at most its headroom.
type history struct {
	checkpoints [maxCheckpoints]checkpoint
	n           int
}

func (h *history) add(change uint64, headroom float64) {
	for h.n > 0 && h.checkpoints[h.n-1].headroom >= headroom {
		h.n--
	}
	if h.n == maxCheckpoints {
		h.merge()
	}
	h.checkpoints[h.n] = checkpoint{change: change, headroom: headroom}
	h.n++
}

// merge halves the number of checkpoints. Two neighbours become one with the
// later change number and the smaller headroom, so that refunds can become
// smaller but never larger.
func (h *history) merge() {
	for i := range maxCheckpoints / 2 {
		h.checkpoints[i] = checkpoint{
			change:   h.checkpoints[2*i+1].change,
			headroom: h.checkpoints[2*i].headroom,
		}
	}
	h.n = maxCheckpoints / 2
}

// refund returns how many of the tokens the bucket would still hold if the
// charge at that change had not taken them, and reduces the headroom of the
// later checkpoints by the tokens refunded.
func (h *history) refund(change uint64, tokens float64) float64 {
	for i := range h.n {
		c := &h.checkpoints[i]
		if c.change <= change {
			continue
		}
		tokens = min(tokens, c.headroom)
		c.headroom -= tokens
	}
	return tokens
}
