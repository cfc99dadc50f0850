package gatewaydirectory

import (
	"cmp"
	"math"
	"slices"

	"fireflypier.example/fireflypier/internal/rendezvous"
)

// Customer is what the assignment of homes needs to know of a customer.
type Customer struct {
	// Name names the customer, TokensPerSecond is its rate.
	Name            string
	TokensPerSecond float64
}

const (
	// loadSlack is how far above the mean the load of a gateway may be.
	loadSlack = 1.25
	// homesForShare spreads a customer over twice as many gateways as its
	// share of all rates fills.
	homesForShare = 2
)

// assign gives each customer its home gateways among those of one data
// centre, the first choice first. Large customers choose first; a customer
// takes the gateways that rendezvous hashing ranks highest and whose load
// stays within the slack.
func assign(gateways []string, customers []Customer) map[string][]string {
	homes := make(map[string][]string, len(customers))
	if len(gateways) == 0 {
		return homes
	}
	total := 0.0
	for _, c := range customers {
		total += c.TokensPerSecond
	}
	bound := loadSlack * total / float64(len(gateways))
	load := make(map[string]float64, len(gateways))
	for _, c := range bySize(customers) {
		n := homeCount(c.TokensPerSecond/total, len(gateways))
		part := c.TokensPerSecond / float64(n)
		homes[c.Name] = choose(c.Name, gateways, n, load, bound-part)
		for _, g := range homes[c.Name] {
			load[g] += part
		}
	}
	return homes
}

func bySize(customers []Customer) []Customer {
	sorted := slices.Clone(customers)
	slices.SortFunc(sorted, func(a, b Customer) int {
		return cmp.Or(cmp.Compare(b.TokensPerSecond, a.TokensPerSecond), cmp.Compare(a.Name, b.Name))
	})
	return sorted
}

func homeCount(share float64, gateways int) int {
	n := int(math.Ceil(homesForShare * share * float64(gateways)))
	return min(max(n, 1), gateways)
}

// choose takes n gateways in the order of rendezvous hashing, those with room
// first.
func choose(customer string, gateways []string, n int, load map[string]float64, room float64) []string {
	ranked := rendezvous.Order(customer, gateways)
	chosen := make([]string, 0, n)
	for _, g := range ranked {
		if len(chosen) < n && load[g] <= room {
			chosen = append(chosen, g)
		}
	}
	for _, g := range ranked {
		if len(chosen) < n && !slices.Contains(chosen, g) {
			chosen = append(chosen, g)
		}
	}
	return chosen
}
