package queue_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"fireflypier.example/fireflypier/internal/object"
	"fireflypier.example/fireflypier/internal/queue"
)

func init() { _ = flag.Set("rapid.seed", "5") }

func TestQueue(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "queue")
}

var (
	start   = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	classes = []object.Class{object.ClassUrgent, object.ClassNormal, object.ClassBackground}
	all     = func(*queue.Selector) bool { return true }
)

const never = time.Hour

func item(customer, model string, class object.Class, cost float64, deadline time.Duration) *queue.Item {
	return &queue.Item{
		Customer: customer, Cost: cost, Weight: 10, Class: class,
		Selector: queue.Selector{Model: model}, Deadline: start.Add(deadline),
	}
}

// expectedNext is a reference implementation of Next that scans all waiting
// items.
func expectedNext(q *queue.Queue, waiting []*queue.Item, models map[string]bool) *queue.Item {
	var best *queue.Item
	rank := func(it *queue.Item) (int, float64) {
		for i, c := range classes {
			if it.Class == c {
				return i, q.ServedSeconds(it.Customer)
			}
		}
		return len(classes), 0
	}
	for _, it := range waiting {
		if !models[it.Selector.Model] {
			continue
		}
		if best == nil {
			best = it
			continue
		}
		class, served := rank(it)
		bestClass, bestServed := rank(best)
		if class < bestClass || class == bestClass && served < bestServed {
			best = it
		}
	}
	return best
}

var _ = Describe("the queue", func() {
	It("returns an item of the same rank as a scan of all waiting items does", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			q := queue.New(queue.Limits{MaxWaiting: 400, AgingInterval: never})
			var waiting []*queue.Item
			for range rapid.IntRange(1, 120).Draw(t, "operations") {
				switch rapid.IntRange(0, 3).Draw(t, "operation") {
				case 0, 1:
					it := item(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "customer"),
						rapid.SampledFrom([]string{"m", "n", "o"}).Draw(t, "model"),
						rapid.SampledFrom(classes).Draw(t, "class"),
						float64(rapid.IntRange(1, 500).Draw(t, "cost")), never)
					if q.Push(it, start) {
						waiting = append(waiting, it)
					}
				case 2:
					models := rapid.SampledFrom([][]string{{"m"}, {"n", "o"}, {"m", "n", "o"}}).Draw(t, "models")
					set := map[string]bool{}
					for _, m := range models {
						set[m] = true
					}
					want := expectedNext(q, waiting, set)
					got := q.Next(start, models, all)
					if !sameRank(q, want, got) {
						t.Fatalf("Next returned %+v, want %+v", got, want)
					}
					if got != nil {
						q.Dequeue(got, start)
						waiting = without(waiting, got)
					}
				case 3:
					if len(waiting) > 0 {
						it := rapid.SampledFrom(waiting).Draw(t, "canceled")
						q.Remove(it)
						q.Remove(it)
						waiting = without(waiting, it)
					}
				}
				if q.Len() != len(waiting) {
					t.Fatalf("%d items wait, want %d", q.Len(), len(waiting))
				}
			}
		})
	})

	It("serves permanently waiting customers in proportion to their rates", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			q := queue.New(queue.Limits{MaxWaiting: 100, AgingInterval: never})
			weights := map[string]float64{}
			for i := range rapid.IntRange(2, 5).Draw(t, "customers") {
				weights[fmt.Sprint(i)] = float64(rapid.IntRange(1, 50).Draw(t, "weight"))
			}
			served := map[string]float64{}
			push := func(customer string) {
				it := item(customer, "m", object.ClassNormal, float64(rapid.IntRange(1, 100).Draw(t, "cost")), never)
				it.Weight = weights[customer]
				Expect(q.Push(it, start)).To(BeTrue())
			}
			for i := range len(weights) {
				push(fmt.Sprint(i))
				push(fmt.Sprint(i))
			}
			for range 300 {
				it := q.Next(start, []string{"m"}, all)
				q.Dequeue(it, start)
				served[it.Customer] += it.Cost
				push(it.Customer)
			}
			for a, w := range weights {
				for b, v := range weights {
					if gap := served[a]/w - served[b]/v; gap > 100/w+100/v {
						t.Fatalf("the virtual time of customer %s is %.1f s ahead of %s", a, gap, b)
					}
				}
			}
		})
	})

	It("gives a customer no priority for having been idle", func() {
		q := queue.New(queue.Limits{MaxWaiting: 1000, AgingInterval: never})
		Expect(q.Push(item("idle", "m", object.ClassNormal, 10, never), start)).To(BeTrue())
		q.Dequeue(q.Next(start, []string{"m"}, all), start)
		for range 200 {
			Expect(q.Push(item("busy", "m", object.ClassNormal, 10, never), start)).To(BeTrue())
		}
		for range 100 {
			q.Dequeue(q.Next(start, []string{"m"}, all), start)
		}
		served := map[string]int{}
		for range 50 {
			Expect(q.Push(item("idle", "m", object.ClassNormal, 10, never), start)).To(BeTrue())
		}
		for range 40 {
			it := q.Next(start, []string{"m"}, all)
			served[it.Customer]++
			q.Dequeue(it, start)
		}
		Expect(served["idle"]).To(BeNumerically("~", 20, 1))
	})

	It("keeps room for another customer while some customers flood the queue", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			bound := rapid.IntRange(8, 200).Draw(t, "bound")
			q := queue.New(queue.Limits{MaxWaiting: bound, AgingInterval: never})
			floods := rapid.IntRange(1, 3).Draw(t, "flooding customers")
			for range 3 * bound {
				for f := range floods {
					q.Push(item(fmt.Sprint("flood", f), "m", object.ClassNormal, 1, never), start)
				}
			}
			free := bound - q.Len()
			if free < bound/(floods+1)-floods {
				t.Fatalf("%d flooding customers leave %d of %d places free", floods, free, bound)
			}
			if !q.Push(item("small", "m", object.ClassNormal, 1, never), start) {
				t.Fatalf("the queue refused an item of a customer without waiting items")
			}
		})
	})

	It("serves a class that has not been served for the aging interval", func() {
		q := queue.New(queue.Limits{MaxWaiting: 1000, AgingInterval: 5 * time.Second})
		Expect(q.Push(item("a", "m", object.ClassBackground, 1, never), start)).To(BeTrue())
		for range 20 {
			Expect(q.Push(item("b", "m", object.ClassUrgent, 1, never), start)).To(BeTrue())
		}
		var at time.Duration
		for ; ; at += time.Second {
			it := q.Next(start.Add(at), []string{"m"}, all)
			q.Dequeue(it, start.Add(at))
			if it.Class == object.ClassBackground {
				break
			}
		}
		Expect(at).To(Equal(5 * time.Second))
	})

	It("does not let expired items block others", func() {
		q := queue.New(queue.Limits{MaxWaiting: 100, AgingInterval: never})
		expired := item("a", "m", object.ClassUrgent, 1, time.Second)
		unexpired := item("a", "m", object.ClassUrgent, 1, time.Minute)
		Expect(q.Push(expired, start)).To(BeTrue())
		Expect(q.Push(unexpired, start)).To(BeTrue())
		Expect(q.Next(start.Add(2*time.Second), []string{"m"}, all)).To(BeIdenticalTo(unexpired))
		Expect(q.TakeExpired()).To(ConsistOf(expired))
		Expect(q.Len()).To(Equal(1))
	})

	It("returns an item although a higher class waits for another model", func() {
		q := queue.New(queue.Limits{MaxWaiting: 100, AgingInterval: never})
		Expect(q.Push(item("a", "m", object.ClassUrgent, 1, never), start)).To(BeTrue())
		other := item("b", "n", object.ClassBackground, 1, never)
		Expect(q.Push(other, start)).To(BeTrue())
		Expect(q.Next(start, []string{"n"}, all)).To(BeIdenticalTo(other))
	})
})

// sameRank reports whether two items have the same class and virtual time.
func sameRank(q *queue.Queue, a, b *queue.Item) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Class == b.Class && q.ServedSeconds(a.Customer) == q.ServedSeconds(b.Customer)
}

func without(items []*queue.Item, removed *queue.Item) []*queue.Item {
	var left []*queue.Item
	for _, it := range items {
		if it != removed {
			left = append(left, it)
		}
	}
	return left
}

func BenchmarkPushNextDequeue(b *testing.B) {
	for _, size := range []struct{ customers, waiting int }{{5, 100}, {500, 1000}, {500, 10_000}, {500, 100_000}} {
		b.Run(fmt.Sprintf("customers=%d/waiting=%d", size.customers, size.waiting), func(b *testing.B) {
			q := queue.New(queue.Limits{MaxWaiting: 10 * size.waiting, AgingInterval: time.Second})
			items := make([]*queue.Item, size.waiting+1)
			for i := range items {
				items[i] = item(fmt.Sprint("customer-", i%size.customers), fmt.Sprint("model-", i%280), classes[i%3], 300, never)
			}
			for _, it := range items[1:] {
				q.Push(it, start)
			}
			free := items[0]
			models := []string{"model-0", "model-1", "model-2", "model-3"}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				q.Push(free, start)
				free = q.Next(start, models, all)
				q.Dequeue(free, start)
			}
		})
	}
}
