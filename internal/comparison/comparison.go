// Package comparison compares the real decisions of package assigner with
// plain baselines, before modelled engines on a fake clock. It serves
// cmd/comparison and is not part of any process.
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

// The policies of the tables.
const (
	roundRobin       = "round robin"
	leastOutstanding = "least outstanding"
	randomTwoChoices = "random two choices"
	plainOrder       = "plain order"
	fireflypier      = "fireflypier"
)

const (
	firstTokenTarget = 890 * time.Millisecond
	betweenTarget    = 30 * time.Millisecond
	trialTime        = 60 * time.Second
	trialModels      = 15
	trialEngines     = 12
	modelSlots       = 4
	maxTokens        = 256
	prefixBlocks     = 16
	ownBlocks        = 2
	prefixGroups     = 4
)

// trial is one setting of the comparison.
type trial struct {
	policy        string
	gateways      int
	requests      float64 // a second, over all customers
	reportDelay   time.Duration
	loseEvents    int64
	flood         float64 // the first customer's load is multiplied by this
	floodCustomer int
	slowEngine    bool // the first engine takes twice the time
	homes         bool // each customer uses two gateways only
}

// customerWeights are the rates of the customers, as parts of the load.
var customerWeights = []float64{0.05, 0.05, 0.2, 0.3, 0.4}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// call is one request of a trial.
type call struct {
	job        assigner.Job
	customer   int
	arrival    time.Time
	first, end time.Time
	tokens     int
	cached     int
}

func (c *call) attained() bool {
	if c.first.IsZero() || c.end.IsZero() || c.first.Sub(c.arrival) > firstTokenTarget {
		return false
	}
	return c.tokens < 2 || c.end.Sub(c.first)/time.Duration(c.tokens-1) <= betweenTarget
}

// world runs a trial: gateways with the real decisions or a baseline, and
// modelled engines.
type world struct {
	trial
	now      time.Time
	random   *rand.Rand
	events   []event
	engines  []*modelled
	replicas [trialModels][]int
	gateways []*assigner.Assigner
	own      [][]int
	next     int
	calls    []*call
}

type event struct {
	at time.Time
	do func()
}

func (w *world) after(d time.Duration, do func()) {
	e := event{at: w.now.Add(d), do: do}
	at, _ := slices.BinarySearchFunc(w.events, e, func(a, b event) int {
		return cmp.Or(b.at.Compare(a.at), 1)
	})
	w.events = slices.Insert(w.events, at, e)
}

func (w *world) run() {
	for len(w.events) > 0 {
		last := len(w.events) - 1
		e := w.events[last]
		w.events = w.events[:last]
		if e.at.Sub(start) > trialTime {
			return
		}
		w.now = e.at
		e.do()
	}
}

func newWorld(t trial) *world {
	w := &world{trial: t, now: start, random: rand.New(rand.NewPCG(7, 7))}
	for i := range trialEngines {
		w.engines = append(w.engines, &modelled{w: w, name: i, cache: map[uint64]*list.Element{}, order: list.New()})
	}
	w.placeModels()
	for g := range t.gateways {
		w.gateways = append(w.gateways, assigner.New(assigner.WithSeed(uint64(g)),
			assigner.WithQueueLimits(queue.Limits{MaxWaiting: 4096, AgingInterval: 5 * time.Second})))
		w.own = append(w.own, make([]int, trialEngines))
	}
	for _, e := range w.engines {
		w.deliver(e, e.view())
	}
	w.report()
	w.arrive()
	return w
}

// placeModels gives each model replicas in proportion to its demand.
func (w *world) placeModels() {
	slot := 0
	for _, m := range w.demand() {
		if i := slot % trialEngines; !slices.Contains(w.replicas[m], i) {
			w.replicas[m] = append(w.replicas[m], i)
		}
		slot++
	}
}

// demand lists models once for each slot that they take.
func (w *world) demand() []int {
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

// report sends the state of every engine to every gateway, late.
func (w *world) report() {
	for _, e := range w.engines {
		v := e.view()
		w.after(w.reportDelay, func() { w.deliver(e, v) })
	}
	w.after(500*time.Millisecond, w.report)
}

func (w *world) deliver(e *modelled, v engineview.View) {
	if w.policy != fireflypier && w.policy != plainOrder {
		return
	}
	shares := w.credits(e)
	for g, a := range w.gateways {
		v.CreditTokens = shares[g]
		a.Update([]engineview.View{v}, w.now)
	}
}

// arrive starts requests in a Poisson process.
func (w *world) arrive() {
	total := 0.0
	for c := range customerWeights {
		total += w.load(c)
	}
	w.after(time.Duration(w.random.ExpFloat64()/(w.requests*total)*float64(time.Second)), func() {
		w.submit(w.pick(total))
		w.arrive()
	})
}

func (w *world) load(c int) float64 {
	if c == w.floodCustomer && w.flood > 0 {
		return customerWeights[c] * w.flood
	}
	return customerWeights[c]
}

func (w *world) pick(total float64) int {
	at := w.random.Float64() * total
	for c := range customerWeights {
		if at -= w.load(c); at < 0 {
			return c
		}
	}
	return 0
}

func (w *world) submit(customer int) {
	model := min(int(w.random.ExpFloat64()*4), trialModels-1)
	group := uint64(customer*trialModels+model)*prefixGroups + uint64(w.random.IntN(prefixGroups))
	r := &request.Request{
		Ticket:    auth.Ticket{Customer: fmt.Sprint("customer-", customer)},
		Weights:   catalog.Weights{Model: fmt.Sprint("model-", model), Version: version},
		Class:     object.ClassNormal,
		MaxTokens: maxTokens, Arrival: w.now, Deadline: w.now.Add(2 * time.Minute),
	}
	r.Prompt = make([]byte, (prefixBlocks+ownBlocks)*prefix.BlockBytes)
	for i := range uint64(prefixBlocks) {
		r.Prefix = append(r.Prefix, mix(group<<8+i+1))
	}
	for range ownBlocks {
		r.Prefix = append(r.Prefix, w.random.Uint64())
	}
	if w.policy == plainOrder {
		r.Ticket.Customer = "all"
	}
	c := &call{customer: customer, arrival: w.now, tokens: 1 + min(int(w.random.ExpFloat64()*120), maxTokens-1)}
	c.job = assigner.Job{Request: r, Weight: customerWeights[customer] * w.requests * 400}
	w.calls = append(w.calls, c)
	w.send(c, model, w.gateway(customer))
}

func (w *world) gateway(customer int) int {
	if w.homes {
		return (customer + w.random.IntN(2)) % len(w.gateways)
	}
	return w.random.IntN(len(w.gateways))
}

// mix spreads a number over all bits, as the real block hashes are.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// send places a call by the trial's policy.
func (w *world) send(c *call, model, gateway int) {
	own := w.own[gateway]
	replicas := w.replicas[model]
	pick := 0
	switch w.policy {
	case roundRobin:
		pick = replicas[w.next%len(replicas)]
		w.next++
	case leastOutstanding:
		pick = slices.MinFunc(replicas, func(a, b int) int { return own[a] - own[b] })
	case randomTwoChoices:
		pick = replicas[w.random.IntN(len(replicas))]
		if other := replicas[w.random.IntN(len(replicas))]; own[other] < own[pick] {
			pick = other
		}
	default:
		w.assign(c, gateway)
		return
	}
	own[pick]++
	w.engines[pick].start(c, func() {}, func() { own[pick]-- })
}

func (w *world) assign(c *call, gateway int) {
	a := w.gateways[gateway]
	begin := func() {
		if !c.job.Placed {
			return
		}
		var name int
		_, _ = fmt.Sscan(c.job.Target, &name)
		w.engines[name].start(c, func() { a.PrefillDone(&c.job, w.now) }, func() {
			a.Finish(&c.job, float64(c.job.Request.PromptTokens()+c.tokens), w.now)
		})
	}
	c.job.Notify = begin
	a.Submit(&c.job, w.now)
	if c.job.Placed {
		begin()
	}
}

// result is a row of the table.
func (w *world) result() string {
	var first []time.Duration
	total, attained, cached, prompt := 0, 0, 0, 0
	byCustomer := make([][2]int, len(customerWeights))
	for _, c := range w.calls {
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
			prompt += prefixBlocks + ownBlocks
		}
		first = append(first, wait)
	}
	slices.Sort(first)
	worst := 1.0
	for c, n := range byCustomer {
		if c != w.floodCustomer || w.flood == 0 {
			worst = min(worst, float64(n[0])/float64(max(1, n[1])))
		}
	}
	return fmt.Sprintf("| %-18s | %-14s | %4.0f | %6s | %s | %5.2f | %5.2f | %5.1f %% | %5.1f %% | %5.1f %% |",
		w.policy, w.setting(), w.requests, w.reportDelay, lost(w.loseEvents),
		first[len(first)/2].Seconds(), first[len(first)*95/100].Seconds(),
		100*float64(attained)/float64(total), 100*worst, 100*float64(cached)/float64(max(1, prompt)))
}

func (w *world) setting() string {
	text := fmt.Sprint(w.trial.gateways)
	if w.homes {
		text += ", homes"
	}
	if w.slowEngine {
		text += ", slow engine"
	}
	return text
}

func lost(every int64) string {
	if every == 0 {
		return "none"
	}
	return fmt.Sprintf("1/%d ", every)
}

const header = `
| policy             | gateways | req/s | report delay | events lost | first token p50 s | p95 s | attainment | worst customer inside its rate | cached blocks |
|---|---|---|---|---|---|---|---|---|---|
`

// Table is a comparison that runs when it is printed.
type Table struct {
	policies []string
	trials   []trial
}

// Routing compares the choice of engines: loads, late reports, lost events, 6
// and 300 gateways.
func Routing() Table {
	trials := []trial{
		{gateways: 6, requests: 60, reportDelay: 250 * time.Millisecond},
		{gateways: 6, requests: 80, reportDelay: 250 * time.Millisecond},
		{gateways: 6, requests: 100, reportDelay: 250 * time.Millisecond},
		{gateways: 6, requests: 100, reportDelay: 250 * time.Millisecond, homes: true},
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

// Fairness compares the worst-served customer's attainment while one customer
// sends five times its rate, with plain order and with the fair queue.
func Fairness() Table {
	return Table{[]string{leastOutstanding, plainOrder, fireflypier}, []trial{
		{gateways: 1, requests: 70, flood: 5, floodCustomer: 3, reportDelay: 250 * time.Millisecond},
		{gateways: 6, requests: 70, flood: 5, floodCustomer: 3, reportDelay: 250 * time.Millisecond},
		{gateways: 6, requests: 70, flood: 5, floodCustomer: 3, reportDelay: 250 * time.Millisecond, homes: true},
	}}
}

// Print runs the trials and writes a row for each; equal runs print the same.
func (t Table) Print(out io.Writer) error {
	if _, err := io.WriteString(out, header); err != nil {
		return errors.Wrap(err, "print table")
	}
	for _, trial := range t.trials {
		for _, trial.policy = range t.policies {
			w := newWorld(trial)
			w.run()
			if _, err := fmt.Fprintln(out, w.result()); err != nil {
				return errors.Wrap(err, "print table")
			}
		}
	}
	return nil
}
