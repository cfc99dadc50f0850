// Package fleetview keeps this VM's view of the targets (their weights, load,
// cached prompt prefixes and failures) and chooses a target for each request.
// The view may be out of date: a target may still reject the request.
package fleetview

import (
	"math/rand/v2"
	"sort"
	"strconv"
	"sync"
	"time"

	"fireflypier.example/fireflypier/internal/rendezvous"
	"fireflypier.example/fireflypier/internal/serving/evacuation"
	"fireflypier.example/fireflypier/internal/serving/mesh/meshpb"
	"fireflypier.example/fireflypier/internal/serving/policy"
	"fireflypier.example/fireflypier/internal/serving/spillover"
	"fireflypier.example/fireflypier/internal/serving/target"
)

// Cost estimates with which Choose compares targets.
const (
	// prefillTokensPerMillisecond is the prefill speed of an engine with a pace
	// and a slowdown of one.
	prefillTokensPerMillisecond = 36.0
	// stepCost is the time of one step of an engine, sequenceCost the time that
	// each running sequence adds to it.
	stepCost     = 6 * time.Millisecond
	sequenceCost = 300 * time.Microsecond
	// slotCost is the wait for a slot per request beyond the target's slots.
	slotCost = 40 * time.Millisecond
	// memoryCost is the wait for memory at an engine whose requests need twice
	// its memory; the wait is in proportion to the excess.
	memoryCost = 2500 * time.Millisecond
	// failureCost is the cost at a failure rate of 1.
	failureCost = 900 * time.Millisecond
	// crossDataCentreCost is added for a target in another data centre: one
	// round trip.
	crossDataCentreCost = 6 * time.Millisecond
	// unseenPrefixShare is the share of a prompt's prefix that counts as cached
	// at its preferred engine while no part of it is recorded as cached there;
	// see preferred.
	unseenPrefixShare = 0.35
	// cacheShare is the share of an engine's memory that is assumed to hold
	// cached prompts.
	cacheShare = 0.8
	// serviceTime is the assumed processing time of one request at a plain
	// service.
	serviceTime = 30 * time.Millisecond
)

// Requirements describes a request for the choice of a target.
type Requirements struct {
	// Pool is the pool to choose from, Model and Adapter name the weights that
	// the target must hold; they are empty for a plain service.
	Pool           *policy.Pool
	Model, Adapter string
	// PromptTokens is the length of the prompt, AnswerTokens the maximum length
	// of the answer.
	PromptTokens, AnswerTokens int
	// Rank is the request's rank, 0 to policy.MaxRank.
	Rank int
	// Late is set if the request goes after all others: more urgent ones that come later
	// delay it, so that its time says nothing of the target's pace.
	Late bool
	// Chain has the hashes of the prompt's prefixes (see ChainHashes),
	// ChainTokens the length of each prompt part.
	Chain       []uint32
	ChainTokens []int
	// Exclude lists the ids of targets that must not be chosen.
	Exclude []string
	// Arrival is when the request arrived. Objective is its time from then until the first
	// event or the answer, MaxGap the longest pause between two events that counts as in
	// time. The choice does not consider pauses if one of the latter two is zero.
	Arrival           time.Time
	Objective, MaxGap time.Duration
	// Bytes is the size of the request with its expected answer.
	Bytes int
	// MaxCallWait is the longest time for which the request may wait for a call to a
	// target that limits them.
	MaxCallWait time.Duration
}

// Choice is the result of Choose.
type Choice struct {
	// Target is nil if no target can serve the request now.
	Target *target.Target
	// Expected is the estimated time from the call until the first event or the answer.
	Expected time.Duration
	// Cached is the estimated number of prompt tokens in the target's cache.
	Cached int
	// Probe is set if no request is known to be outstanding at the target and this VM
	// may send it one that it seems too slow for. Of the VMs that choose at the same
	// time, about one may.
	Probe bool
	// Room is set if Target has a free slot, and memory, and no prompt waits there.
	Room bool
	// Candidates counts the targets that could serve the request, WithModel
	// those that hold at least its model, InPool those of the pool that accept
	// work. WithModel is 0 for a plain service.
	Candidates, WithModel, InPool int
	// Returns is the earliest time at which a target that wants no request now, or whose
	// limit allows none, takes requests again; zero if there is no such target.
	Returns time.Time
	// Waiting counts such targets.
	Waiting int
	// Limit is the limit of Target, CallWait the time until it may allow the request.
	Limit    target.Limit
	CallWait time.Duration
	// MaxCallWait is the longest time for which the request may wait for that call. CallAt
	// is the earliest time that may be reserved for it, which the receiver of the choice sets.
	MaxCallWait time.Duration
	CallAt      time.Time
	// Evacuated counts the targets of the pool in evacuated data centres.
	Evacuated int
	// Extra is the part of the target's cost that is not time until the first event: for
	// failures, stalls and pauses, and the random part.
	Extra time.Duration
	// ownShare is the part of Expected that the work of the request itself takes.
	ownShare float64
	// Spillover states whether the request leaves the data centre and why; nil without a
	// decision.
	Spillover spillover.Decision
}

// excludeUntil records that a target takes no request before a time.
func (c *Choice) excludeUntil(t time.Time) {
	c.Waiting++
	if c.Returns.IsZero() || t.Before(c.Returns) {
		c.Returns = t
	}
}

// View is this VM's view of the targets. Its methods are safe for concurrent
// use.
type View struct {
	dataCentre string

	mu      sync.Mutex
	targets map[string]*state
	// sends has the latest sends for peers, lastSend is the number of the last
	// one.
	sends    []recentSend
	lastSend int64
	changed  chan struct{}
	herding  herding
	// paces are by pool, sizes by size of the weights.
	paces map[string]*pace
	sizes map[sizeKey]*sizePace
	// modelsOf has the sizes of the models by pool.
	modelsOf map[string]modelSizes
	// marks are by target; markVersion is the number of their changes.
	marks       map[string]*mark
	markVersion int64
	cold        cold
	evacuation  *evacuation.Register
	// spillover is nil if the data centre of a target only adds to its cost.
	spillover *spillover.Balancer
	// othersAt is when the loads of the other VMs last came, as of the first choice after
	// it; othersNew is set until then.
	othersAt  time.Time
	othersNew bool
}

// Option sets an optional property of a View.
type Option func(*View)

// WithRandom sets the source of the random parts of choices. The default one is seeded
// at random.
func WithRandom(random *rand.Rand) Option {
	return func(v *View) { v.herding = newHerding(random) }
}

// New returns an empty view for a VM in a data centre.
func New(dataCentre string, options ...Option) *View {
	v := &View{
		dataCentre: dataCentre,
		targets:    make(map[string]*state),
		changed:    make(chan struct{}),
		paces:      make(map[string]*pace),
		sizes:      make(map[sizeKey]*sizePace),
		modelsOf:   make(map[string]modelSizes),
		marks:      make(map[string]*mark),
		cold:       cold{zones: make(map[string]*zone)},
		evacuation: evacuation.New(false),
		herding:    newHerding(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
	}
	for _, o := range options {
		o(v)
	}
	return v
}

// Set adds a target or replaces its row. It reports whether the target is new or
// has another incarnation or address, which resets all other state of it.
func (v *View) Set(t *target.Target) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	defer v.notify()
	s := v.targets[t.ID]
	if s == nil || s.target.Born != t.Born || s.target.Address != t.Address {
		v.targets[t.ID] = newState(t)
		return true
	}
	s.target = t
	return false
}

// Remove removes a target; unknown ids are ignored.
func (v *View) Remove(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.targets, id)
	v.notify()
}

func (v *View) notify() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change of the targets or
// of the weights that they hold.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// Targets returns all known targets, ordered by id. Those that have said that they leave, and
// those in evacuated data centres, are draining.
func (v *View) Targets() []*target.Target {
	v.mu.Lock()
	defer v.mu.Unlock()
	all := make([]*target.Target, 0, len(v.targets))
	for _, s := range v.targets {
		t := s.target
		if (v.stateMark(s).leaves() || v.evacuated(t)) && !t.Draining {
			draining := *t
			draining.Draining = true
			t = &draining
		}
		all = append(all, t)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all
}

// Target returns the target with an id; ok is false if there is none.
func (v *View) Target(id string) (t *target.Target, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s, ok := v.targets[id]
	if !ok {
		return nil, false
	}
	return s.target, true
}

// SetInventory sets the weights of an engine as reported by the leader, the VM
// that sends orders to engines, and the models that it will have loaded. Reports
// on unknown targets or other incarnations are ignored.
func (v *View) SetInventory(id string, born int64, held []target.LoadedModel, coming []target.ComingModel, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.targets[id]
	if s == nil || s.target.Born != born {
		return
	}
	s.inventory, s.inventoryAt = held, now
	s.coming = make(map[string]time.Time, len(coming))
	for _, c := range coming {
		s.coming[c.Model] = now.Add(c.Remaining)
	}
	v.notify()
}

// ExtendInventory renews the validity of all reported inventories. It is called
// while the leader is live, since the leader sends only changes.
func (v *View) ExtendInventory(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, s := range v.targets {
		if !s.inventoryAt.IsZero() {
			s.inventoryAt = now
		}
	}
}

// SetFleet sets the number of VMs that choose targets, and the age at which their loads
// are known here.
func (v *View) SetFleet(choosers int, age time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.herding.choosers, v.herding.age = choosers, age
}

// SetOtherLoads replaces the outstanding load of all other VMs by what has come from them.
func (v *View) SetOtherLoads(loads []*meshpb.Load) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.othersNew = true
	v.setOtherLoads(loads)
}

// RepeatOtherLoads sets the loads of the other VMs again while nothing has come from them:
// the view does not become newer.
func (v *View) RepeatOtherLoads(loads []*meshpb.Load) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.setOtherLoads(loads)
}

func (v *View) setOtherLoads(loads []*meshpb.Load) {
	for _, s := range v.targets {
		s.others = load{}
	}
	for _, l := range loads {
		if s := v.targets[l.GetTarget()]; s != nil {
			s.others = loadFromWire(l)
		}
	}
}

// AddPeerSends records the prompts that other VMs have sent as cached at their
// targets. below is set if they come from a VM that reports to this one: they are then
// passed on to all peers, and otherwise only to the VMs that report to this one.
func (v *View) AddPeerSends(sends []*meshpb.Send, below bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, send := range sends {
		s := v.targets[send.GetTarget()]
		if s == nil || len(send.GetParts()) != len(send.GetTokens()) {
			continue
		}
		tokens := make([]int, len(send.GetTokens()))
		for i, n := range send.GetTokens() {
			tokens[i] = int(n)
		}
		s.prefixes.add(send.GetParts(), tokens, defaultCacheTokens)
		v.recordSend(send, below)
	}
}

// defaultCacheTokens is the assumed cache size where the engine's memory size is
// not available.
const defaultCacheTokens = 200_000

// Loads returns this VM's outstanding load, by target.
func (v *View) Loads() []*meshpb.Load {
	v.mu.Lock()
	defer v.mu.Unlock()
	var loads []*meshpb.Load
	for id, s := range v.targets {
		if s.own.requests.total() > 0 {
			loads = append(loads, s.own.wire(id))
		}
	}
	return loads
}

// Requests returns the number of outstanding requests of all VMs at a target.
func (v *View) Requests(id string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.targets[id]
	if s == nil {
		return 0
	}
	total := s.total()
	return total.requests.total()
}

// maxRecentSends is the number of recent sends that are kept for peers. It covers the
// sends of a large fleet for a few exchanges.
const maxRecentSends = 1024

// recentSend is a prompt that was sent to an engine. below is set if this VM or one
// that reports to it sent the prompt.
type recentSend struct {
	send  *meshpb.Send
	below bool
}

// SendsAfter returns the recorded sends with a number above seen, and the number of the
// last one. It leaves out those of other hubs unless all is set. Older sends may have
// been discarded.
func (v *View) SendsAfter(seen int64, all bool) (sends []*meshpb.Send, upto int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	missing := min(max(0, v.lastSend-seen), int64(len(v.sends)))
	for _, s := range v.sends[int64(len(v.sends))-missing:] {
		if all || s.below {
			sends = append(sends, s.send)
		}
	}
	return sends, v.lastSend
}

func (v *View) recordSend(send *meshpb.Send, below bool) {
	v.lastSend++
	if len(v.sends) >= maxRecentSends {
		v.sends = append([]recentSend(nil), v.sends[len(v.sends)-maxRecentSends/2:]...)
	}
	v.sends = append(v.sends, recentSend{send, below})
}

// Choose returns the target with the lowest cost for a request: the expected time plus
// a penalty for the target's failure rate, and a random part against herds. With a
// balancer, that is the best target at home or the best one away.
func (v *View) Choose(r *Requirements, now time.Time) Choice {
	v.mu.Lock()
	defer v.mu.Unlock()
	var c Choice
	var b best
	var free alternatives
	eligible := v.eligible(r, &c, now)
	preferredID := preferred(r, eligible)
	pace := v.modelPace(r.Pool, r.Model)
	spread := time.Duration(pace.ahead * float64(v.herding.spread(pace.scale(r.PromptTokens), len(eligible), now)))
	choice := v.herding.random.Uint64()
	var p priced
	for _, s := range eligible {
		if !v.consider(&p, &c, s, r, &pace, preferredID, now) {
			continue
		}
		v.herding.generator.Seed(choice, s.hash)
		p.addRandom(r, &v.herding, spread)
		free.add(p.limit, p.cost)
		b.add(&p.pick, v.isAway(s.target))
	}
	cost := v.decide(&c, &b, r, pace.own, choice, now)
	c.MaxCallWait = free.maxWait(&c, cost, r.MaxCallWait)
	c.Probe = c.Probe && v.herding.mayProbe()
	return c
}

// eligible returns the targets of the pool that accept work and hold the
// weights. It sets c.InPool and c.WithModel.
func (v *View) eligible(r *Requirements, c *Choice, now time.Time) []*state {
	var eligible []*state
	for _, s := range v.targets {
		if s.target.Pool != r.Pool.Name {
			continue
		}
		exclusion := v.ineligible(s, r, now)
		c.count(exclusion, r.Pool)
		if exclusion == NotExcluded {
			eligible = append(eligible, s)
		}
	}
	return eligible
}

// expected returns the estimated time until the first event or the answer, the part of
// it that the work of the request itself takes at an engine, and the estimated number of
// prompt tokens in the engine's cache. It has no random part.
func (v *View) expected(s *state, total *load, r *Requirements, pace *modelPace, preferred bool, now time.Time) (t, own time.Duration, cached int) {
	if s.target.DataCentre != v.dataCentre {
		t += crossDataCentreCost
	}
	requests := total.requests.total()
	if r.Pool.Engine == nil {
		t += serviceTime * time.Duration(1+requests/max(1, s.target.Slots))
		// Spreads the load among targets at the same distance.
		t += time.Duration(requests) * time.Millisecond
		return t, 0, 0
	}
	cached = s.prefixes.cached(r.Chain, r.ChainTokens)
	if cached == 0 && preferred {
		for _, n := range r.ChainTokens[:max(0, len(r.ChainTokens)-1)] {
			cached += int(unseenPrefixShare * float64(n))
		}
	}
	uncached := max(0, r.PromptTokens-cached)
	slowdown := s.currentSlowdown(now)
	step := prefillTime(uncached) + stepCost + time.Duration(requests)*sequenceCost
	own = time.Duration(float64(step) * pace.own * slowdown)
	t += own + time.Duration(float64(prefillTime(total.prompt.ahead(r.Rank)))*pace.ahead*slowdown)
	if excess := total.requests.ahead(r.Rank) + 1 - s.target.Slots; excess > 0 {
		t += time.Duration(excess) * slotCost
	}
	excessTokens := total.kv.ahead(r.Rank) + r.PromptTokens + r.AnswerTokens - r.Pool.Engine.KVTokens
	if excessTokens > 0 {
		t += time.Duration(float64(excessTokens) / float64(r.Pool.Engine.KVTokens) * float64(memoryCost))
	}
	return t, own, cached
}

// prefillTime returns the time for a number of tokens at a pace and a slowdown of one.
func prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / prefillTokensPerMillisecond * float64(time.Millisecond))
}

// preferred returns the id of the engine that all VMs choose for a prompt prefix
// if the engines don't differ otherwise; empty if the prompt has no shared
// prefix.
func preferred(r *Requirements, eligible []*state) string {
	if len(r.Chain) < 2 {
		return ""
	}
	ids := make([]string, 0, len(eligible))
	for _, s := range eligible {
		ids = append(ids, s.target.ID)
	}
	shared := r.Chain[len(r.Chain)-2]
	return rendezvous.First(strconv.FormatUint(uint64(shared), 16), ids)
}

// AddAdapter records that an engine holds an adapter, until the next report of
// its inventory.
func (v *View) AddAdapter(id, model, adapter string, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.targets[id]
	if s == nil {
		return
	}
	delete(s.absent, model+"/"+adapter)
	held := make([]target.LoadedModel, 0, len(s.held(now)))
	for _, h := range s.held(now) {
		if h.Model == model && !h.HasAdapter(adapter) {
			h.Adapters = append(append([]string(nil), h.Adapters...), adapter)
		}
		held = append(held, h)
	}
	s.inventory, s.inventoryAt = held, now
}
