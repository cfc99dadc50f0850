package bucket

// maxCheckpoints bounds the marks that a bucket keeps.
const maxCheckpoints = 64

// checkpoint is the headroom of the bucket right before a change.
type checkpoint struct {
	change   uint64
	headroom float64
}

// history keeps the marks that bound later settlements: a mark is dropped
// when a later one has less headroom.
type history struct {
	checkpoints [maxCheckpoints]checkpoint
	n     int
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

// merge halves the marks. Of two neighbours the later number stays with the
// lesser headroom, which returns less and never more.
func (h *history) merge() {
	for i := range maxCheckpoints / 2 {
		h.checkpoints[i] = checkpoint{
			change:   h.checkpoints[2*i+1].change,
			headroom: h.checkpoints[2*i].headroom,
		}
	}
	h.n = maxCheckpoints / 2
}

// refund returns how much of tokens the bucket would still hold had the
// charge after mark number left them there, and corrects the marks.
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
