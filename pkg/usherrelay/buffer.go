package usherrelay

// tokenQueue is a FIFO queue of tokens in a reusable slice: once it has grown to the size that a stream needs, pushing a
// token does not allocate.
type tokenQueue struct {
	data   []byte
	ends   []int // end of each token in data
	head   int   // index in ends of the first token not yet popped
	offset int   // start of that token in data
}

func (q *tokenQueue) tokens() int {
	return len(q.ends) - q.head
}

func (q *tokenQueue) bytes() int {
	return len(q.data) - q.offset
}

func (q *tokenQueue) reset() {
	q.data = q.data[:0]
	q.ends = q.ends[:0]
	q.head = 0
	q.offset = 0
}

func (q *tokenQueue) push(token []byte) {
	if q.head == len(q.ends) {
		q.reset()
	}
	if q.shouldCompact(len(token)) {
		q.compact()
	}
	q.data = append(q.data, token...)
	q.ends = append(q.ends, len(q.data))
}

func (q *tokenQueue) pop() ([]byte, bool) {
	if q.head == len(q.ends) {
		return nil, false
	}
	end := q.ends[q.head]
	token := q.data[q.offset:end:end]
	q.head++
	q.offset = end
	return token, true
}

// shouldCompact reports whether pushing a token of the given size would grow a slice although at least half of its
// entries belong to tokens that were popped.
func (q *tokenQueue) shouldCompact(size int) bool {
	full := len(q.ends) == cap(q.ends) || len(q.data)+size > cap(q.data)
	return full && q.head > 0 && q.head >= q.tokens()
}

func (q *tokenQueue) compact() {
	kept := copy(q.data, q.data[q.offset:])
	q.data = q.data[:kept]
	count := copy(q.ends, q.ends[q.head:])
	q.ends = q.ends[:count]
	for i := range q.ends {
		q.ends[i] -= q.offset
	}
	q.head = 0
	q.offset = 0
}
