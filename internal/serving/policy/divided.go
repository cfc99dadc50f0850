package policy

// Divided reports whether the requests for a pool differ in urgency or in who sends them:
// its routes have different objectives or ranks, or there is more than one customer. Only
// then is anything gained by putting some requests before others. The result is computed
// by Index.
func (p *Policy) Divided(pool string) bool { return p.divided[pool] }

// indexDivided sets p.divided.
func (p *Policy) indexDivided() {
	p.divided = make(map[string]bool)
	first := make(map[string]*Route)
	for i := range p.Routes {
		r := &p.Routes[i]
		for _, s := range r.Split {
			f := first[s.Pool]
			if f == nil {
				f = r
				first[s.Pool] = r
			}
			if len(p.Customers) > 1 || r.Objective != f.Objective || r.Rank != f.Rank {
				p.divided[s.Pool] = true
			}
		}
	}
}
