package usherledger

import "time"

// recheckInterval is the time between checks of a request that is still in progress after its ID has expired.
const recheckInterval = time.Minute

// expiryHeap is a min-heap of entries by expiry time.
type expiryHeap []*entry

// Len implements sort.Interface.
func (e expiryHeap) Len() int {
	return len(e)
}

// Less implements sort.Interface.
func (e expiryHeap) Less(i, j int) bool {
	return e[i].expiry.Before(e[j].expiry)
}

// Swap implements sort.Interface.
func (e expiryHeap) Swap(i, j int) {
	e[i], e[j] = e[j], e[i]
	e[i].position = i
	e[j].position = j
}

// Push implements heap.Interface.
func (e *expiryHeap) Push(value any) {
	added := value.(*entry)
	added.position = len(*e)
	*e = append(*e, added)
}

// Pop implements heap.Interface.
func (e *expiryHeap) Pop() any {
	last := len(*e) - 1
	popped := (*e)[last]
	(*e)[last] = nil
	*e = (*e)[:last]
	return popped
}
