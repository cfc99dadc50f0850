package fleetsum

import (
	"time"

	"fireflypier.example/fireflypier/internal/serving/mesh/meshpb"
	"fireflypier.example/fireflypier/internal/serving/weightsdemand"
)

// sum is a summary in a form that can be added up.
type sum struct {
	loads map[string]*meshpb.Load
	// perSecond is the demand by customer.
	perSecond map[string]float32
	weights   map[weightsdemand.Key]weightsdemand.Level
}

func newSum() sum {
	return sum{
		loads:     make(map[string]*meshpb.Load),
		perSecond: make(map[string]float32),
		weights:   make(map[weightsdemand.Key]weightsdemand.Level),
	}
}

// add adds a summary from the wire.
func (s *sum) add(w *meshpb.Summary) {
	for _, l := range w.GetLoads() {
		s.addLoad(l)
	}
	for _, c := range w.GetCustomers() {
		s.perSecond[c.GetCustomer()] += c.GetPerSecond()
	}
	for _, d := range w.GetWeights() {
		s.addWeights(DecodeWeights(d))
	}
}

// merge adds another sum, the demand for weights only if weights is set.
func (s *sum) merge(o sum, weights bool) {
	for _, l := range o.loads {
		s.addLoad(l)
	}
	for c, n := range o.perSecond {
		s.perSecond[c] += n
	}
	if !weights {
		return
	}
	for k, l := range o.weights {
		s.addWeights(k, l)
	}
}

// subtract removes another sum. Amounts do not become negative: both sums may be of
// slightly different times.
func (s *sum) subtract(o sum) {
	for id, l := range o.loads {
		if have := s.loads[id]; have != nil {
			subtractEach(have.PromptTokens, l.GetPromptTokens())
			subtractEach(have.Requests, l.GetRequests())
			subtractEach(have.KvTokens, l.GetKvTokens())
		}
	}
	for c, n := range o.perSecond {
		s.perSecond[c] = max(0, s.perSecond[c]-n)
	}
	for k, l := range o.weights {
		if have, ok := s.weights[k]; ok {
			have.TokensPerSecond = max(0, have.TokensPerSecond-l.TokensPerSecond)
			have.UnmetPerSecond = max(0, have.UnmetPerSecond-l.UnmetPerSecond)
			have.Waiting = max(0, have.Waiting-l.Waiting)
			have.Running = max(0, have.Running-l.Running)
			s.weights[k] = have
		}
	}
}

// addLoad adds a load; it does not retain it.
func (s *sum) addLoad(l *meshpb.Load) {
	have := s.loads[l.GetTarget()]
	if have == nil {
		have = &meshpb.Load{Target: l.GetTarget()}
		s.loads[l.GetTarget()] = have
	}
	have.PromptTokens = addEach(have.PromptTokens, l.GetPromptTokens())
	have.Requests = addEach(have.Requests, l.GetRequests())
	have.KvTokens = addEach(have.KvTokens, l.GetKvTokens())
}

func (s *sum) addWeights(k weightsdemand.Key, l weightsdemand.Level) {
	if have, ok := s.weights[k]; ok {
		l = have.Merge(l)
	}
	s.weights[k] = l
}

// wire returns the sum with the totals that customers were admitted, and the part of
// these that was acknowledged.
func (s *sum) wire(admitted, acknowledged map[string]float64) *meshpb.Summary {
	w := &meshpb.Summary{}
	for _, l := range s.loads {
		w.Loads = append(w.Loads, l)
	}
	customer := func(name string) *meshpb.CustomerDemand {
		return &meshpb.CustomerDemand{Customer: name, PerSecond: s.perSecond[name], Admitted: admitted[name], Acknowledged: acknowledged[name]}
	}
	for name := range admitted {
		w.Customers = append(w.Customers, customer(name))
	}
	for name := range s.perSecond {
		if _, listed := admitted[name]; !listed {
			w.Customers = append(w.Customers, customer(name))
		}
	}
	for k, l := range s.weights {
		w.Weights = append(w.Weights, EncodeWeights(k, l))
	}
	return w
}

// EncodeWeights returns the demand for one model or adapter in the form of the wire.
func EncodeWeights(k weightsdemand.Key, l weightsdemand.Level) *meshpb.WeightsDemand {
	return &meshpb.WeightsDemand{
		Pool:            k.Pool,
		Model:           k.Model,
		Adapter:         k.Adapter,
		TokensPerSecond: float32(l.TokensPerSecond),
		Waiting:         uint32(max(0, l.Waiting)),
		UnmetPerSecond:  float32(l.UnmetPerSecond),
		Running:         uint32(max(0, l.Running)),
		IdleMs:          uint32(max(0, l.Idle.Milliseconds())),
	}
}

// DecodeWeights is the inverse of EncodeWeights.
func DecodeWeights(w *meshpb.WeightsDemand) (weightsdemand.Key, weightsdemand.Level) {
	return weightsdemand.Key{Pool: w.GetPool(), Model: w.GetModel(), Adapter: w.GetAdapter()}, weightsdemand.Level{
		TokensPerSecond: float64(w.GetTokensPerSecond()),
		Waiting:         int(w.GetWaiting()),
		UnmetPerSecond:  float64(w.GetUnmetPerSecond()),
		Running:         int(w.GetRunning()),
		Idle:            time.Duration(w.GetIdleMs()) * time.Millisecond,
	}
}

// addEach adds b to a, element by element.
func addEach(a, b []uint32) []uint32 {
	for i, n := range b {
		if i == len(a) {
			a = append(a, 0)
		}
		a[i] += n
	}
	return a
}

// subtractEach subtracts b from a, element by element, down to zero.
func subtractEach(a, b []uint32) {
	for i := range min(len(a), len(b)) {
		a[i] -= min(a[i], b[i])
	}
}
