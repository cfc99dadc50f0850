package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fireflypier.example/fireflypier/internal/serving/exchange"
	"fireflypier.example/fireflypier/internal/serving/fingerprint"
	"fireflypier.example/fireflypier/internal/serving/quarantine"
)

// Times of the replay. A deadly request crashes its engine when that begins to answer it; a
// sound one takes a while longer. Crashed engines are back after some seconds.
const (
	replayStep  = 10 * time.Millisecond
	answerBegin = 30 * time.Millisecond
	answerTime  = 200 * time.Millisecond
	engineBack  = 2 * time.Second
	newsEvery   = 200 * time.Millisecond
	// stability is the time after which all VMs must know of the fifth crash.
	stability = 3 * time.Second
)

// replayRequest is a request in progress at an engine.
type replayRequest struct {
	vm      *quarantine.Quarantine
	request *exchange.Request
	deadly  bool
	began   time.Time
	// attempts is the number of engines that the VM may still try after this one, returns the
	// number of times that the caller may come back.
	attempts, returns int
}

type replayEngine struct {
	number  int
	back    time.Time
	running []replayRequest
}

// replay is a fleet of VMs before engines that crash on one part of prompts.
type replay struct {
	now     time.Time
	rng     *rand.Rand
	vms     []*quarantine.Quarantine
	engines []*replayEngine
	started int
	crashes []time.Time
	// deadlySent holds the times at which deadly requests reached engines.
	deadlySent []time.Time
	// sends and ended hold, for each deadly request, the times at which it reached engines, and
	// at which they ended under it.
	sends, ended map[fingerprint.Fingerprint][]time.Time
	// seen holds what one VM has seen of another's news.
	seen map[[2]int]int64
}

func newReplay(seed uint64, vms, engines int) *replay {
	r := &replay{
		now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(seed, 0)),
		sends: make(map[fingerprint.Fingerprint][]time.Time), ended: make(map[fingerprint.Fingerprint][]time.Time),
		seen: make(map[[2]int]int64),
	}
	for i := range vms {
		r.vms = append(r.vms, newQuarantine(i == 0))
	}
	for range engines {
		r.engines = append(r.engines, r.newEngine())
	}
	return r
}

func (r *replay) newEngine() *replayEngine {
	r.started++
	return &replayEngine{number: r.started, back: r.now}
}

// send sends a request by way of a random VM to a random engine, unless the VM refuses it.
func (r *replay) send(deadly bool, parts ...string) (sent bool) {
	vm := r.vms[r.rng.IntN(len(r.vms))]
	return r.sendRequest(replayRequest{vm: vm, request: prompt(parts...), deadly: deadly})
}

// sendRequest sends a request by way of its VM to a random engine, unless the VM refuses it.
func (r *replay) sendRequest(q replayRequest) (sent bool) {
	if blocked(q.vm, q.request, r.now) {
		return false
	}
	up := slices.DeleteFunc(slices.Clone(r.engines), func(e *replayEngine) bool { return e.back.After(r.now) })
	if len(up) == 0 {
		return false
	}
	e := up[r.rng.IntN(len(up))]
	q.began = r.now
	e.running = append(e.running, q)
	if q.deadly {
		r.sends[q.request.Fingerprint] = append(r.sends[q.request.Fingerprint], r.now)
		r.deadlySent = append(r.deadlySent, r.now)
	}
	return true
}

// sendAgain sends a request once more whose engine has crashed: its VM to another engine, or its
// caller by way of another VM.
func (r *replay) sendAgain(q replayRequest) {
	switch {
	case q.attempts > 0:
		q.attempts--
	case q.returns > 0:
		q.returns--
		q.attempts, q.vm = 1, r.vms[r.rng.IntN(len(r.vms))]
	default:
		return
	}
	r.sendRequest(q)
}

// lateSends returns the most sends of one deadly request to engines after all VMs had time to
// know that three had ended under it.
func (r *replay) lateSends() (most int) {
	for request, ended := range r.ended {
		n := 0
		for _, at := range r.sends[request] {
			if len(ended) >= 3 && at.Sub(ended[2]) > stability {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// step plays the next moment.
func (r *replay) step() {
	r.now = r.now.Add(replayStep)
	for i, e := range r.engines {
		crash := slices.ContainsFunc(e.running, func(q replayRequest) bool { return q.deadly && r.now.Sub(q.began) >= answerBegin })
		if crash {
			r.crashes = append(r.crashes, r.now)
			for _, q := range e.running {
				if !q.deadly && r.now.Sub(q.began) >= answerBegin {
					q.vm.RecordLateCrash(q.request, engine(e.number), r.now)
				} else {
					q.vm.RecordCrash(q.request, engine(e.number), r.now)
				}
			}
			r.engines[i] = r.newEngine()
			r.engines[i].back = r.now.Add(engineBack)
			counted := make(map[fingerprint.Fingerprint]bool)
			for _, q := range e.running {
				if f := q.request.Fingerprint; q.deadly && !counted[f] {
					counted[f] = true
					r.ended[f] = append(r.ended[f], r.now)
				}
				r.sendAgain(q)
			}
			continue
		}
		e.running = slices.DeleteFunc(e.running, func(q replayRequest) bool {
			done := !q.deadly && r.now.Sub(q.began) >= answerTime
			if done {
				q.vm.RecordAnswer(q.request, r.now)
			}
			return done
		})
	}
	if r.now.UnixMilli()%newsEvery.Milliseconds() == 0 {
		for i, a := range r.vms {
			for j, b := range r.vms {
				news, upto := a.NewsAfter(r.seen[[2]int{i, j}], r.now)
				r.seen[[2]int{i, j}] = upto
				b.Merge(news, r.now)
			}
		}
	}
}

// every reports whether the moment is one of those at which something comes.
func (r *replay) every(d time.Duration) bool { return r.now.UnixMilli()%d.Milliseconds() == 0 }

// from returns the time d after the fifth crash, or the last one if there are fewer.
func (r *replay) from(d time.Duration) time.Time {
	if len(r.crashes) == 0 {
		return r.now
	}
	return r.crashes[min(len(r.crashes), 5)-1].Add(d)
}

// lateDeadly returns the number of deadly requests that reached engines although all VMs
// had time to know of the fifth crash.
func (r *replay) lateDeadly() (n int) {
	for _, at := range r.deadlySent {
		if len(r.crashes) >= 5 && at.After(r.from(stability)) {
			n++
		}
	}
	return n
}

// TestDeadlyRequestsInBatches replays deadly requests of which several come at a time, every
// few seconds, so that their engines crash together (BUDGET).
func TestDeadlyRequestsInBatches(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newReplay(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 6).Draw(t, "VMs"), rapid.IntRange(4, 12).Draw(t, "engines"))
		batch := rapid.IntRange(2, 12).Draw(t, "deadly requests at a time")
		period := time.Duration(rapid.SampledFrom([]int{700, 1500, 3000, 5000, 9000}).Draw(t, "ms between batches")) * time.Millisecond
		for range int(50 * time.Second / replayStep) {
			if r.every(150 * time.Millisecond) {
				r.send(false, "shared", "other")
			}
			if r.every(period) {
				for range batch {
					r.send(true, "first", "deadly")
				}
			}
			r.step()
		}
		if late := r.lateDeadly(); late > 3 {
			t.Fatalf("%d deadly requests reached engines after the fifth crash", late)
		}
	})
}

// TestSoundRequestsOfADeadlyPart replays sound requests that share their first part with
// deadly ones and come seldom, so that no answer is near the crashes. They must go on being
// served (LOST), and the deadly ones be refused (BUDGET).
func TestSoundRequestsOfADeadlyPart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newReplay(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 6).Draw(t, "VMs"), rapid.IntRange(4, 8).Draw(t, "engines"))
		soundEvery := time.Duration(rapid.SampledFrom([]int{150, 700, 2000, 5000}).Draw(t, "ms between sound requests")) * time.Millisecond
		batch := rapid.IntRange(1, 8).Draw(t, "sound requests at a time")
		deadlyEvery := time.Duration(rapid.SampledFrom([]int{300, 400, 1000, 3000}).Draw(t, "ms between deadly requests")) * time.Millisecond
		before, begunAfter, after := 20, 0, 0
		type sound struct {
			at    time.Time
			begun bool
		}
		var all []sound
		sendSound := func() {
			for range batch {
				all = append(all, sound{r.now, r.send(false, "shared", fmt.Sprint("other", r.rng.IntN(3)))})
			}
		}
		for len(all) < before {
			if r.every(soundEvery) {
				sendSound()
			}
			r.step()
		}
		for range int(2 * time.Second / replayStep) {
			r.step()
		}
		for range int(60 * time.Second / replayStep) {
			if r.every(soundEvery) {
				sendSound()
			}
			if r.every(deadlyEvery) {
				r.send(true, "shared", "deadly")
			}
			r.step()
		}
		for _, s := range all {
			if s.at.After(r.from(2 * stability)) {
				after++
				if s.begun {
					begunAfter++
				}
			}
		}
		if late := r.lateDeadly(); late > 3 {
			t.Fatalf("%d deadly requests reached engines after the fifth crash", late)
		}
		if 2*begunAfter < after {
			t.Fatalf("%d of %d sound requests were sent", begunAfter, after)
		}
	})
}

// TestDeadlyRequestsComeAgain replays deadly requests that come again at any VM, and are sent
// to a second engine and by their callers once more, beside sound requests that are alike or
// that share their prompts, a deadly part at times, and engines that are lost for other
// reasons. Each deadly request reaches few engines (BUDGET), sound ones go on being served
// (LOST).
func TestDeadlyRequestsComeAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newReplay(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 6).Draw(t, "VMs"), rapid.IntRange(4, 12).Draw(t, "engines"))
		var deadly []*exchange.Request
		for range rapid.IntRange(1, 2).Draw(t, "deadly requests") {
			d := prompt("shared", "other")
			if rapid.Bool().Draw(t, "without a prompt") {
				d.Prefix = nil
			}
			deadly = append(deadly, d)
		}
		every := time.Duration(rapid.SampledFrom([]int{200, 700, 1500, 4000}).Draw(t, "ms between arrivals")) * time.Millisecond
		copies := rapid.IntRange(1, 4).Draw(t, "arrivals at a time")
		lostEvery := time.Duration(rapid.SampledFrom([]int{1700, 5000, 100_000}).Draw(t, "ms between lost engines")) * time.Millisecond
		lost := rapid.IntRange(1, 3).Draw(t, "engines lost at a time")
		alike := prompt("shared")
		alike.Prefix = nil
		sound, served := 0, 0
		vm := func() *quarantine.Quarantine { return r.vms[r.rng.IntN(len(r.vms))] }
		for range int(60 * time.Second / replayStep) {
			comes := r.now.Sub(time.Unix(1000, 0)) > 3*time.Second
			if r.every(150 * time.Millisecond) {
				for _, request := range []*exchange.Request{prompt("shared", "other"), again(alike)} {
					q := replayRequest{vm: vm(), request: request, attempts: 1}
					known := !blocked(q.vm, q.request, r.now)
					if r.sendRequest(q); comes && len(r.crashes) >= 3 && r.now.After(r.crashes[2].Add(2*stability)) {
						sound++
						if known {
							served++
						}
					}
				}
			}
			if comes && r.every(every) {
				for _, d := range deadly {
					for range copies {
						r.sendRequest(replayRequest{vm: vm(), request: again(d), deadly: true, attempts: 1, returns: 1})
					}
				}
			}
			if comes && r.every(lostEvery) {
				r.lose(lost)
			}
			r.step()
		}
		if late := r.lateSends(); late > 3 {
			t.Fatalf("a deadly request reached engines %d times after the third crash", late)
		}
		if 10*served < 9*sound {
			t.Fatalf("%d of %d sound requests were let through", served, sound)
		}
	})
}

// lose ends engines whatever they run.
func (r *replay) lose(n int) {
	for range n {
		i := r.rng.IntN(len(r.engines))
		running := r.engines[i].running
		for _, q := range running {
			q.vm.RecordCrash(q.request, engine(r.engines[i].number), r.now)
		}
		r.engines[i] = r.newEngine()
		r.engines[i].back = r.now.Add(engineBack)
		for _, q := range running {
			r.sendAgain(q)
		}
	}
}
