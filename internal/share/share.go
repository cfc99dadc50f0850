// Package share is the protocol by which gateways divide the rate of one
// customer: pure decisions, without sockets, files or timers. The caller
// passes in the time, reads and swaps the share row, and carries tokens
// between gateways.
//
// The holders' parts of a row add up to one whole at most, and each gateway
// uses at most the parts that the row gives it: who gives lowers its own use
// before the swap, who receives begins when it has seen the row.
package share

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"fireflypier.example/fireflypier/internal/bucket"
)

// FailureDetector tells what the members of a region know of each other's silence.
type FailureDetector interface {
	// LastQuorum returns when the last exchange began in which a majority of
	// the own region, this process included, answered this process. A
	// member that has given its word for the silence of an incarnation must
	// not answer it from then on, nor may a member answer within the bound
	// after its own start, since it forgot what its predecessor gave.
	LastQuorum() time.Time
	// Silent reports whether a majority of the holder's region gives its
	// word that it has not heard the incarnation for at least the bound. A
	// member can give its word only when its own start is longer ago.
	Silent(h *Holder) bool
}

// Share is one gateway's part in the rate of one customer. It is not safe for
// use by several goroutines. Times passed to it must not go backwards.
type Share struct {
	self    Holder
	silenceBound   time.Duration
	failureDetector FailureDetector
	terminated    func(h *Holder) bool
	standby func() (h Holder, ok bool)

	bucket bucket.Bucket
	rate   float64
	burst  float64
	inUse  int64

	row     Row
	version int64
	storeRead    bool
	readAt  time.Time
	// confirmedAt is when the share was last known to be the gateway's own.
	confirmedAt time.Time
	// entryNumber numbers the own entry that received and receivedLent belong to.
	entryNumber   int64
	mergedTokens float64
	// mergedLent belongs to received.
	mergedLent float64
	pending      *Proposal
	outcomeUnknown    bool
	suspicionChangedAt     time.Time
	movedPartsAt      time.Time

	demand  demandEstimate
	peerDemands   map[string]peerDemand
	leaving bool
}

// Option changes a Share under construction.
type Option func(*Share)

// WithFailureDetector lets shares of silent holders be taken back. A gateway then
// uses its share only while it has seen its row, or was answered by a
// majority of its region, within the bound. Without a witness the share of a
// holder stays its own until a later process of its name and address reads
// the row.
func WithFailureDetector(d FailureDetector, silenceBound time.Duration) Option {
	return func(s *Share) {
		s.failureDetector = d
		s.silenceBound = silenceBound
	}
}

// WithTerminated lets shares be taken back at once from holders whose process has
// certainly ended.
func WithTerminated(terminated func(h *Holder) bool) Option {
	return func(s *Share) { s.terminated = terminated }
}

// WithStandby names a gateway that gets a part without any demand while this
// one is the only holder, so that the loss of one gateway never leaves the
// customer nothing. reserve reports false when there is no other gateway.
func WithStandby(standby func() (h Holder, ok bool)) Option {
	return func(s *Share) { s.standby = standby }
}

// New returns the share of a gateway that holds nothing yet.
func New(self Holder, opts ...Option) *Share {
	s := &Share{
		self: self, peerDemands: map[string]peerDemand{},
		terminated:    func(*Holder) bool { return false },
		standby: func() (Holder, bool) { return Holder{}, false },
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// SetRate sets the customer's whole rate in tokens a second and its burst in
// tokens.
func (s *Share) SetRate(rate, burst float64, now time.Time) {
	s.rate = rate
	s.burst = burst
	s.bucket.SetRate(rate, burst, now)
}

// RecordDemand counts tokens that a request asks for towards the demand.
func (s *Share) RecordDemand(tokens float64, now time.Time) { s.demand.add(tokens, now) }

// Take charges a request; ok is false when the tokens are not there. While the
// share is not usable, only borrowed tokens count.
func (s *Share) Take(tokens float64, now time.Time) (c bucket.Charge, ok bool) {
	if s.Available(now) < tokens {
		return bucket.Charge{}, false
	}
	return s.bucket.Take(tokens, now)
}

// Settle returns what the request of c did not use.
func (s *Share) Settle(c bucket.Charge, used float64, now time.Time) {
	s.bucket.Settle(c, used, now)
}

// Available returns the tokens that a request can take.
func (s *Share) Available(now time.Time) float64 {
	if !s.Usable(now) {
		return s.bucket.Borrowed(now)
	}
	return s.bucket.Available(now)
}

// Usable reports whether nobody can have taken the share back. Once the bound
// has passed without a proof, only a new read of the row makes it usable.
func (s *Share) Usable(now time.Time) bool {
	if s.failureDetector == nil {
		return true
	}
	if s.row.Suspect == s.self.Incarnation || now.Sub(s.confirmedAt) > s.silenceBound {
		return false
	}
	if answered := s.failureDetector.LastQuorum(); answered.After(s.confirmedAt) {
		s.confirmedAt = answered
	}
	return true
}

// LendTo answers a peer that lacks tokens and tells its demand. It lends all
// that the peer lacks or nothing, unless the peer takes a part; available
// tells what was there.
func (s *Share) LendTo(to Holder, tokens, demand float64, partial bool, now time.Time) (lent, available float64) {
	s.peerDemands[to.Incarnation] = peerDemand{holder: to, demand: demand, reportedAt: now}
	if !s.Usable(now) {
		return 0, 0
	}
	available = s.bucket.Level(now)
	if available < tokens && !partial {
		return 0, available
	}
	return s.bucket.Lend(tokens, now), available
}

// AddBorrowed adds the tokens of a peer's answer to a question. asked is a time
// before the question was sent; the tokens expire bucket.LoanLifetime later.
func (s *Share) AddBorrowed(tokens float64, requestedAt, now time.Time) {
	s.bucket.Borrow(tokens, requestedAt.Add(bucket.LoanLifetime), now)
}

// Observe takes in the row as it was at a version; a row that does not exist
// has version zero. readAt is when the read began, or zero for a row that a
// peer told.
func (s *Share) Observe(row Row, version int64, readAt, now time.Time) {
	if version < s.version {
		return
	}
	if !readAt.IsZero() {
		s.storeRead = true
		s.readAt = readAt
		if row.Suspect != s.self.Incarnation && readAt.After(s.confirmedAt) {
			s.confirmedAt = readAt
		}
	}
	if version > s.version {
		s.applyRow(row, version, now)
	}
}

// applyRow puts a newer row in force. Whatever was pending can no longer take
// effect, since it expected the older version.
func (s *Share) applyRow(row Row, version int64, now time.Time) {
	claimed := s.pending != nil && s.pending.claimedParts > 0
	s.pending = nil
	s.outcomeUnknown = false
	if row.Suspect != s.row.Suspect || row.Accuser != s.row.Accuser {
		s.suspicionChangedAt = now
	}
	s.row = row
	s.version = version
	mine, _ := row.Holder(s.self.Incarnation)
	gained := mine.Parts - s.inUse
	s.setInUse(mine.Parts, now)
	if mine.Joined != s.entryNumber {
		s.bucket.Clear(now)
		s.entryNumber = mine.Joined
		s.mergedTokens = 0
		s.mergedLent = 0
	}
	if gained > 0 && claimed {
		s.bucket.AssumeLent(fractionOf(gained), now)
	}
	s.bucket.Merge(max(0, mine.Received-s.mergedTokens), max(0, mine.Lent-s.mergedLent), now)
	s.mergedTokens = mine.Received
	s.mergedLent = mine.Lent
}

// setInUse sets the parts that the gateway uses.
func (s *Share) setInUse(parts int64, now time.Time) {
	s.inUse = parts
	s.bucket.SetFraction(fractionOf(parts), now)
}

func fractionOf(parts int64) float64 { return float64(parts) / TotalParts }

// Leave makes the gateway give its share away and ask for none.
func (s *Share) Leave() { s.leaving = true }

// State is what dumps and metrics show of a share.
type State struct {
	// Parts is the gateway's share out of Whole, as it uses it now.
	Parts int64 `json:"parts"`
	// Tokens are there now; Lent bounds the value of those at peers.
	Tokens float64 `json:"tokens"`
	Lent   float64 `json:"lent"`
	// Demand is in tokens a second.
	Demand float64 `json:"demand"`
	// Row and Version are the newest that the gateway knows.
	Row     Row   `json:"row"`
	Version int64 `json:"version"`
	// Pending tells that a swap has no known outcome.
	Pending bool `json:"pending"`
}

// State returns the present state.
func (s *Share) State(now time.Time) State {
	return State{
		Parts:   s.inUse,
		Tokens:  s.Available(now),
		Lent:    s.bucket.Lent(now),
		Demand:  s.Demand(now),
		Row:     s.row.clone(),
		Version: s.version,
		Pending: s.pending != nil,
	}
}

// Demand returns the tokens a second that requests ask for here.
func (s *Share) Demand(now time.Time) float64 {
	s.demand.closeSample(now)
	return s.demand.rate
}

// Parts returns the share out of Whole that the gateway uses.
func (s *Share) Parts() int64 { return s.inUse }

// Version returns the version of the newest known row, and whether the store
// was ever read.
func (s *Share) Version() (version int64, read bool) { return s.version, s.storeRead }

// Pending reports whether the outcome of a swap is not known yet.
func (s *Share) Pending() bool { return s.pending != nil }

// ReadAt returns when the last read of the row began.
func (s *Share) ReadAt() time.Time { return s.readAt }

// Peers returns the other holders: those of the own region first, and of these
// the largest.
func (s *Share) Peers() []Holder {
	peers := make([]Holder, 0, len(s.row.Holders))
	for _, h := range s.row.Holders {
		if h.Incarnation != s.self.Incarnation && h.Parts > 0 {
			peers = append(peers, h)
		}
	}
	slices.SortStableFunc(peers, func(a, b Holder) int {
		return cmp.Or(s.distance(&a)-s.distance(&b), cmp.Compare(b.Parts, a.Parts))
	})
	return peers
}

func (s *Share) distance(h *Holder) int {
	if h.Region == s.self.Region {
		return 0
	}
	return 1
}

// Row returns the newest known row.
func (s *Share) Row() Row { return s.row.clone() }

// expirePeerDemands forgets demands of peers that are old.
func (s *Share) expirePeerDemands(now time.Time) {
	maps.DeleteFunc(s.peerDemands, func(_ string, w peerDemand) bool { return now.Sub(w.reportedAt) > peerDemandLifetime })
}
