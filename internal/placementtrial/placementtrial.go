// Package placementtrial compares placements in simulated time: it drives the
// planning code of the controller against modelled engines, a modelled weight
// store and bursty demand. No program of the system imports it.
package placementtrial

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Deployment is the size of a deployment.
type Deployment struct {
	// Name is shown in the results.
	Name string
	// Engines and Models are their numbers; each engine has one accelerator.
	Engines, Models int
	// LoadsPerSecond and LoadsAtOnce are the weight store's limits.
	LoadsPerSecond float64
	LoadsAtOnce    int
	// Fill is the part of the memory that two replicas of every model take.
	Fill float64
	// Customers is the part of the work of each customer.
	Customers []float64
}

// Deployments returns the two deployments of today, with models of such sizes
// that two replicas of all take a part of the memory.
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
	gib          = int64(1) << 30
	engineMemory = 80 * gib
	// capacity is the work that an engine does, in tokens a second.
	capacity = 2500.0
	// loadTime is the time of one load at the weight store's full speed.
	loadTime = 6 * time.Second
	// firstTokenBound is the time to the first token that counts as attained.
	firstTokenBound = 890 * time.Millisecond
	tick            = 100 * time.Millisecond
	// utilization is the mean part of the engines' capacity that is asked for.
	utilization = 0.45
	meanTokens  = 400.0
	shiftEvery  = 10 * time.Minute
	rushFactor  = 6.0
)

// Result is what one placement achieved.
type Result struct {
	// Requests arrived, Attained of them had their first token in time.
	Requests, Attained int
	// PerAccelerator is the number attained for each accelerator and hour.
	PerAccelerator float64
	// WorstAttainment is the attained part of the worst-served customer.
	WorstAttainment float64
	// Moves counts loads after the first half minute.
	Moves int
	// Waited counts requests that waited because no engine held the model.
	Waited int
	// Commits counts the planner's transactions, Loads all loads.
	Commits int64
	Loads   int
	// P99 is the 99th percentile of the time to the first token.
	P99 time.Duration
}

// Placer decides what modelled engines hold; see the placements of this
// package.
type Placer interface {
	// Step is called each tick, after the tick's requests have arrived.
	Step(w *Simulation)
	// OnRequest is called for each request.
	OnRequest(w *Simulation, model int, tokens float64)
}

// Simulation is the modelled deployment.
type Simulation struct {
	// Now is the simulated time.
	Now time.Time
	// Deployment is the deployment's size, Sizes the memory of each model.
	Deployment Deployment
	Sizes      []int64

	random  *rand.Rand
	engines []*modelledEngine
	store   weightStore
	rates   []float64
	targets []float64
	waiting []*pending
	start   time.Time
	result  Result
	delays  []time.Duration
	served  []int
	asked   []int
}

// modelledEngine does work in the order of arrival.
type modelledEngine struct {
	held map[int]*replica
	busy time.Time
}

type replica struct {
	ready time.Time
	used  time.Time
}

type pending struct {
	at       time.Time
	model    int
	customer int
	tokens   float64
}

// weightStore starts loads at its rate; more at once slow each other down.
type weightStore struct {
	next    time.Time
	running []time.Time
}

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

// Run simulates a deployment for a time and returns what the placer achieved.
// The same seed gives the same requests to every placer.
func Run(d Deployment, p Placer, length time.Duration, seed uint64) Result {
	w := newSimulation(d, seed)
	for w.Now.Sub(w.start) < length {
		w.shift()
		w.arrive(p)
		p.Step(w)
		w.retry()
		w.Now = w.Now.Add(tick)
	}
	if planned, ok := p.(*Planned); ok {
		w.result.Commits = planned.Commits()
	}
	return w.finish(length)
}

func newSimulation(d Deployment, seed uint64) *Simulation {
	w := &Simulation{
		Now: time.Unix(1_000_000, 0), Deployment: d, random: rand.New(rand.NewPCG(seed, 1)),
		rates: make([]float64, d.Models), targets: make([]float64, d.Models),
		served: make([]int, len(d.Customers)), asked: make([]int, len(d.Customers)),
	}
	w.start = w.Now
	for range d.Engines {
		w.engines = append(w.engines, &modelledEngine{held: map[int]*replica{}})
	}
	mean := d.Fill * float64(engineMemory) * float64(d.Engines) / float64(2*d.Models)
	for i := range d.Models {
		w.Sizes = append(w.Sizes, int64(mean*(0.6+0.8*float64(i%5)/4)))
		w.rates[i] = w.draw()
		w.targets[i] = w.rates[i]
	}
	return w
}

// draw returns a relative rate within a factor of ten.
func (w *Simulation) draw() float64 { return math.Pow(10, w.random.Float64()) }

// shift moves the demand of each model towards a target that changes within
// a factor of ten, and begins and ends rushes.
func (w *Simulation) shift() {
	at := w.Now.Sub(w.start)
	for i := range w.targets {
		offset := time.Duration(i) * shiftEvery / time.Duration(len(w.targets))
		if (at+offset)%shiftEvery == 0 {
			w.targets[i] = w.draw()
		}
		w.rates[i] += (w.targets[i] - w.rates[i]) * tick.Seconds() / 60
	}
}

// rush returns the factor of a model's demand now: each quarter of the models
// in turn has ten minutes of rush in the second half of each hour.
func (w *Simulation) rush(model int) float64 {
	minute := int(w.Now.Sub(w.start).Minutes()) % 60
	if minute >= 30 && minute < 50 && model%6 == (minute-30)/10 {
		return rushFactor
	}
	return 1
}

// arrive draws the tick's requests. The total work stays the same, so that
// only its division among models changes.
func (w *Simulation) arrive(p Placer) {
	var total float64
	for i := range w.rates {
		total += w.rates[i] * w.rush(i)
	}
	work := utilization * capacity * float64(len(w.engines)) * tick.Seconds()
	for i := range w.rates {
		mean := work * w.rates[i] * w.rush(i) / total / meanTokens
		for range w.poisson(mean) {
			w.request(p, i)
		}
	}
}

func (w *Simulation) poisson(mean float64) int {
	limit, n, product := math.Exp(-mean), 0, w.random.Float64()
	for product > limit {
		n++
		product *= w.random.Float64()
	}
	return n
}

func (w *Simulation) request(p Placer, model int) {
	r := &pending{at: w.Now, model: model, customer: w.customer(), tokens: w.random.ExpFloat64() * meanTokens}
	w.result.Requests++
	w.asked[r.customer]++
	p.OnRequest(w, model, r.tokens)
	if !w.place(r) {
		w.result.Waited++
		w.waiting = append(w.waiting, r)
	}
}

func (w *Simulation) customer() int {
	part := w.random.Float64()
	for i, share := range w.Deployment.Customers {
		if part -= share; part < 0 {
			return i
		}
	}
	return len(w.Deployment.Customers) - 1
}

// place gives a request to the replica with the least work ahead.
func (w *Simulation) place(r *pending) bool {
	var best *modelledEngine
	for _, e := range w.engines {
		h, ok := e.held[r.model]
		if !ok || h.ready.After(w.Now) {
			continue
		}
		if best == nil || e.busy.Before(best.busy) {
			best = e
		}
	}
	if best == nil {
		return false
	}
	begin := w.Now
	if best.busy.After(begin) {
		begin = best.busy
	}
	best.held[r.model].used = w.Now
	best.busy = begin.Add(time.Duration(r.tokens / capacity * float64(time.Second)))
	w.answered(r, begin.Sub(r.at))
	return true
}

func (w *Simulation) answered(r *pending, delay time.Duration) {
	w.delays = append(w.delays, delay)
	if delay <= firstTokenBound {
		w.result.Attained++
		w.served[r.customer]++
	}
}

func (w *Simulation) retry() {
	w.waiting = slices.DeleteFunc(w.waiting, w.place)
}

func (w *Simulation) finish(length time.Duration) Result {
	r := w.result
	r.PerAccelerator = float64(r.Attained) / float64(len(w.engines)) / length.Hours()
	r.WorstAttainment = 1
	for i, asked := range w.asked {
		r.WorstAttainment = min(r.WorstAttainment, float64(w.served[i])/float64(max(1, asked)))
	}
	slices.Sort(w.delays)
	if len(w.delays) > 0 {
		r.P99 = w.delays[len(w.delays)*99/100]
	}
	return r
}

// load begins a load.
func (w *Simulation) load(engine, model int) {
	ready := w.store.load(w.Now, &w.Deployment)
	w.result.Loads++
	w.engines[engine].held[model] = &replica{ready: ready, used: w.Now}
	if w.Now.Sub(w.start) > settling {
		w.result.Moves++
	}
}

// settling is the time in which the first loads are not counted as moves.
const settling = time.Minute
