package usherroute

import "time"

// contentionRatio is the least ratio of the objectives of two routes of different rank that compete.
const contentionRatio = 2

// Contention describes streams of different urgency that compete for the engines of a service.
type Contention struct {
	// Objective is the shortest objective of the service's streams.
	Objective time.Duration
	// Rank is that of the most urgent streams; zero is the most urgent.
	Rank int
}

// Contention reports whether streams of different urgency compete for the memory of a service's engines: a route of a lower
// rank has an objective of at least twice that of a route with a higher one.
func (t *Table) Contention(service string) (Contention, bool) {
	if s, ok := t.services[service]; !ok || s.Engine == nil || s.Engine.MemoryTokens <= 0 {
		return Contention{}, false
	}
	var streams []Route
	for _, routes := range t.routes {
		for _, r := range routes {
			if r.Kind == Stream && r.Objective > 0 && r.uses(service) {
				streams = append(streams, r)
			}
		}
	}
	if len(streams) == 0 {
		return Contention{}, false
	}
	c, competes := Contention{Objective: streams[0].Objective, Rank: streams[0].Priority}, false
	for _, a := range streams {
		c.Objective, c.Rank = min(c.Objective, a.Objective), min(c.Rank, a.Priority)
		for _, b := range streams {
			competes = competes || a.Priority < b.Priority && b.Objective >= contentionRatio*a.Objective
		}
	}
	return c, competes
}

func (r Route) uses(service string) bool {
	for _, s := range r.Shares {
		if s.Service == service && s.Weight > 0 {
			return true
		}
	}
	return false
}
