package claim

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"pgregory.net/rapid"

	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/recording"
	"fireflypier.example/fireflypier/internal/standin/tablestore"
	"fireflypier.example/fireflypier/internal/table"
)

// mishap is what happens to one call of the store.
type mishap int

const (
	fine mishap = iota
	requestLost
	answerLost
	doubled
	late
	out
	mishaps
)

// faultyTable gives each commit the next mishap of a schedule.
type faultyTable struct {
	*tablestore.Store
	mu       sync.Mutex
	schedule []mishap
	later    conc.WaitGroup
}

func (t *faultyTable) next() mishap {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.schedule) == 0 {
		return fine
	}
	m := t.schedule[0]
	t.schedule = t.schedule[1:]
	return m
}

func lost() error { return failure.New(failure.OutcomeUnknown, "lost") }

func (t *faultyTable) Commit(ctx context.Context, tx table.Tx) (int64, error) {
	switch t.next() {
	case requestLost:
		return 0, lost()
	case answerLost:
		_, _ = t.Store.Commit(ctx, tx)
		return 0, lost()
	case doubled:
		version, err := t.Store.Commit(ctx, tx)
		_, _ = t.Store.Commit(ctx, tx)
		return version, err
	case late:
		t.later.Go(func() {
			time.Sleep(5 * time.Millisecond)
			_, _ = t.Store.Commit(context.Background(), tx)
		})
		return 0, lost()
	case out:
		return 0, failure.New(failure.StoreUnavailable, "out")
	default:
	}
	return t.Store.Commit(ctx, tx)
}

// life is what becomes of a gateway that holds a claim.
type life int

const (
	answers life = iota
	refusedByTarget
	losesAnswer
	diesBeforeDispatch
	diesAfterDispatch
	lives
)

// attempt is one caller's try of an id at a gateway.
type attempt struct {
	gateway, id int
	life        life
}

// world counts what a target ran.
type world struct {
	mu   sync.Mutex
	runs map[int]int
}

func (w *world) run(id int) *recording.Answer {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[id]++
	return &recording.Answer{Status: http.StatusOK, Body: fmt.Appendf(nil, "%d run %d", id, w.runs[id])}
}

// do makes one attempt and returns the answer that its caller sees.
func (w *world) do(c *Claims, a attempt) (*recording.Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Millisecond)
	defer cancel()
	held, recorded, err := c.Claim(ctx, &Request{Customer: "circle", ID: fmt.Sprint(a.id), Digest: "d", Hold: time.Minute})
	if err != nil || recorded != nil {
		return recorded, err
	}
	if err := held.Check(); err != nil {
		held.Release(ctx)
		return nil, err
	}
	switch a.life {
	case diesBeforeDispatch:
		return nil, lost()
	case refusedByTarget:
		held.Release(ctx)
		return nil, failure.New(failure.Overloaded, "refused")
	default:
	}
	answer := w.run(a.id)
	switch a.life {
	case diesAfterDispatch:
		return nil, lost()
	case losesAnswer:
		held.Unknown(ctx)
		return nil, lost()
	default:
	}
	held.Answered(ctx, answer)
	return answer, nil
}

// outcomes gathers what the callers of each id saw.
type outcomes struct {
	mu      sync.Mutex
	answers map[int]map[string]bool
}

func (o *outcomes) add(id int, answer *recording.Answer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.answers[id] == nil {
		o.answers[id] = map[string]bool{}
	}
	o.answers[id][string(answer.Body)] = true
}

// TestSchedules tries random schedules of repeats at several gateways, store
// mishaps and deaths, and expects that nothing runs twice and that all
// callers of an id see the same answer.
func TestSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &faultyTable{Store: tablestore.New()}
		for range rapid.IntRange(0, 12).Draw(t, "mishaps") {
			store.schedule = append(store.schedule, mishap(rapid.IntRange(0, int(mishaps)-1).Draw(t, "mishap")))
		}
		gateways := make([]*Claims, rapid.IntRange(1, 3).Draw(t, "gateways"))
		for i := range gateways {
			holder := Holder{Name: fmt.Sprint("gateway-", i), Incarnation: fmt.Sprint(i)}
			gateways[i] = New(store, holder, clockwork.NewRealClock(), hclog.NewNullLogger(), WithWritesPerSecond(1e6))
		}
		w := &world{runs: map[int]int{}}
		seen := &outcomes{answers: map[int]map[string]bool{}}
		var callers conc.WaitGroup
		for range rapid.IntRange(2, 10).Draw(t, "attempts") {
			a := attempt{
				gateway: rapid.IntRange(0, len(gateways)-1).Draw(t, "gateway"),
				id:      rapid.IntRange(0, 2).Draw(t, "id"),
				life:    life(rapid.IntRange(0, int(lives)-1).Draw(t, "life")),
			}
			callers.Go(func() {
				if answer, err := w.do(gateways[a.gateway], a); err == nil {
					seen.add(a.id, answer)
				}
			})
		}
		callers.Wait()
		store.later.Wait()
		for id, runs := range w.runs {
			if runs > 1 {
				t.Fatalf("request %d ran %d times", id, runs)
			}
		}
		for id, answers := range seen.answers {
			if len(answers) > 1 {
				t.Fatalf("callers of request %d saw %v", id, answers)
			}
		}
	})
}
