package share

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// moveInterval is the least time between two moves by one gateway.
	moveInterval = time.Second
	// moveParts is the least worth moving, unless it is all there is.
	moveParts = Whole / 20
	// leastMoved is the least that one peer is given of a move; below it,
	// the peer goes on pulling tokens.
	leastMoved = Whole / 200
	// idleDemand is the demand in tokens a second below which a gateway
	// needs no share.
	idleDemand = 0.5
	// silenceMargin lengthens the bound for clocks that differ in speed.
	silenceMargin = 1.25
)

// Proposal is a row to be swapped in.
type Proposal struct {
	// Row is the new content, to be written only over Expect.
	Row    Row
	Expect int64

	// keep is what the gateway uses until the outcome is known; claimed are
	// the parts it would gain from holders that cannot be asked.
	keep    int64
	before  int64
	claimed int64
	tokens  float64
	at      time.Time
}

// Outcome tells what became of a swap.
type Outcome int

// The outcomes of a swap.
const (
	// Written means that the row was written at the version told.
	Written Outcome = iota
	// NotWritten means that it certainly was not and never will be.
	NotWritten
	// Unknown means that it may have been, or may still be.
	Unknown
)

// Propose returns the next swap that the gateway wants, if any. Its own use is
// lowered by then. Tell the outcome by Swapped.
func (s *Share) Propose(now time.Time) (p *Proposal, ok bool) {
	if s.pending != nil {
		return s.pending, s.uncertain
	}
	if !s.read && s.version == 0 {
		return nil, false
	}
	s.expire(now)
	p = s.next(now)
	if p == nil {
		return nil, false
	}
	p.Expect = s.version
	p.before = s.inUse
	p.at = now
	s.pending = p
	if p.keep < s.inUse {
		s.use(p.keep, now)
	}
	return p, true
}

// next returns the most urgent swap, or nil.
func (s *Share) next(now time.Time) *Proposal {
	if s.leaving {
		return s.giveAll(now)
	}
	steps := []func(time.Time) *Proposal{
		s.create, s.objectToSuspicion, s.succeed, s.claimFree, s.takeBack, s.rebalance,
	}
	for _, step := range steps {
		if p := step(now); p != nil {
			return p
		}
	}
	return nil
}

// create proposes the first row of a customer. Nobody has had a share before,
// so its whole burst is there.
func (s *Share) create(now time.Time) *Proposal {
	if s.version > 0 || !s.wanted(now) {
		return nil
	}
	p := &Proposal{keep: s.inUse}
	p.Row.add(s.self, Whole, s.burst)
	return p
}

func (s *Share) wanted(now time.Time) bool {
	return s.Demand(now) > idleDemand || s.demand.asked > 0
}

func (s *Share) objectToSuspicion(time.Time) *Proposal {
	if s.row.Suspect != s.self.Incarnation {
		return nil
	}
	p := s.unchanged()
	p.Row.Suspect = ""
	p.Row.Accuser = ""
	return p
}

// succeed takes over from earlier processes of the same name and address.
func (s *Share) succeed(time.Time) *Proposal {
	for i := range s.row.Holders {
		if h := &s.row.Holders[i]; s.self.succeeds(h) {
			return s.claim(h)
		}
	}
	return nil
}

// claimFree takes parts that nobody holds.
func (s *Share) claimFree(now time.Time) *Proposal {
	free := Whole - s.row.Held()
	if free <= 0 || s.version == 0 || !s.wanted(now) {
		return nil
	}
	p := s.unchanged()
	p.claimed = free
	p.Row.add(s.self, free, 0)
	return p
}

// takeBack takes the share of a silent holder: first it marks the row, so
// that a holder that reads it can object, and after the bound it swaps.
func (s *Share) takeBack(now time.Time) *Proposal {
	if s.witness == nil || !s.wanted(now) {
		return nil
	}
	for i := range s.row.Holders {
		h := &s.row.Holders[i]
		if h.Incarnation == s.self.Incarnation || !s.witness.Silent(h) {
			continue
		}
		if s.row.Suspect != h.Incarnation || s.row.Accuser != s.self.Incarnation {
			return s.suspect(h, now)
		}
		if now.Sub(s.markedAt) > time.Duration(silenceMargin*float64(s.bound)) {
			return s.claim(h)
		}
	}
	return nil
}

// suspect marks a silent holder, unless another gateway has just done so.
func (s *Share) suspect(h *Holder, now time.Time) *Proposal {
	if s.row.Suspect != "" && now.Sub(s.markedAt) <= time.Duration(2*silenceMargin*float64(s.bound)) {
		return nil
	}
	p := s.unchanged()
	p.Row.Suspect = h.Incarnation
	p.Row.Accuser = s.self.Incarnation
	return p
}

// claim takes the whole share of a holder that certainly uses it no more.
func (s *Share) claim(h *Holder) *Proposal {
	p := s.unchanged()
	p.claimed = h.Parts
	p.Row.remove(h.Incarnation)
	p.Row.add(s.self, h.Parts, 0)
	return p
}

func (s *Share) unchanged() *Proposal {
	return &Proposal{Row: s.row.clone(), keep: s.inUse}
}

// rebalance gives parts to peers that told their demand, so that the parts of
// all of them and of this gateway follow the demands.
func (s *Share) rebalance(now time.Time) *Proposal {
	if s.inUse == 0 || now.Sub(s.movedAt) < moveInterval || !s.Usable(now) {
		return nil
	}
	own := s.Demand(now)
	if own < idleDemand {
		own = 0
	}
	pool, demanded := s.inUse, own
	for _, w := range s.wants {
		h, _ := s.row.Holder(w.holder.Incarnation)
		pool += h.Parts
		demanded += w.demand
	}
	if demanded == own || demanded == 0 {
		return nil
	}
	target := int64(float64(pool) * own / demanded)
	surplus := s.inUse - max(target, s.leastKept(now))
	if surplus < min(moveParts, s.inUse) {
		return nil
	}
	return s.give(surplus, pool, demanded, now)
}

// leastKept returns the parts whose burst covers the tokens that are lent.
func (s *Share) leastKept(now time.Time) int64 {
	lent := s.bucket.Lent(now)
	if lent == 0 || s.burst == 0 {
		return 0
	}
	return min(s.inUse, int64(math.Ceil(lent/s.burst*Whole)))
}

// give moves parts, with their part of the tokens, to the peers that lack
// them most.
func (s *Share) give(surplus, pool int64, demanded float64, now time.Time) *Proposal {
	lacks := map[string]int64{}
	var lacking int64
	for id, w := range s.wants {
		h, _ := s.row.Holder(id)
		if lack := int64(float64(pool)*w.demand/demanded) - h.Parts; lack > 0 {
			lacks[id] = lack
			lacking += lack
		}
	}
	if lacking == 0 {
		return nil
	}
	p := s.unchanged()
	moved := s.move(p, lacks, min(surplus, lacking), lacking, now)
	if moved == 0 {
		return nil
	}
	s.movedAt = now
	return p
}

// move gives the peers their proportion of surplus.
func (s *Share) move(p *Proposal, lacks map[string]int64, surplus, lacking int64, now time.Time) int64 {
	level := s.bucket.Level(now)
	var moved int64
	for _, id := range slices.Sorted(maps.Keys(lacks)) {
		parts := int64(math.Ceil(float64(surplus) * float64(lacks[id]) / float64(lacking)))
		parts = min(parts, surplus-moved)
		if parts < min(leastMoved, surplus) {
			continue
		}
		tokens := s.bucket.Withdraw(level*float64(parts)/float64(s.inUse), now)
		p.Row.add(s.wants[id].holder, parts, tokens)
		p.tokens += tokens
		moved += parts
	}
	p.keep = s.inUse - moved
	p.Row.setParts(s.self.Incarnation, p.keep)
	return moved
}

// giveAll gives the whole share to the peer with the highest demand, or else
// to the largest holder, or else to nobody.
func (s *Share) giveAll(now time.Time) *Proposal {
	mine, ok := s.row.Holder(s.self.Incarnation)
	if !ok {
		return nil
	}
	p := s.unchanged()
	p.keep = 0
	p.Row.remove(s.self.Incarnation)
	heir, found := s.heir()
	if found && s.bucket.Lent(now) == 0 {
		p.tokens = s.bucket.Withdraw(s.bucket.Level(now), now)
		p.Row.add(heir, mine.Parts, p.tokens)
	}
	return p
}

func (s *Share) heir() (h Holder, found bool) {
	highest := 0.0
	for _, w := range s.wants {
		if w.demand > highest {
			highest = w.demand
			h = w.holder
			found = true
		}
	}
	if found {
		return h, true
	}
	for _, peer := range s.Peers() {
		if peer.Parts > h.Parts {
			h = peer
		}
	}
	return h, h.Parts > 0
}

// setParts sets the parts of a holder and removes it when it has none.
func (r *Row) setParts(incarnation string, parts int64) {
	if parts == 0 {
		r.remove(incarnation)
		return
	}
	if i := r.index(incarnation); i >= 0 {
		r.Holders[i].Parts = parts
	}
}

// Swapped takes in the outcome of the proposed swap.
func (s *Share) Swapped(outcome Outcome, version int64, now time.Time) {
	p := s.pending
	if p == nil {
		return
	}
	switch {
	case outcome == Written:
		s.adopt(p.Row, version, now)
	case outcome == Unknown || s.uncertain:
		s.uncertain = true
	default:
		s.restore(p, now)
	}
}

// restore undoes what a proposal that was not written took away.
func (s *Share) restore(p *Proposal, now time.Time) {
	s.pending = nil
	if p.before > s.inUse {
		s.use(p.before, now)
	}
	lost := s.bucket.Refill() * now.Sub(p.at).Seconds()
	s.bucket.Fill(max(0, p.tokens-lost), now)
}
