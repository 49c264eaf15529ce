// Package timingwheel is a hierarchical timing wheel (Varghese and Lauck, "Hashed and Hierarchical Timing Wheels",
// SOSP 1987): adding and removing a timer take constant time, which suits deadlines that are nearly all
// removed before they come due. It reads no clock; time is a duration since any fixed moment.
package timingwheel

import (
	"math/bits"
	"time"
)

const (
	levels   = 4
	slotBits = 6
	slots    = 1 << slotBits
)

// Timer is one entry. Its owner holds it and may hand it to one Wheel at a time; the zero value is ready.
type Timer struct {
	Value      any // the owner's
	at         int64
	next, prev *Timer
	level      int8
	slot       int8
	in         bool
}

// Wheel holds timers. It belongs to one goroutine. A timer comes due at the first Advance at or after its
// time, rounded up to the tick.
type Wheel struct {
	tick  time.Duration
	now   int64 // ticks passed
	count int
	heads [levels][slots]*Timer
	used  [levels]uint64
}

// New returns a Wheel that begins at now.
func New(tick, now time.Duration) *Wheel { return &Wheel{tick: tick, now: int64(now / tick)} }

// Len is the number of timers held.
func (w *Wheel) Len() int { return w.count }

// Add has t come due at a time; one in the past comes due at the next Advance. A timer that is in the wheel
// is moved.
func (w *Wheel) Add(t *Timer, at time.Duration) {
	if t.in {
		w.Remove(t)
	}
	t.at = max(int64((at+w.tick-1)/w.tick), w.now+1)
	w.place(t)
	w.count++
}

func (w *Wheel) place(t *Timer) {
	at := t.at
	if far := w.now + 1<<(levels*slotBits) - 1; at > far {
		at = far // it is placed again when that slot is reached
	}
	level := 0
	for at-w.now >= 1<<((level+1)*slotBits) {
		level++
	}
	slot := int(at>>(level*slotBits)) & (slots - 1)
	t.level, t.slot, t.in, t.prev = int8(level), int8(slot), true, nil
	if t.next = w.heads[level][slot]; t.next != nil {
		t.next.prev = t
	}
	w.heads[level][slot] = t
	w.used[level] |= 1 << slot
}

// Remove takes a timer out; one that is not in the wheel is left alone.
func (w *Wheel) Remove(t *Timer) {
	if !t.in {
		return
	}
	if t.next != nil {
		t.next.prev = t.prev
	}
	if t.prev != nil {
		t.prev.next = t.next
	} else if w.heads[t.level][t.slot] = t.next; t.next == nil {
		w.used[t.level] &^= 1 << t.slot
	}
	t.next, t.prev, t.in = nil, nil, false
	w.count--
}

// take empties a slot and returns its list.
func (w *Wheel) take(level, slot int) *Timer {
	list := w.heads[level][slot]
	w.heads[level][slot] = nil
	w.used[level] &^= 1 << slot
	return list
}

// Advance moves to now and hands over the timers that came due, earlier ticks first, after taking them out;
// within a tick, the order is that of their being added, reversed. due may add and remove timers.
func (w *Wheel) Advance(now time.Duration, due func(*Timer)) {
	for target := int64(now / w.tick); w.now < target; {
		if w.count == 0 {
			w.now = target
			return
		}
		if w.used[0] == 0 { // nothing before the next slot of the level above
			if next := w.now | (slots - 1); next > w.now {
				w.now = min(next, target)
				continue
			}
		}
		w.now++
		for level := 1; level < levels && w.now&(1<<(level*slotBits)-1) == 0; level++ {
			for t := w.take(level, int(w.now>>(level*slotBits))&(slots-1)); t != nil; {
				next := t.next
				w.place(t)
				t = next
			}
		}
		for t := w.heads[0][w.now&(slots-1)]; t != nil; t = w.heads[0][w.now&(slots-1)] {
			w.Remove(t)
			if t.at > w.now {
				w.Add(t, time.Duration(t.at)*w.tick)
				continue
			}
			due(t)
		}
	}
}

// Next returns a time before which nothing comes due; ok is false where nothing is held.
func (w *Wheel) Next() (at time.Duration, ok bool) {
	first := int64(-1)
	for level := range levels {
		if w.used[level] == 0 {
			continue
		}
		shift := level * slotBits
		here := w.now >> shift
		// The slot that is entered next comes first; a whole turn ahead, the present one comes last.
		turn := bits.RotateLeft64(w.used[level], -int((here+1)&(slots-1)))
		at := (here + 1 + int64(bits.TrailingZeros64(turn))) << shift
		if first < 0 || at < first {
			first = at
		}
	}
	if first < 0 {
		return 0, false
	}
	return time.Duration(first) * w.tick, true
}
