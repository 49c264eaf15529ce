package scenario

import "slices"

// overridden is a value that faults replace while they are active. If several faults are active, the value of the one
// that started last is in effect. Faults may end in any order.
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

// begin puts a value into effect and returns the function that ends it.
func (o *overridden[T]) begin(value T) (end func()) {
	begun := &value
	o.active = append(o.active, begun)
	return func() {
		o.active = slices.DeleteFunc(o.active, func(other *T) bool { return other == begun })
	}
}

// override overrides a value of the harness, under the harness's lock, and returns the function that ends it.
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
