package connbudget_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fireflypier.example/fireflypier/internal/connbudget"
)

func TestConnbudget(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "connbudget")
}

const (
	kb = 1 << 10
	// ordinaryHead is the cost of a request header of 2 KB with 20 lines.
	ordinaryHead = 4*2*kb + 192*20
)

var start = time.Unix(1_000_000, 0)

// caller is a connection with what has become of it.
type caller struct {
	*connbudget.Connection
	evictions int
	age       time.Duration
}

// open opens a connection. One that is given up ends at once.
func open(b *connbudget.Budget, now time.Time) *caller {
	c := &caller{}
	retry(func() (wait <-chan struct{}) {
		c.Connection, wait = b.Open(now, func(age time.Duration) {
			c.evictions, c.age = c.evictions+1, age
			c.Close()
		})
		return wait
	})
	return c
}

// retry calls account until it need not wait. Nothing else runs meanwhile, so that room is there
// at once.
func retry(account func() (wait <-chan struct{})) {
	GinkgoHelper()
	for wait := account(); wait != nil; wait = account() {
		Expect(wait).To(BeClosed())
	}
}

// Received and Whole account for a part of a request, and a whole one.
func (c *caller) Received(cost int64, now time.Time) (kept bool) {
	GinkgoHelper()
	retry(func() (wait <-chan struct{}) {
		kept, wait = c.Connection.Received(cost, now)
		return wait
	})
	return kept
}

func (c *caller) Whole(now time.Time) (kept bool) {
	GinkgoHelper()
	retry(func() (wait <-chan struct{}) {
		kept, wait = c.Connection.Whole(now)
		return wait
	})
	return kept
}

var _ = Describe("a budget of connections", func() {
	// Guards against a process that runs out of memory, or turns ordinary callers away, while
	// others send headers that they never end.
	It("serves ordinary callers while a crowd opens connections and sends without end", func() {
		random := rand.New(rand.NewPCG(1, 1))
		b := connbudget.New(4<<20, 1000)
		now, served := start, 0
		var crowd []*caller
		for range 5000 {
			now = now.Add(time.Millisecond)
			if c := open(b, now); c.Connection != nil {
				crowd = append(crowd, c)
			}
			for range 4 {
				crowd[random.IntN(len(crowd))].Received(int64(random.IntN(100*kb)), now)
			}
			ordinary := open(b, now)
			Expect(ordinary.Connection).NotTo(BeNil())
			if ordinary.Received(ordinaryHead, now) && ordinary.Whole(now) {
				served++
				ordinary.Rest(now)
			}
			ordinary.Close()
			u := b.Usage()
			Expect(u.Memory).To(BeNumerically("<=", u.MemoryLimit))
			Expect(u.Open).To(BeNumerically("<=", u.Limit))
		}
		Expect(served).To(Equal(5000))
		for _, c := range crowd {
			Expect(c.evictions).To(BeNumerically("<=", 1))
			c.Close()
		}
		Expect(b.Usage().Memory).To(BeZero())
		Expect(b.Usage().Open).To(BeZero())
	})

	It("gives up what has been sending longest, then what has been idle longest, and never what it serves", func() {
		b := connbudget.New(100<<20, 3)
		served, idle, sending := open(b, start), open(b, start), open(b, start.Add(time.Second))
		Expect(served.Whole(start)).To(BeTrue())
		Expect(idle.Whole(start)).To(BeTrue())
		idle.Rest(start.Add(2 * time.Second))
		next := open(b, start.Add(5*time.Second))
		Expect(sending.evictions).To(Equal(1))
		Expect(sending.age).To(Equal(4 * time.Second))
		Expect(next.Whole(start)).To(BeTrue())
		last := open(b, start.Add(6*time.Second))
		Expect(idle.evictions).To(Equal(1))
		Expect(last.Whole(start)).To(BeTrue())
		Expect(open(b, start).Connection).To(BeNil())
		Expect(served.evictions + next.evictions + last.evictions).To(BeZero())
		Expect(b.Usage().Refused).To(Equal(int64(1)))
	})

	It("gives up connections that serve requests or are idle for no limit of a listener", func() {
		b := connbudget.New(100<<20, 10)
		served, idle, sending := open(b, start), open(b, start), open(b, start)
		Expect(served.Whole(start)).To(BeTrue())
		Expect(idle.Whole(start)).To(BeTrue())
		idle.Rest(start)
		Expect(b.GiveUpIncomplete(start)).To(BeTrue())
		Expect(b.GiveUpIncomplete(start)).To(BeFalse())
		Expect(sending.evictions).To(Equal(1))
		Expect(served.evictions + idle.evictions).To(BeZero())
	})

	// Guards against a request that runs although its caller was turned away.
	It("does not pass a request on whose connection it has given up", func() {
		b := connbudget.New(100<<20, 1)
		first := open(b, start)
		Expect(first.Received(ordinaryHead, start)).To(BeTrue())
		open(b, start)
		Expect(first.Received(1, start)).To(BeFalse())
		Expect(first.Whole(start)).To(BeFalse())
		first.Close()
		Expect(b.Usage().Open).To(Equal(1))
	})

	// Guards against a connection that, idle again, counts as sending since its first request.
	It("counts the time of a connection from the first byte after its last request", func() {
		b := connbudget.New(100<<20, 2)
		kept, other := open(b, start), open(b, start)
		Expect(kept.Whole(start)).To(BeTrue())
		kept.Rest(start)
		Expect(kept.Received(1, start.Add(time.Second))).To(BeTrue())
		open(b, start.Add(2*time.Second))
		Expect(other.evictions).To(Equal(1))
		Expect(kept.evictions).To(BeZero())
	})

	It("keeps a single request of the longest header", func() {
		b := connbudget.New(4<<20, 10)
		c := open(b, start)
		Expect(c.Received(4*36*kb+192*9*kb, start)).To(BeTrue())
		Expect(c.Whole(start)).To(BeTrue())
	})

	// Guards against memory that is given out again while the goroutine that has it still runs.
	It("counts the memory of a connection that was given up until it is closed", func() {
		b := connbudget.New(64*kb, 10)
		end := func(time.Duration) {} // later
		first, _ := b.Open(start, end)
		kept, wait := first.Received(40*kb, start)
		Expect(kept).To(BeTrue())
		Expect(wait).To(BeNil())
		second, wait := b.Open(start, end)
		Expect(second).To(BeNil())
		Expect(wait).NotTo(BeClosed())
		Expect(b.Usage().Evicted).To(Equal(int64(1)))
		Expect(b.Usage().Memory).To(Equal(int64(56 * kb)))
		kept, _ = first.Received(1, start)
		Expect(kept).To(BeFalse())
		first.Close()
		Expect(wait).To(BeClosed())
		second, wait = b.Open(start, end)
		Expect(second).NotTo(BeNil())
		Expect(wait).To(BeNil())
		Expect(b.Usage().Memory).To(Equal(int64(16 * kb)))
	})

	// Guards against callers of refused requests who stay, and keep new ones out.
	It("gives up the connection of a refused request, of which more is to come, before a new one", func() {
		b := connbudget.New(40*kb, 10)
		refused, other := open(b, start), open(b, start)
		Expect(refused.Received(kb, start)).To(BeTrue())
		Expect(refused.Answered()).To(BeTrue())
		Expect(b.Usage().Memory).To(Equal(int64(32 * kb)))
		other.Close()
		ordinary := open(b, start.Add(time.Second))
		Expect(ordinary.Received(ordinaryHead, start.Add(time.Second))).To(BeTrue())
		Expect(refused.evictions).To(Equal(1))
	})

	// Guards against callers who stay after one request, and keep new ones out.
	It("gives up idle connections before a new one that is the only one to send", func() {
		b := connbudget.New(40*kb, 10)
		stays := open(b, start)
		Expect(stays.Whole(start)).To(BeTrue())
		stays.Rest(start)
		ordinary := open(b, start.Add(time.Second))
		Expect(ordinary.Received(ordinaryHead, start.Add(time.Second))).To(BeTrue())
		Expect(stays.evictions).To(Equal(1))
	})
})
