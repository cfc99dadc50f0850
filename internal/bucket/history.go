package bucket

// historySize bounds the marks that a bucket keeps.
const historySize = 64

// mark is the headroom of the bucket right before a change.
type mark struct {
	number   uint64
	headroom float64
}

// history keeps the marks that bound later settlements: a mark is dropped
// when a later one has less headroom.
type history struct {
	marks [historySize]mark
	n     int
}

func (h *history) add(number uint64, headroom float64) {
	for h.n > 0 && h.marks[h.n-1].headroom >= headroom {
		h.n--
	}
	if h.n == historySize {
		h.merge()
	}
	h.marks[h.n] = mark{number: number, headroom: headroom}
	h.n++
}

// merge halves the marks. Of two neighbours the later number stays with the
// lesser headroom, which returns less and never more.
func (h *history) merge() {
	for i := range historySize / 2 {
		h.marks[i] = mark{
			number:   h.marks[2*i+1].number,
			headroom: h.marks[2*i].headroom,
		}
	}
	h.n = historySize / 2
}

// restore returns how much of tokens the bucket would still hold had the
// charge after mark number left them there, and corrects the marks.
func (h *history) restore(number uint64, tokens float64) float64 {
	for i := range h.n {
		m := &h.marks[i]
		if m.number <= number {
			continue
		}
		tokens = min(tokens, m.headroom)
		m.headroom -= tokens
	}
	return tokens
}
