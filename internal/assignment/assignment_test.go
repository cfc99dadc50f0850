package assignment_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"fireflypier.example/fireflypier/internal/assignment"
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

func TestAssignment(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "assignment")
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

var _ = Describe("the assignment", func() {
	It("leaves no job waiting for an engine with room, and overfills none", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			a := assignment.New(assignment.WithSeed(1))
			views := map[string]engineview.View{}
			var jobs []*assignment.Job
			noticed := map[*assignment.Job]int{}
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
				j := &assignment.Job{Request: newRequest(
					rapid.SampledFrom([]string{"a", "b"}).Draw(t, "customer"),
					rapid.SampledFrom([]string{"m", "n", "o"}).Draw(t, "model"),
					rapid.SampledFrom([]object.Class{object.ClassUrgent, object.ClassBackground}).Draw(t, "class"),
					rapid.IntRange(1, 100).Draw(t, "tokens"))}
				j.Notify = func() { noticed[j]++ }
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
				checkRoom(t, views, jobs, noticed)
			}
		})
	})

	It("asks for an older version during a roll", func() {
		a := assignment.New()
		old := view("e1", 4)
		old.Loaded[engineview.Loaded{Kind: "model", Name: "m", Version: "1"}] = true
		a.Update([]engineview.View{old}, start)
		j := &assignment.Job{Request: newRequest("a", "m", object.ClassNormal, 1)}
		a.Submit(j, start)
		Expect(j.Placed).To(BeTrue())
		Expect(j.Version).To(Equal("1"))
	})

	It("sends a prompt to the engine that has its prefix, until work piles up there", func() {
		a := assignment.New(assignment.WithSeed(1))
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
			j := &assignment.Job{Request: r}
			a.Submit(j, start)
			used[j.Target]++
		}
		Expect(len(used)).To(BeNumerically(">", 1))
		Expect(len(used)).To(BeNumerically("<=", 8))
	})

	It("refuses early what cannot be served before its deadline, and says when to come back", func() {
		a := assignment.New()
		a.Update([]engineview.View{view("e1", 1, "m")}, start)
		running := &assignment.Job{Request: newRequest("a", "m", object.ClassNormal, 100)}
		a.Submit(running, start)
		for i := 1; i <= 5; i++ {
			next := &assignment.Job{Request: newRequest("a", "m", object.ClassNormal, 100)}
			a.Submit(next, seconds(i))
			a.Finish(running, 100, seconds(i))
			running = next
		}
		for range 50 {
			a.Submit(&assignment.Job{Request: newRequest("a", "m", object.ClassNormal, 100)}, seconds(5))
		}
		pressed := newRequest("a", "m", object.ClassNormal, 100)
		pressed.Deadline = seconds(15)
		j := &assignment.Job{Request: pressed}
		a.Submit(j, seconds(5))
		Expect(failure.Is(j.Err, failure.Overloaded)).To(BeTrue())
		Expect(failure.From(j.Err).Answer().RetryAfter).To(BeNumerically("~", 40*time.Second, 10*time.Second))

		light := newRequest("b", "m", object.ClassNormal, 100)
		light.Deadline = seconds(15)
		j = &assignment.Job{Request: light}
		a.Submit(j, seconds(5))
		Expect(j.Err).NotTo(HaveOccurred())
	})

	It("gives a flooded engine to the other customer in turn, across models", func() {
		a := assignment.New(assignment.WithBounds(queue.Bounds{Waiting: 1000, Aging: time.Hour}))
		a.Update([]engineview.View{view("e1", 1, "m", "n")}, start)
		running := &assignment.Job{Request: newRequest("flood", "m", object.ClassNormal, 100)}
		a.Submit(running, start)
		waiting := map[*assignment.Job]bool{}
		order := ""
		submit := func(customer, model string) {
			j := &assignment.Job{Request: newRequest(customer, model, object.ClassNormal, 100)}
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

// checkRoom checks that no engine is overfilled, that nothing waits for an
// engine with room, and that every waiting job was told once.
func checkRoom(t *rapid.T, views map[string]engineview.View, jobs []*assignment.Job, noticed map[*assignment.Job]int) {
	requests := map[string]int{}
	tokens := map[string]int64{}
	for _, j := range jobs {
		if noticed[j] > 1 {
			t.Fatalf("a job was told %d times", noticed[j])
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
			holds := v.Loaded[engineview.Loaded{Kind: "model", Name: j.Request.Weights.Model, Version: "2"}]
			excluded := len(j.Exclude) > 0 && j.Exclude[0] == name
			room := requests[name] < v.Concurrency && (v.CreditTokens == 0 || tokens[name] < v.CreditTokens)
			if v.Reachable && holds && room && !excluded {
				t.Fatalf("a job for %s waits although %s has room", j.Request.Weights.Model, name)
			}
		}
	}
}
