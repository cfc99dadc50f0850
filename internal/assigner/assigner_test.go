package assigner_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"fireflypier.example/fireflypier/internal/assigner"
	"fireflypier.example/fireflypier/internal/auth"
	"fireflypier.example/fireflypier/internal/catalog"
	"fireflypier.example/fireflypier/internal/engineview"
	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/object"
	"fireflypier.example/fireflypier/internal/prefix"
	"fireflypier.example/fireflypier/internal/queue"
	"fireflypier.example/fireflypier/internal/request"
)

func init() { _ = flag.Set("rapid.seed", "5") }

func TestAssigner(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "assigner")
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newRequest(customer, model string, class object.Class, tokens int) *request.Request {
	return &request.Request{
		Ticket:  auth.Ticket{Customer: customer},
		Weights: catalog.Weights{Model: model, Version: "2"},
		Class:   class, MaxTokens: tokens, Arrival: start, Deadline: start.Add(time.Hour),
	}
}

func view(name string, concurrency int, models ...string) engineview.View {
	v := engineview.View{
		Target: name, Concurrency: concurrency, Reachable: true, Collected: start,
		Loaded: map[engineview.Loaded]bool{}, Adapters: map[string]bool{},
	}
	for _, m := range models {
		v.Loaded[engineview.Loaded{Kind: "model", Name: m, Version: "2"}] = true
	}
	return v
}

func seconds(n int) time.Time { return start.Add(time.Duration(n) * time.Second) }

var _ = Describe("the assigner", func() {
	It("queues no job while an engine has capacity for it, and exceeds no engine's limits", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			a := assigner.New(assigner.WithSeed(1))
			views := map[string]engineview.View{}
			var jobs []*assigner.Job
			notified := map[*assigner.Job]int{}
			update := func() {
				name := rapid.SampledFrom([]string{"e1", "e2", "e3"}).Draw(t, "engine")
				models := rapid.SampledFrom([][]string{{"m"}, {"n"}, {"m", "n"}, {"n", "o"}, {}}).Draw(t, "models")
				v := view(name, rapid.IntRange(1, 3).Draw(t, "concurrency"), models...)
				v.Reachable = rapid.IntRange(0, 4).Draw(t, "reachable") > 0
				v.CreditTokens = int64(rapid.SampledFrom([]int{0, 50, 150}).Draw(t, "credit"))
				views[name] = v
				a.Update([]engineview.View{v}, start)
			}
			submit := func() {
				j := &assigner.Job{Request: newRequest(
					rapid.SampledFrom([]string{"a", "b"}).Draw(t, "customer"),
					rapid.SampledFrom([]string{"m", "n", "o"}).Draw(t, "model"),
					rapid.SampledFrom([]object.Class{object.ClassUrgent, object.ClassBackground}).Draw(t, "class"),
					rapid.IntRange(1, 100).Draw(t, "tokens"))}
				j.Notify = func() { notified[j]++ }
				if rapid.IntRange(0, 3).Draw(t, "exclude") == 0 {
					j.Exclude = []string{"e1"}
				}
				a.Submit(j, start)
				jobs = append(jobs, j)
			}
			for range rapid.IntRange(1, 80).Draw(t, "steps") {
				switch rapid.IntRange(0, 4).Draw(t, "step") {
				case 0:
					update()
				case 1, 2:
					submit()
				default:
					if len(jobs) == 0 {
						continue
					}
					i := rapid.IntRange(0, len(jobs)-1).Draw(t, "job")
					if jobs[i].Placed {
						a.Finish(jobs[i], 1, start)
					} else {
						a.Cancel(jobs[i])
					}
					jobs = append(jobs[:i], jobs[i+1:]...)
				}
				checkCapacity(t, views, jobs, notified)
			}
		})
	})

	It("requests the loaded older version during a version roll-out", func() {
		a := assigner.New()
		old := view("e1", 4)
		old.Loaded[engineview.Loaded{Kind: "model", Name: "m", Version: "1"}] = true
		a.Update([]engineview.View{old}, start)
		j := &assigner.Job{Request: newRequest("a", "m", object.ClassNormal, 1)}
		a.Submit(j, start)
		Expect(j.Placed).To(BeTrue())
		Expect(j.Version).To(Equal("1"))
	})

	It("spreads prompts with a prefix cached on one engine to others once its backlog grows", func() {
		a := assigner.New(assigner.WithSeed(1))
		var views []engineview.View
		for i := range 8 {
			views = append(views, view(fmt.Sprint("e", i), 16, "m"))
		}
		views[5].Events = []engineview.CacheEvent{{Sequence: 1, Added: []uint64{1, 2, 3, 4, 5, 6, 7, 8}}}
		a.Update(views, start)
		used := map[string]int{}
		for range 40 {
			r := newRequest("a", "m", object.ClassNormal, 100)
			r.Prompt = make([]byte, 8*prefix.BlockBytes)
			r.Prefix = prefix.Hashes{1, 2, 3, 4, 5, 6, 7, 8}
			j := &assigner.Job{Request: r}
			a.Submit(j, start)
			used[j.Target]++
		}
		Expect(len(used)).To(BeNumerically(">", 1))
		Expect(len(used)).To(BeNumerically("<=", 8))
	})

	It("refuses a job whose expected wait exceeds its deadline, with a retry delay", func() {
		a := assigner.New()
		a.Update([]engineview.View{view("e1", 1, "m")}, start)
		running := &assigner.Job{Request: newRequest("a", "m", object.ClassNormal, 100)}
		a.Submit(running, start)
		for i := 1; i <= 5; i++ {
			next := &assigner.Job{Request: newRequest("a", "m", object.ClassNormal, 100)}
			a.Submit(next, seconds(i))
			a.Finish(running, 100, seconds(i))
			running = next
		}
		for range 50 {
			a.Submit(&assigner.Job{Request: newRequest("a", "m", object.ClassNormal, 100)}, seconds(5))
		}
		late := newRequest("a", "m", object.ClassNormal, 100)
		late.Deadline = seconds(15)
		j := &assigner.Job{Request: late}
		a.Submit(j, seconds(5))
		Expect(failure.Is(j.Err, failure.Overloaded)).To(BeTrue())
		Expect(failure.From(j.Err).Answer().RetryAfter).To(BeNumerically("~", 40*time.Second, 10*time.Second))

		other := newRequest("b", "m", object.ClassNormal, 100)
		other.Deadline = seconds(15)
		j = &assigner.Job{Request: other}
		a.Submit(j, seconds(5))
		Expect(j.Err).NotTo(HaveOccurred())
	})

	It("alternates between a flooding and another customer on one engine, across models", func() {
		a := assigner.New(assigner.WithQueueLimits(queue.Limits{MaxWaiting: 1000, AgingInterval: time.Hour}))
		a.Update([]engineview.View{view("e1", 1, "m", "n")}, start)
		running := &assigner.Job{Request: newRequest("flood", "m", object.ClassNormal, 100)}
		a.Submit(running, start)
		waiting := map[*assigner.Job]bool{}
		order := ""
		submit := func(customer, model string) {
			j := &assigner.Job{Request: newRequest(customer, model, object.ClassNormal, 100)}
			j.Notify = func() {
				order += customer[:1]
				running = j
				delete(waiting, j)
			}
			a.Submit(j, start)
			waiting[j] = true
		}
		for range 50 {
			submit("flood", "m")
		}
		for range 10 {
			submit("small", "n")
		}
		for range 20 {
			a.Finish(running, 100, start)
		}
		Expect(order).To(Equal("fsfsfsfsfsfsfsfsfsfs"))
	})
})

// checkCapacity checks that no job is queued while an engine that can run it has
// capacity, and that no job was notified more than once.
func checkCapacity(t *rapid.T, views map[string]engineview.View, jobs []*assigner.Job, notified map[*assigner.Job]int) {
	requests := map[string]int{}
	tokens := map[string]int64{}
	for _, j := range jobs {
		if notified[j] > 1 {
			t.Fatalf("a job was notified %d times", notified[j])
		}
		if j.Placed {
			requests[j.Target]++
			tokens[j.Target] += int64(j.Request.MaxTokens)
		}
	}
	for _, j := range jobs {
		if j.Placed || j.Err != nil {
			continue
		}
		for name, v := range views {
			loaded := v.Loaded[engineview.Loaded{Kind: "model", Name: j.Request.Weights.Model, Version: "2"}]
			excluded := len(j.Exclude) > 0 && j.Exclude[0] == name
			hasCapacity := requests[name] < v.Concurrency && (v.CreditTokens == 0 || tokens[name] < v.CreditTokens)
			if v.Reachable && loaded && hasCapacity && !excluded {
				t.Fatalf("a job for %s is queued although %s has capacity", j.Request.Weights.Model, name)
			}
		}
	}
}
