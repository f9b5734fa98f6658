package usherrelay

// buffer is a queue of tokens in one slice that is used again and again: once it has grown to what a stream needs,
// a token costs no allocation.
type buffer struct {
	data  []byte
	ends  []int
	first int
	start int
}

func (b *buffer) tokens() int {
	return len(b.ends) - b.first
}

func (b *buffer) bytes() int {
	return len(b.data) - b.start
}

func (b *buffer) reset() {
	b.data = b.data[:0]
	b.ends = b.ends[:0]
	b.first = 0
	b.start = 0
}

func (b *buffer) push(token []byte) {
	if b.first == len(b.ends) {
		b.reset()
	}
	if b.crowded(len(token)) {
		b.compact()
	}
	b.data = append(b.data, token...)
	b.ends = append(b.ends, len(b.data))
}

func (b *buffer) pop() ([]byte, bool) {
	if b.first == len(b.ends) {
		return nil, false
	}
	end := b.ends[b.first]
	token := b.data[b.start:end:end]
	b.first++
	b.start = end
	return token, true
}

// crowded reports whether the next token needs a larger slice although at least half of this one is free.
func (b *buffer) crowded(size int) bool {
	full := len(b.ends) == cap(b.ends) || len(b.data)+size > cap(b.data)
	return full && b.first > 0 && b.first >= b.tokens()
}

func (b *buffer) compact() {
	kept := copy(b.data, b.data[b.start:])
	b.data = b.data[:kept]
	count := copy(b.ends, b.ends[b.first:])
	b.ends = b.ends[:count]
	for i := range b.ends {
		b.ends[i] -= b.start
	}
	b.first = 0
	b.start = 0
}
