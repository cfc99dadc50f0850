package gatewaydirectory

import (
	"cmp"
	"math"
	"slices"

	"fireflypier.example/fireflypier/internal/rendezvous"
)

// Customer is the data of a customer that the assignment of homes uses.
type Customer struct {
	// Name identifies the customer and TokensPerSecond is its rate limit.
	Name            string
	TokensPerSecond float64
}

const (
	// loadSlack limits the load of a gateway to a multiple of the mean load. It is
	// exceeded only if too few gateways have capacity left.
	loadSlack = 1.25
	// homesPerShare sets the number of home gateways of a customer: this factor
	// times the customer's share of all rates times the number of gateways.
	homesPerShare = 2
)

// assign returns the home gateways of each customer among the gateways of one data
// centre, in order of preference. It handles customers by descending rate, and assigns
// to each the gateways that rendezvous hashing ranks highest, preferring those whose
// load stays within loadSlack.
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
	for _, c := range byDescendingRate(customers) {
		n := homeCount(c.TokensPerSecond/total, len(gateways))
		ratePerHome := c.TokensPerSecond / float64(n)
		homes[c.Name] = choose(c.Name, gateways, n, load, bound-ratePerHome)
		for _, g := range homes[c.Name] {
			load[g] += ratePerHome
		}
	}
	return homes
}

func byDescendingRate(customers []Customer) []Customer {
	sorted := slices.Clone(customers)
	slices.SortFunc(sorted, func(a, b Customer) int {
		return cmp.Or(cmp.Compare(b.TokensPerSecond, a.TokensPerSecond), cmp.Compare(a.Name, b.Name))
	})
	return sorted
}

func homeCount(share float64, gateways int) int {
	n := int(math.Ceil(homesPerShare * share * float64(gateways)))
	return min(max(n, 1), gateways)
}

// choose returns n gateways in the order of rendezvous hashing. Gateways with a load
// of at most maxLoad come before the others.
func choose(customer string, gateways []string, n int, load map[string]float64, maxLoad float64) []string {
	ranked := rendezvous.Order(customer, gateways)
	chosen := make([]string, 0, n)
	for _, g := range ranked {
		if len(chosen) < n && load[g] <= maxLoad {
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
