package storerelay_test

import (
	"context"
	"net/netip"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/serving/fakestore"
	"fireflypier.example/fireflypier/internal/serving/mesh/meshpb"
	"fireflypier.example/fireflypier/internal/serving/rowstore"
	"fireflypier.example/fireflypier/internal/serving/storerelay"
)

func TestStoreRelay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "store relay")
}

// refusingStore is a store whose List and Write fail with err.
type refusingStore struct {
	rowstore.Store
	err error
}

func (t refusingStore) List(context.Context, rowstore.Table) (rowstore.Page, error) {
	return rowstore.Page{}, t.err
}

func (t refusingStore) Write(context.Context, ...rowstore.Write) (rowstore.Result, error) {
	return rowstore.Result{}, t.err
}

var _ = Describe("a relayed store", func() {
	var (
		store   *fakestore.Store
		relayed int
		reached bool
	)
	ctx := context.Background()
	peer := netip.MustParseAddrPort("10.0.0.2:7600")
	write := rowstore.Write{Table: rowstore.Duties, Key: "k", Value: []byte("v")}
	relay := func(err error, failing bool) *storerelay.Store {
		return storerelay.New(storerelay.Config{
			Direct:  refusingStore{err: err},
			Failing: func() bool { return failing },
			Peers:   func() []netip.AddrPort { return []netip.AddrPort{peer} },
			Relay: func(ctx context.Context, _ netip.AddrPort, c *meshpb.StoreCall) (*meshpb.StoreAnswer, error) {
				relayed++
				if !reached {
					return nil, errors.New("not reached")
				}
				return storerelay.Serve(ctx, store, c)
			},
			Logger: hclog.NewNullLogger(),
		})
	}
	BeforeEach(func() {
		store = fakestore.New(clockwork.NewFakeClock())
		relayed, reached = 0, true
	})

	It("writes and lists through a peer when direct calls are refused", func() {
		s := relay(rowstore.ErrRefused, false)
		result, err := s.Write(ctx, write)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Applied).To(BeTrue())
		result, err = s.Write(ctx, write)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Applied).To(BeFalse())
		Expect(result.Current).To(HaveLen(1))
		page, err := s.List(ctx, rowstore.Duties)
		Expect(err).NotTo(HaveOccurred())
		Expect(page.Rows).To(HaveLen(1))
		Expect(page.Rows[0].Value).To(Equal([]byte("v")))
	})

	It("does not repeat a write that may have been carried out", func() {
		s := relay(rowstore.ErrUnanswered, false)
		_, err := s.Write(ctx, write)
		Expect(err).To(MatchError(rowstore.ErrUnanswered))
		Expect(relayed).To(BeZero())
	})

	It("relays a write without a direct call while direct calls fail", func() {
		s := relay(rowstore.ErrUnanswered, true)
		_, err := s.Write(ctx, write)
		Expect(err).NotTo(HaveOccurred())
		Expect(relayed).To(Equal(1))
	})

	It("returns ErrUnanswered for a write through a peer that does not answer", func() {
		reached = false
		s := relay(rowstore.ErrRefused, false)
		_, err := s.Write(ctx, write)
		Expect(err).To(MatchError(rowstore.ErrUnanswered))
	})

	It("returns the failure of the peer's call", func() {
		store.Fail(fakestore.AnswerLost)
		s := relay(rowstore.ErrRefused, false)
		_, err := s.Write(ctx, write)
		Expect(err).To(MatchError(rowstore.ErrUnanswered))
		store.Fail(fakestore.Refused)
		_, err = s.List(ctx, rowstore.Duties)
		Expect(err).To(MatchError(rowstore.ErrRefused))
	})
})
