// Package comparison compares the decisions of package assigner with simple
// baselines in a simulation with modelled engines and a simulated clock. Only
// cmd/comparison uses it.
package comparison

import (
	"cmp"
	"container/list"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/assigner"
	"fireflypier.example/fireflypier/internal/auth"
	"fireflypier.example/fireflypier/internal/catalog"
	"fireflypier.example/fireflypier/internal/engineview"
	"fireflypier.example/fireflypier/internal/object"
	"fireflypier.example/fireflypier/internal/prefix"
	"fireflypier.example/fireflypier/internal/queue"
	"fireflypier.example/fireflypier/internal/request"
)

// The policies that the tables compare.
const (
	roundRobin       = "round robin"
	leastOutstanding = "least outstanding"
	randomTwoChoices = "random two choices"
	plainOrder       = "plain order"
	fireflypier      = "fireflypier"
)

const (
	firstTokenTarget    = 890 * time.Millisecond
	betweenTokensTarget = 30 * time.Millisecond
	trialTime           = 60 * time.Second
	trialModels         = 15
	trialEngines        = 12
	modelSlots          = 4
	maxTokens           = 256
	prefixBlocks        = 16
	uniqueBlocks        = 2
	prefixGroups        = 4
)

// trial holds the parameters of one simulation.
type trial struct {
	policy        string
	gateways      int
	requests      float64 // per second, over all customers
	reportDelay   time.Duration
	loseEvents    int64   // every loseEvents-th cache event is lost; zero loses none
	floodFactor   float64 // multiplies the load of floodCustomer if above zero
	floodCustomer int     // index of a customer; negative for none
	slowEngine    bool    // the steps of the first engine take twice as long
	homeGateways  bool    // each customer uses only two of the gateways
}

// customerWeights are the customers' fractions of the load.
var customerWeights = []float64{0.05, 0.05, 0.2, 0.3, 0.4}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// call is one request of a simulation.
type call struct {
	job        assigner.Job
	customer   int
	arrival    time.Time
	first, end time.Time
	tokens     int
	cached     int
}

// attained reports whether the call met both latency targets.
func (c *call) attained() bool {
	if c.first.IsZero() || c.end.IsZero() || c.first.Sub(c.arrival) > firstTokenTarget {
		return false
	}
	return c.tokens < 2 || c.end.Sub(c.first)/time.Duration(c.tokens-1) <= betweenTokensTarget
}

// simulation is a discrete-event simulation of one trial: gateways that use
// package assigner or a baseline policy, and modelled engines.
type simulation struct {
	trial
	now         time.Time
	random      *rand.Rand
	events      []event
	engines     []*modelEngine
	replicas    [trialModels][]int
	gateways    []*assigner.Assigner
	outstanding [][]int
	nextReplica int
	calls       []*call
}

type event struct {
	at time.Time
	do func()
}

// schedule calls do after d of simulated time. Events are sorted by descending
// time; those of the same time run in the order of scheduling.
func (sim *simulation) schedule(d time.Duration, do func()) {
	e := event{at: sim.now.Add(d), do: do}
	at, _ := slices.BinarySearchFunc(sim.events, e, func(a, b event) int {
		return cmp.Or(b.at.Compare(a.at), 1)
	})
	sim.events = slices.Insert(sim.events, at, e)
}

// run runs the events up to trialTime.
func (sim *simulation) run() {
	for len(sim.events) > 0 {
		last := len(sim.events) - 1
		e := sim.events[last]
		sim.events = sim.events[:last]
		if e.at.Sub(start) > trialTime {
			return
		}
		sim.now = e.at
		e.do()
	}
}

func newSimulation(t trial) *simulation {
	sim := &simulation{trial: t, now: start, random: rand.New(rand.NewPCG(7, 7))}
	for i := range trialEngines {
		sim.engines = append(sim.engines, &modelEngine{sim: sim, name: i, cache: map[uint64]*list.Element{}, order: list.New()})
	}
	sim.placeModels()
	for g := range t.gateways {
		sim.gateways = append(sim.gateways, assigner.New(assigner.WithSeed(uint64(g)),
			assigner.WithQueueLimits(queue.Limits{MaxWaiting: 4096, AgingInterval: 5 * time.Second})))
		sim.outstanding = append(sim.outstanding, make([]int, trialEngines))
	}
	for _, e := range sim.engines {
		sim.updateGateways(e, e.view())
	}
	sim.scheduleReports()
	sim.scheduleArrival()
	return sim
}

// placeModels distributes replicas over the engines round robin; the number for
// each model depends on its demand.
func (sim *simulation) placeModels() {
	slot := 0
	for _, m := range sim.demandSlots() {
		if i := slot % trialEngines; !slices.Contains(sim.replicas[m], i) {
			sim.replicas[m] = append(sim.replicas[m], i)
		}
		slot++
	}
}

// demandSlots returns each model once per engine slot that it takes: 5 for the
// models with the highest demand, 2 for the others.
func (sim *simulation) demandSlots() []int {
	var slots []int
	for m := range trialModels {
		n := 2
		if m < (modelSlots*trialEngines-2*trialModels)/3 {
			n = 5
		}
		for range n {
			slots = append(slots, m)
		}
	}
	return slots
}

// scheduleReports sends the state of every engine to every gateway after
// reportDelay, and repeats this every 500 ms.
func (sim *simulation) scheduleReports() {
	for _, e := range sim.engines {
		v := e.view()
		sim.schedule(sim.reportDelay, func() { sim.updateGateways(e, v) })
	}
	sim.schedule(500*time.Millisecond, sim.scheduleReports)
}

// updateGateways passes a view of an engine to every gateway, with its share of
// the engine's credit. Baseline policies without an assigner use no views.
func (sim *simulation) updateGateways(e *modelEngine, v engineview.View) {
	if sim.policy != fireflypier && sim.policy != plainOrder {
		return
	}
	shares := sim.credits(e)
	for g, a := range sim.gateways {
		v.CreditTokens = shares[g]
		a.Update([]engineview.View{v}, sim.now)
	}
}

// scheduleArrival schedules the next request of a Poisson process.
func (sim *simulation) scheduleArrival() {
	total := 0.0
	for c := range customerWeights {
		total += sim.customerLoad(c)
	}
	sim.schedule(time.Duration(sim.random.ExpFloat64()/(sim.requests*total)*float64(time.Second)), func() {
		sim.submit(sim.drawCustomer(total))
		sim.scheduleArrival()
	})
}

func (sim *simulation) customerLoad(c int) float64 {
	if c == sim.floodCustomer && sim.floodFactor > 0 {
		return customerWeights[c] * sim.floodFactor
	}
	return customerWeights[c]
}

// drawCustomer draws a customer in proportion to the load; total is the sum of
// the loads.
func (sim *simulation) drawCustomer(total float64) int {
	at := sim.random.Float64() * total
	for c := range customerWeights {
		if at -= sim.customerLoad(c); at < 0 {
			return c
		}
	}
	return 0
}

func (sim *simulation) submit(customer int) {
	model := min(int(sim.random.ExpFloat64()*4), trialModels-1)
	group := uint64(customer*trialModels+model)*prefixGroups + uint64(sim.random.IntN(prefixGroups))
	r := &request.Request{
		Ticket:    auth.Ticket{Customer: fmt.Sprint("customer-", customer)},
		Weights:   catalog.Weights{Model: fmt.Sprint("model-", model), Version: version},
		Class:     object.ClassNormal,
		MaxTokens: maxTokens, Arrival: sim.now, Deadline: sim.now.Add(2 * time.Minute),
	}
	r.Prompt = make([]byte, (prefixBlocks+uniqueBlocks)*prefix.BlockBytes)
	for i := range uint64(prefixBlocks) {
		r.Prefix = append(r.Prefix, mix(group<<8+i+1))
	}
	for range uniqueBlocks {
		r.Prefix = append(r.Prefix, sim.random.Uint64())
	}
	if sim.policy == plainOrder {
		r.Ticket.Customer = "all"
	}
	c := &call{customer: customer, arrival: sim.now, tokens: 1 + min(int(sim.random.ExpFloat64()*120), maxTokens-1)}
	c.job = assigner.Job{Request: r, Weight: customerWeights[customer] * sim.requests * 400}
	sim.calls = append(sim.calls, c)
	sim.route(c, model, sim.drawGateway(customer))
}

func (sim *simulation) drawGateway(customer int) int {
	if sim.homeGateways {
		return (customer + sim.random.IntN(2)) % len(sim.gateways)
	}
	return sim.random.IntN(len(sim.gateways))
}

// mix hashes x so that all bits vary, as they do in block hashes of prompts.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// route assigns a call to an engine by the policy of the trial.
func (sim *simulation) route(c *call, model, gateway int) {
	outstanding := sim.outstanding[gateway]
	replicas := sim.replicas[model]
	pick := 0
	switch sim.policy {
	case roundRobin:
		pick = replicas[sim.nextReplica%len(replicas)]
		sim.nextReplica++
	case leastOutstanding:
		pick = slices.MinFunc(replicas, func(a, b int) int { return outstanding[a] - outstanding[b] })
	case randomTwoChoices:
		pick = replicas[sim.random.IntN(len(replicas))]
		if other := replicas[sim.random.IntN(len(replicas))]; outstanding[other] < outstanding[pick] {
			pick = other
		}
	default:
		sim.assign(c, gateway)
		return
	}
	outstanding[pick]++
	sim.engines[pick].start(c, func() {}, func() { outstanding[pick]-- })
}

func (sim *simulation) assign(c *call, gateway int) {
	a := sim.gateways[gateway]
	begin := func() {
		if !c.job.Placed {
			return
		}
		var name int
		_, _ = fmt.Sscan(c.job.Target, &name)
		sim.engines[name].start(c, func() { a.PrefillDone(&c.job, sim.now) }, func() {
			a.Finish(&c.job, float64(c.job.Request.PromptTokens()+c.tokens), sim.now)
		})
	}
	c.job.Notify = begin
	a.Submit(&c.job, sim.now)
	if c.job.Placed {
		begin()
	}
}

// row returns the results as a row of the table. Calls of the first 5 s and the
// last 10 s are not counted.
func (sim *simulation) row() string {
	var first []time.Duration
	total, attained, cached, prompt := 0, 0, 0, 0
	byCustomer := make([][2]int, len(customerWeights))
	for _, c := range sim.calls {
		if c.arrival.Sub(start) < 5*time.Second || c.arrival.Sub(start) > trialTime-10*time.Second {
			continue
		}
		total++
		byCustomer[c.customer][1]++
		if c.attained() {
			attained++
			byCustomer[c.customer][0]++
		}
		wait := trialTime
		if !c.first.IsZero() {
			wait = c.first.Sub(c.arrival)
			cached += c.cached
			prompt += prefixBlocks + uniqueBlocks
		}
		first = append(first, wait)
	}
	slices.Sort(first)
	worst := 1.0
	for c, n := range byCustomer {
		if c != sim.floodCustomer || sim.floodFactor == 0 {
			worst = min(worst, float64(n[0])/float64(max(1, n[1])))
		}
	}
	return fmt.Sprintf("| %-18s | %-14s | %4.0f | %6s | %s | %5.2f | %5.2f | %5.1f %% | %5.1f %% | %5.1f %% |",
		sim.policy, sim.settingText(), sim.requests, sim.reportDelay, lostText(sim.loseEvents),
		first[len(first)/2].Seconds(), first[len(first)*95/100].Seconds(),
		100*float64(attained)/float64(total), 100*worst, 100*float64(cached)/float64(max(1, prompt)))
}

func (sim *simulation) settingText() string {
	text := fmt.Sprint(sim.trial.gateways)
	if sim.homeGateways {
		text += ", homes"
	}
	if sim.slowEngine {
		text += ", slow engine"
	}
	return text
}

func lostText(every int64) string {
	if every == 0 {
		return "none"
	}
	return fmt.Sprintf("1/%d ", every)
}

const header = `
| policy             | gateways | req/s | report delay | events lost | first token p50 s | p95 s | attainment | worst customer inside its rate | cached blocks |
|---|---|---|---|---|---|---|---|---|---|
`

// Table is a comparison whose simulations run when it is printed.
type Table struct {
	policies []string
	trials   []trial
}

// Routing compares the choice of engines for several loads, report delays and
// rates of lost cache events, with 6 and 300 gateways.
func Routing() Table {
	trials := []trial{
		{gateways: 6, requests: 60, reportDelay: 250 * time.Millisecond},
		{gateways: 6, requests: 80, reportDelay: 250 * time.Millisecond},
		{gateways: 6, requests: 100, reportDelay: 250 * time.Millisecond},
		{gateways: 6, requests: 100, reportDelay: 250 * time.Millisecond, homeGateways: true},
		{gateways: 6, requests: 80, reportDelay: 250 * time.Millisecond, slowEngine: true},
		{gateways: 6, requests: 80, reportDelay: 2 * time.Second},
		{gateways: 6, requests: 80, reportDelay: 2 * time.Second, loseEvents: 5},
		{gateways: 300, requests: 80, reportDelay: 250 * time.Millisecond},
		{gateways: 300, requests: 80, reportDelay: 250 * time.Millisecond, slowEngine: true},
		{gateways: 300, requests: 80, reportDelay: 2 * time.Second, loseEvents: 5},
	}
	for i := range trials {
		trials[i].floodCustomer = -1
	}
	return Table{[]string{roundRobin, leastOutstanding, randomTwoChoices, fireflypier}, trials}
}

// Fairness compares the attainment of the worst-served customer while another
// sends five times its rate, with one queue for all customers and with the fair
// queue.
func Fairness() Table {
	return Table{[]string{leastOutstanding, plainOrder, fireflypier}, []trial{
		{gateways: 1, requests: 70, floodFactor: 5, floodCustomer: 3, reportDelay: 250 * time.Millisecond},
		{gateways: 6, requests: 70, floodFactor: 5, floodCustomer: 3, reportDelay: 250 * time.Millisecond},
		{gateways: 6, requests: 70, floodFactor: 5, floodCustomer: 3, reportDelay: 250 * time.Millisecond, homeGateways: true},
	}}
}

// Print runs each trial with each policy and writes a row for it. The output is
// the same each time.
func (t Table) Print(out io.Writer) error {
	if _, err := io.WriteString(out, header); err != nil {
		return errors.Wrap(err, "print table")
	}
	for _, trial := range t.trials {
		for _, trial.policy = range t.policies {
			sim := newSimulation(trial)
			sim.run()
			if _, err := fmt.Fprintln(out, sim.row()); err != nil {
				return errors.Wrap(err, "print table")
			}
		}
	}
	return nil
}
