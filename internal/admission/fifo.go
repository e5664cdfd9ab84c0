package admission

// fifo is a first-in first-out queue that reuses its memory.
type fifo[T any] struct {
	items []T
	head  int
}

func (f *fifo[T]) len() int { return len(f.items) - f.head }

func (f *fifo[T]) push(item T) { f.items = append(f.items, item) }

// first returns the oldest item. The queue must not be empty.
func (f *fifo[T]) first() *T { return &f.items[f.head] }

// each calls do with the items, the oldest first.
func (f *fifo[T]) each(do func(item T)) {
	for _, item := range f.items[f.head:] {
		do(item)
	}
}

// pop removes the oldest item. It compacts the remaining items once half of the slice is unused.
func (f *fifo[T]) pop() {
	var zero T
	f.items[f.head] = zero
	f.head++
	if f.head*2 < len(f.items) {
		return
	}
	rest := copy(f.items, f.items[f.head:])
	clear(f.items[rest:])
	f.items = f.items[:rest]
	f.head = 0
}
