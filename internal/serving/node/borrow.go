package node

import (
	"context"
	"net/netip"
	"time"

	"fireflypier.example/fireflypier/internal/rendezvous"
	"fireflypier.example/fireflypier/internal/serving/mesh/meshpb"
)

const (
	// borrowTimeout bounds the wait for a lender. Lenders answer within a few
	// milliseconds.
	borrowTimeout = 150 * time.Millisecond
	// maxLenders is the number of lenders that are tried for one request.
	maxLenders = 2
)

// borrow charges a request to a customer's rate at the customer's lender: one of the
// hubs, the same for all VMs. If the lender does not answer, another hub lends. borrow
// reports whether the charge was made; if not, after is the time until it could be.
func (n *Node) borrow(ctx context.Context, customer string, cost float64) (ok bool, after time.Duration, err error) {
	err = askLenders(n.hubOrder(customer), func(lender netip.AddrPort) (err error) {
		ok, after, err = n.borrowFrom(ctx, lender, customer, cost)
		return err
	})
	return ok, after, err
}

// askLenders asks the lenders in order until one answers, and at most maxLenders of them.
// It returns the error of the last one.
func askLenders(order []netip.AddrPort, ask func(lender netip.AddrPort) error) (err error) {
	for _, lender := range order[:min(maxLenders, len(order))] {
		if err = ask(lender); err == nil {
			return nil
		}
	}
	return err
}

// hubOrder returns the hubs in the order in which they lend for a key: a customer or the ID
// of a target.
func (n *Node) hubOrder(key string) []netip.AddrPort {
	hubs := n.mesh.Hubs()
	names := make([]string, len(hubs))
	byName := make(map[string]netip.AddrPort, len(hubs))
	for i, h := range hubs {
		names[i] = h.String()
		byName[names[i]] = h
	}
	order := make([]netip.AddrPort, 0, len(hubs))
	for _, name := range rendezvous.Order(key, names) {
		order = append(order, byName[name])
	}
	return order
}

func (n *Node) borrowFrom(ctx context.Context, lender netip.AddrPort, customer string, cost float64) (ok bool, after time.Duration, err error) {
	if lender == n.Settings.Peer {
		ok, after = n.forward.Lend(customer, cost)
		return ok, after, nil
	}
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	reply, err := n.mesh.Borrow(ctx, lender, &meshpb.BorrowRequest{Customer: customer, Cost: cost})
	if err != nil {
		return false, 0, err
	}
	return reply.GetGranted(), time.Duration(reply.GetAfterMs()) * time.Millisecond, nil
}
