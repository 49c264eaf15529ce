package scenario

import "slices"

// overridden is a value that faults replace while they last. Of several at once the one that began last has effect; when
// it ends, the latest of the others has it again, whatever the order in which they end.
type overridden[T any] struct {
	usual  T
	active []*T // oldest first
}

// value returns the value in effect.
func (o *overridden[T]) value() T {
	if n := len(o.active); n > 0 {
		return *o.active[n-1]
	}
	return o.usual
}

// begin puts a value into effect and returns what ends it.
func (o *overridden[T]) begin(value T) (end func()) {
	begun := &value
	o.active = append(o.active, begun)
	return func() {
		o.active = slices.DeleteFunc(o.active, func(other *T) bool { return other == begun })
	}
}

// override begins a value of the harness and returns what ends it.
func override[T any](h *Harness, o *overridden[T], value T) func() {
	h.mu.Lock()
	defer h.mu.Unlock()
	end := o.begin(value)
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		end()
	}
}
