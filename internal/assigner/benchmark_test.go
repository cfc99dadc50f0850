package assigner_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fireflypier.example/fireflypier/internal/assigner"
	"fireflypier.example/fireflypier/internal/engineview"
	"fireflypier.example/fireflypier/internal/object"
	"fireflypier.example/fireflypier/internal/prefix"
	"fireflypier.example/fireflypier/internal/queue"
	"fireflypier.example/fireflypier/internal/request"
)

type size struct{ models, engines, customers int }

const modelsPerEngine = 4

// newAssigner returns an Assigner with engines that hold four models each.
func newAssigner(s size, concurrency int) *assigner.Assigner {
	a := assigner.New(assigner.WithSeed(1), assigner.WithQueueLimits(queue.Limits{MaxWaiting: 1 << 20, AgingInterval: time.Hour}))
	var views []engineview.View
	for i := range s.engines {
		var models []string
		for k := range modelsPerEngine {
			models = append(models, fmt.Sprint("model-", (i*modelsPerEngine+k)%s.models))
		}
		views = append(views, view(fmt.Sprint("engine-", i), concurrency, models...))
	}
	a.Update(views, start)
	return a
}

func requests(s size, n int) []*request.Request {
	random := rand.New(rand.NewPCG(1, 1))
	classes := []object.Class{object.ClassUrgent, object.ClassNormal, object.ClassBackground}
	list := make([]*request.Request, n)
	for i := range list {
		list[i] = newRequest(fmt.Sprint("customer-", random.IntN(s.customers)), fmt.Sprint("model-", random.IntN(s.models)), classes[i%3], 250)
		list[i].Prompt = make([]byte, 8*prefix.BlockBytes)
		list[i].Prefix = make(prefix.Hashes, 8)
		group := random.Uint64N(1000)
		for k := range list[i].Prefix {
			list[i].Prefix[k] = mix(group*1000 + uint64(k))
		}
	}
	return list
}

// mix spreads a number over all bits, so that it resembles a block hash.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// BenchmarkPlace measures placing requests on engines with capacity. Finishing
// the requests is not timed.
func BenchmarkPlace(b *testing.B) {
	const batch = 8192
	for _, s := range []size{{280, 110, 500}, {280, 550, 500}, {280, 1100, 500}, {280, 1100, 5000}} {
		b.Run(fmt.Sprintf("models=%d/engines=%d/customers=%d", s.models, s.engines, s.customers), func(b *testing.B) {
			a := newAssigner(s, 1000)
			list := requests(s, batch)
			jobs := make([]assigner.Job, batch)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				at := i % batch
				if at == 0 {
					b.StopTimer()
					for k := range jobs {
						a.Finish(&jobs[k], 250, start)
						jobs[k] = assigner.Job{Request: list[k], Weight: 1}
					}
					b.StartTimer()
				}
				a.Submit(&jobs[at], start)
			}
		})
	}
}

// BenchmarkPlaceAndFinish measures placing a request on an engine with capacity
// and finishing it.
func BenchmarkPlaceAndFinish(b *testing.B) {
	for _, s := range []size{{17, 9, 5}, {280, 110, 500}, {280, 1100, 50}, {280, 1100, 500}, {280, 1100, 5000}, {2800, 11_000, 500}} {
		b.Run(fmt.Sprintf("models=%d/engines=%d/customers=%d", s.models, s.engines, s.customers), func(b *testing.B) {
			a := newAssigner(s, 64)
			list := requests(s, 4096)
			for i := range list {
				j := assigner.Job{Request: list[i], Weight: 1}
				a.Submit(&j, start)
				a.Finish(&j, 250, start)
			}
			var j assigner.Job
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				j = assigner.Job{Request: list[i%len(list)], Weight: 1}
				a.Submit(&j, start)
				a.Finish(&j, 250, start)
			}
		})
	}
}

// BenchmarkFinishAndRefill measures finishing a request while others are queued:
// a queued one takes its slot, and a new request is queued.
func BenchmarkFinishAndRefill(b *testing.B) {
	for _, waiting := range []int{100, 1000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("models=280/engines=1100/customers=500/waiting=%d", waiting), func(b *testing.B) {
			s := size{280, 1100, 500}
			a := newAssigner(s, 1)
			list := requests(s, 4096)
			jobs := make([]assigner.Job, 4*s.engines+waiting)
			placed := make([]*assigner.Job, 0, 2*s.engines)
			for i := range jobs {
				j := &jobs[i]
				*j = assigner.Job{Request: list[i%len(list)], Weight: 1}
				j.Notify = func() { placed = append(placed, j) }
				a.Submit(j, start)
				if j.Placed {
					placed = append(placed, j)
				}
				if a.Waiting() == waiting {
					break
				}
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				j := placed[0]
				placed = append(placed[:0], placed[1:]...)
				a.Finish(j, 250, start)
				notify := j.Notify
				*j = assigner.Job{Request: list[i%len(list)], Weight: 1, Notify: notify}
				a.Submit(j, start)
				if j.Placed {
					placed = append(placed, j)
				}
			}
		})
	}
}

// BenchmarkUpdate measures applying a view whose models have not changed.
func BenchmarkUpdate(b *testing.B) {
	a := newAssigner(size{280, 1100, 500}, 64)
	v := view("engine-7", 64, "model-28", "model-29", "model-30", "model-31")
	views := []engineview.View{v}
	b.ReportAllocs()
	for range b.N {
		a.Update(views, start)
	}
}
