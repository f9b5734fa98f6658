package usherledger

import "time"

// overtime is how long a request that outlives its id is kept before the ledger looks at it again.
const overtime = time.Minute

// expiries is a heap of entries, the first to expire on top.
type expiries []*entry

// Len implements sort.Interface.
func (e expiries) Len() int {
	return len(e)
}

// Less implements sort.Interface.
func (e expiries) Less(i, j int) bool {
	return e[i].expiry.Before(e[j].expiry)
}

// Swap implements sort.Interface.
func (e expiries) Swap(i, j int) {
	e[i], e[j] = e[j], e[i]
	e[i].position = i
	e[j].position = j
}

// Push implements heap.Interface.
func (e *expiries) Push(value any) {
	added := value.(*entry)
	added.position = len(*e)
	*e = append(*e, added)
}

// Pop implements heap.Interface.
func (e *expiries) Pop() any {
	last := len(*e) - 1
	popped := (*e)[last]
	(*e)[last] = nil
	*e = (*e)[:last]
	return popped
}
