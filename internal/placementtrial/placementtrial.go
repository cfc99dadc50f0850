// Package placementtrial compares placement policies in simulated time: it runs
// the planning code of the controller, or a baseline, against modelled engines, a
// modelled weight store and bursty demand. Only cmd/placement-trial uses it.
package placementtrial

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Deployment holds the parameters of a simulated deployment.
type Deployment struct {
	// Name is shown in the results.
	Name string
	// Engines and Models are the numbers of engines and models; each engine has
	// one accelerator.
	Engines, Models int
	// LoadsPerSecond and LoadsAtOnce are the limits of the weight store.
	LoadsPerSecond float64
	LoadsAtOnce    int
	// Fill is the fraction of all engine memory that two replicas of every
	// model take.
	Fill float64
	// Customers holds the fraction of the requests that each customer sends.
	Customers []float64
}

// Deployments returns the parameters of the two existing deployments, with the
// given Fill.
func Deployments(fill float64) []Deployment {
	deployments := []Deployment{
		{Name: "bor-zachodni", Engines: 9, Models: 17, LoadsPerSecond: 1, LoadsAtOnce: 2, Customers: []float64{0.45, 0.3, 0.12, 0.08, 0.05}},
		{Name: "wasm-collective", Engines: 12, Models: 15, LoadsPerSecond: 1.5, LoadsAtOnce: 5, Customers: []float64{0.4, 0.35, 0.12, 0.08, 0.05}},
	}
	for i := range deployments {
		deployments[i].Fill = fill
	}
	return deployments
}

const (
	gib                   = int64(1) << 30
	engineMemory          = 80 * gib
	engineTokensPerSecond = 2500.0
	// loadTime is the time of one load while at most LoadsAtOnce are running.
	loadTime = 6 * time.Second
	// firstTokenBound is the maximum time to the first token of an attained
	// request.
	firstTokenBound = 890 * time.Millisecond
	tick            = 100 * time.Millisecond
	// utilization is the mean demand as a fraction of the engines' capacity.
	utilization   = 0.45
	meanTokens    = 400.0
	shiftInterval = 10 * time.Minute
	rushFactor    = 6.0
)

// Result holds the measurements of one simulation.
type Result struct {
	// Requests counts the requests, Attained those with a time to the first
	// token within the bound.
	Requests, Attained int
	// PerAccelerator is the number of attained requests per accelerator and
	// hour.
	PerAccelerator float64
	// WorstAttainment is the attained fraction of the requests of the
	// worst-served customer.
	WorstAttainment float64
	// Moves counts loads after the first minute.
	Moves int
	// Waited counts requests that waited because no engine had loaded their
	// model.
	Waited int
	// Commits counts the planner's ledger transactions, Loads all loads.
	Commits int64
	Loads   int
	// P99 is the 99th percentile of the time to the first token.
	P99 time.Duration
}

// Placer is a placement policy: it decides which models the engines of a
// simulation hold.
type Placer interface {
	// Step is called in each tick, after its requests have arrived.
	Step(sim *Simulation)
	// OnRequest is called for each request before it is given to an engine.
	OnRequest(sim *Simulation, model int, tokens float64)
}

// Simulation is a simulated deployment.
type Simulation struct {
	// Now is the simulated time.
	Now time.Time
	// Deployment holds the parameters, Sizes the memory of each model in bytes.
	Deployment Deployment
	Sizes      []int64

	random    *rand.Rand
	engines   []*modelledEngine
	store     weightStore
	rates     []float64
	targets   []float64
	waiting   []*pending
	start     time.Time
	result    Result
	delays    []time.Duration
	attained  []int
	requested []int
}

// modelledEngine processes requests one at a time, in order of arrival.
type modelledEngine struct {
	held      map[int]*replica
	busyUntil time.Time
}

// replica is a model on an engine. It can serve requests from the time ready.
type replica struct {
	ready    time.Time
	lastUsed time.Time
}

type pending struct {
	at       time.Time
	model    int
	customer int
	tokens   float64
}

// weightStore starts loads at a limited rate. With more than LoadsAtOnce running,
// a new load takes proportionally longer.
type weightStore struct {
	next    time.Time
	running []time.Time
}

// load starts a load and returns the time at which it is complete.
func (s *weightStore) load(now time.Time, d *Deployment) time.Time {
	s.running = slices.DeleteFunc(s.running, func(t time.Time) bool { return !t.After(now) })
	begin := now
	if s.next.After(begin) {
		begin = s.next
	}
	s.next = begin.Add(time.Duration(float64(time.Second) / d.LoadsPerSecond))
	slow := max(1, float64(len(s.running)+1)/float64(d.LoadsAtOnce))
	ready := begin.Add(time.Duration(float64(loadTime) * slow))
	s.running = append(s.running, ready)
	return ready
}

// Run simulates a deployment with a placement policy for length of simulated
// time. The same seed gives the same requests to every policy.
func Run(d Deployment, p Placer, length time.Duration, seed uint64) Result {
	sim := newSimulation(d, seed)
	for sim.Now.Sub(sim.start) < length {
		sim.shiftDemand()
		sim.arrive(p)
		p.Step(sim)
		sim.placeWaiting()
		sim.Now = sim.Now.Add(tick)
	}
	if planned, ok := p.(*Planned); ok {
		sim.result.Commits = planned.Commits()
	}
	return sim.finish(length)
}

func newSimulation(d Deployment, seed uint64) *Simulation {
	sim := &Simulation{
		Now: time.Unix(1_000_000, 0), Deployment: d, random: rand.New(rand.NewPCG(seed, 1)),
		rates: make([]float64, d.Models), targets: make([]float64, d.Models),
		attained: make([]int, len(d.Customers)), requested: make([]int, len(d.Customers)),
	}
	sim.start = sim.Now
	for range d.Engines {
		sim.engines = append(sim.engines, &modelledEngine{held: map[int]*replica{}})
	}
	mean := d.Fill * float64(engineMemory) * float64(d.Engines) / float64(2*d.Models)
	for i := range d.Models {
		sim.Sizes = append(sim.Sizes, int64(mean*(0.6+0.8*float64(i%5)/4)))
		sim.rates[i] = sim.draw()
		sim.targets[i] = sim.rates[i]
	}
	return sim
}

// draw returns a relative request rate between 1 and 10.
func (sim *Simulation) draw() float64 { return math.Pow(10, sim.random.Float64()) }

// shiftDemand moves the request rate of each model towards a target, which is
// drawn anew every shiftInterval at a different time for each model.
func (sim *Simulation) shiftDemand() {
	at := sim.Now.Sub(sim.start)
	for i := range sim.targets {
		offset := time.Duration(i) * shiftInterval / time.Duration(len(sim.targets))
		if (at+offset)%shiftInterval == 0 {
			sim.targets[i] = sim.draw()
		}
		sim.rates[i] += (sim.targets[i] - sim.rates[i]) * tick.Seconds() / 60
	}
}

// demandFactor returns the present multiplier of a model's request rate. In each
// hour, a sixth of the models has a rush in the ten minutes from minute 30, and
// another sixth in those from minute 40.
func (sim *Simulation) demandFactor(model int) float64 {
	minute := int(sim.Now.Sub(sim.start).Minutes()) % 60
	if minute >= 30 && minute < 50 && model%6 == (minute-30)/10 {
		return rushFactor
	}
	return 1
}

// arrive draws the requests of a tick. The mean total work is constant; only its
// distribution over the models changes.
func (sim *Simulation) arrive(p Placer) {
	var total float64
	for i := range sim.rates {
		total += sim.rates[i] * sim.demandFactor(i)
	}
	work := utilization * engineTokensPerSecond * float64(len(sim.engines)) * tick.Seconds()
	for i := range sim.rates {
		mean := work * sim.rates[i] * sim.demandFactor(i) / total / meanTokens
		for range sim.poisson(mean) {
			sim.request(p, i)
		}
	}
}

// poisson draws from a Poisson distribution.
func (sim *Simulation) poisson(mean float64) int {
	limit, n, product := math.Exp(-mean), 0, sim.random.Float64()
	for product > limit {
		n++
		product *= sim.random.Float64()
	}
	return n
}

func (sim *Simulation) request(p Placer, model int) {
	r := &pending{at: sim.Now, model: model, customer: sim.customer(), tokens: sim.random.ExpFloat64() * meanTokens}
	sim.result.Requests++
	sim.requested[r.customer]++
	p.OnRequest(sim, model, r.tokens)
	if !sim.place(r) {
		sim.result.Waited++
		sim.waiting = append(sim.waiting, r)
	}
}

func (sim *Simulation) customer() int {
	point := sim.random.Float64()
	for i, share := range sim.Deployment.Customers {
		if point -= share; point < 0 {
			return i
		}
	}
	return len(sim.Deployment.Customers) - 1
}

// place gives a request to the loaded replica whose engine has the least queued
// work. It reports whether there is one.
func (sim *Simulation) place(r *pending) bool {
	var best *modelledEngine
	for _, e := range sim.engines {
		h, ok := e.held[r.model]
		if !ok || h.ready.After(sim.Now) {
			continue
		}
		if best == nil || e.busyUntil.Before(best.busyUntil) {
			best = e
		}
	}
	if best == nil {
		return false
	}
	begin := sim.Now
	if best.busyUntil.After(begin) {
		begin = best.busyUntil
	}
	best.held[r.model].lastUsed = sim.Now
	best.busyUntil = begin.Add(time.Duration(r.tokens / engineTokensPerSecond * float64(time.Second)))
	sim.recordDelay(r, begin.Sub(r.at))
	return true
}

func (sim *Simulation) recordDelay(r *pending, delay time.Duration) {
	sim.delays = append(sim.delays, delay)
	if delay <= firstTokenBound {
		sim.result.Attained++
		sim.attained[r.customer]++
	}
}

// placeWaiting gives waiting requests to replicas that have been loaded.
func (sim *Simulation) placeWaiting() {
	sim.waiting = slices.DeleteFunc(sim.waiting, sim.place)
}

func (sim *Simulation) finish(length time.Duration) Result {
	r := sim.result
	r.PerAccelerator = float64(r.Attained) / float64(len(sim.engines)) / length.Hours()
	r.WorstAttainment = 1
	for i, requested := range sim.requested {
		r.WorstAttainment = min(r.WorstAttainment, float64(sim.attained[i])/float64(max(1, requested)))
	}
	slices.Sort(sim.delays)
	if len(sim.delays) > 0 {
		r.P99 = sim.delays[len(sim.delays)*99/100]
	}
	return r
}

// load starts loading a model on an engine.
func (sim *Simulation) load(engine, model int) {
	ready := sim.store.load(sim.Now, &sim.Deployment)
	sim.result.Loads++
	sim.engines[engine].held[model] = &replica{ready: ready, lastUsed: sim.Now}
	if sim.Now.Sub(sim.start) > settleTime {
		sim.result.Moves++
	}
}

// settleTime is the time from the start in which loads do not count as moves.
const settleTime = time.Minute
