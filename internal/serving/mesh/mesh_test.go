package mesh_test

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fireflypier.example/fireflypier/internal/serving/mesh"
	"fireflypier.example/fireflypier/internal/serving/mesh/meshpb"
	"fireflypier.example/fireflypier/internal/serving/rowstore"
)

func TestMesh(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "mesh")
}

// vm is the delegate of one VM.
type vm struct {
	mesh *mesh.Mesh
	addr netip.AddrPort
	stop context.CancelFunc

	mu       sync.Mutex
	received map[netip.AddrPort]int
	policy   int64
	table    rowstore.Page
}

func (v *vm) Digest() *meshpb.Digest {
	v.mu.Lock()
	defer v.mu.Unlock()
	return &meshpb.Digest{PolicyVersion: v.policy}
}

func (v *vm) CompleteDigest(d *meshpb.Digest, p *mesh.Peer) { d.SendsSeen = p.Incarnation }

func (v *vm) DigestReceived(p *mesh.Peer) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.received[p.Address]++
}

func (v *vm) Table(rowstore.Table) (rowstore.Page, int64) { return v.table, v.table.Version }

func (v *vm) Relay(context.Context, *meshpb.StoreCall) (*meshpb.StoreAnswer, error) {
	return &meshpb.StoreAnswer{Version: 17}, nil
}

func (v *vm) Need(_ context.Context, r *meshpb.NeedRequest) (*meshpb.NeedReply, error) {
	return &meshpb.NeedReply{Target: r.GetModel()}, nil
}

func (v *vm) live() []netip.AddrPort {
	var addrs []netip.AddrPort
	for _, p := range v.mesh.Peers() {
		if p.Live(time.Now()) {
			addrs = append(addrs, p.Address)
		}
	}
	return addrs
}

var _ = Describe("a mesh", func() {
	ports := 0
	begin := func(incarnation int64, addr netip.AddrPort) *vm {
		v := &vm{addr: addr, received: make(map[netip.AddrPort]int)}
		var err error
		v.mesh, err = mesh.New(&meshpb.Member{Peer: addr.String(), Incarnation: incarnation, Name: addr.String(), Front: addr.String()},
			v, clockwork.NewRealClock(), hclog.NewNullLogger())
		Expect(err).NotTo(HaveOccurred())
		var ctx context.Context
		ctx, v.stop = context.WithCancel(context.Background())
		go func() { _ = v.mesh.Run(ctx) }()
		DeferCleanup(func() {
			v.stop()
			Eventually(v.mesh.Done()).Should(BeClosed())
		})
		return v
	}
	next := func() netip.AddrPort {
		ports++
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 9, byte(ports)}), 17600)
	}
	var a, b, c *vm
	BeforeEach(func() {
		a, b, c = begin(1, next()), begin(1, next()), begin(1, next())
		// Only b has a and c in its member list at the start.
		b.mesh.Add(&meshpb.Member{Peer: a.addr.String()})
		b.mesh.Add(&meshpb.Member{Peer: c.addr.String()})
	})

	It("spreads the member list to VMs that share only one peer", func() {
		Eventually(a.live, "5s").Should(ConsistOf(b.addr, c.addr))
		Eventually(c.live, "5s").Should(ConsistOf(a.addr, b.addr))
	})

	It("makes one exchange per pair and interval, which updates both sides", func() {
		Eventually(a.live, "5s").Should(ConsistOf(b.addr, c.addr))
		Eventually(b.live, "5s").Should(ConsistOf(a.addr, c.addr))
		received := func(v *vm) int {
			v.mu.Lock()
			defer v.mu.Unlock()
			return v.received[b.addr] + v.received[a.addr]
		}
		const interval = 200 * time.Millisecond
		began := time.Now()
		atA, atB := received(a), received(b)
		Eventually(func() int { return received(a) - atA }, "10s").Should(BeNumerically(">=", 10))
		Eventually(func() int { return received(b) - atB }, "10s").Should(BeNumerically(">=", 10))
		most := int(time.Since(began)/interval) + 3
		Expect(received(a) - atA).To(BeNumerically("<=", most))
		Expect(received(b) - atB).To(BeNumerically("<=", most))
	})

	It("propagates the ready and leaving status", func() {
		a.mesh.Announce(true, false)
		ready := func() (ready, leaving bool) {
			for _, p := range b.mesh.Peers() {
				if p.Address == a.addr {
					return p.Ready, p.Leaving
				}
			}
			return false, false
		}
		Eventually(func() bool { r, _ := ready(); return r }, "3s").Should(BeTrue())
		a.mesh.Announce(false, true)
		Eventually(func() bool { r, l := ready(); return !r && l }, "3s").Should(BeTrue())
	})

	It("detects that a VM has stopped, and that it has restarted as another incarnation", func() {
		Eventually(b.live, "5s").Should(ContainElement(a.addr))
		a.stop()
		Eventually(a.mesh.Done()).Should(BeClosed())
		Eventually(b.live, "5s").ShouldNot(ContainElement(a.addr))
		again := begin(2, a.addr)
		Eventually(b.live, "6s").Should(ContainElement(a.addr))
		Eventually(again.live, "6s").Should(ContainElement(b.addr))
	})

	It("returns a table only if it changed after the given version", func() {
		Eventually(a.live, "5s").Should(ContainElement(b.addr))
		b.table = rowstore.Page{Version: 5, Rows: []rowstore.Row{{Key: "k", Value: []byte("v"), Version: 5}}}
		page, ok, err := a.mesh.Fetch(context.Background(), b.addr, rowstore.Targets, 4)
		Expect(err).NotTo(HaveOccurred())
		Expect(ok).To(BeTrue())
		Expect(page.Rows).To(HaveLen(1))
		_, ok, err = a.mesh.Fetch(context.Background(), b.addr, rowstore.Targets, 5)
		Expect(err).NotTo(HaveOccurred())
		Expect(ok).To(BeFalse())
		_, _, err = a.mesh.Fetch(context.Background(), b.addr, rowstore.Duties, 0)
		Expect(err).To(HaveOccurred())
	})

	It("forwards adapter requests and store calls to a peer", func() {
		reply, err := a.mesh.Need(context.Background(), b.addr, &meshpb.NeedRequest{Model: "m"})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.GetTarget()).To(Equal("m"))
		answer, err := a.mesh.Relay(context.Background(), b.addr, &meshpb.StoreCall{})
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.GetVersion()).To(Equal(int64(17)))
	})
})
