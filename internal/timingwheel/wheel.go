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
	dueTick    int64
	next, prev *Timer
	level      int8
	slot       int8
	scheduled  bool
}

// Wheel holds timers. It belongs to one goroutine. A timer comes due at the first Advance at or after its
// time, rounded up to the tick.
type Wheel struct {
	tick        time.Duration
	currentTick int64 // ticks passed
	count       int
	heads       [levels][slots]*Timer
	occupied    [levels]uint64
}

// New returns a Wheel that begins at now.
func New(tick, now time.Duration) *Wheel { return &Wheel{tick: tick, currentTick: int64(now / tick)} }

// Len is the number of timers held.
func (w *Wheel) Len() int { return w.count }

// Add has t come due at a time; one in the past comes due at the next Advance. A timer that is in the wheel
// is moved.
func (w *Wheel) Add(t *Timer, at time.Duration) {
	if t.scheduled {
		w.Remove(t)
	}
	t.dueTick = max(int64((at+w.tick-1)/w.tick), w.currentTick+1)
	w.link(t)
	w.count++
}

func (w *Wheel) link(t *Timer) {
	at := t.dueTick
	if far := w.currentTick + 1<<(levels*slotBits) - 1; at > far {
		at = far // it is placed again when that slot is reached
	}
	level := 0
	for at-w.currentTick >= 1<<((level+1)*slotBits) {
		level++
	}
	slot := int(at>>(level*slotBits)) & (slots - 1)
	t.level, t.slot, t.scheduled, t.prev = int8(level), int8(slot), true, nil
	if t.next = w.heads[level][slot]; t.next != nil {
		t.next.prev = t
	}
	w.heads[level][slot] = t
	w.occupied[level] |= 1 << slot
}

// Remove takes a timer out; one that is not in the wheel is left alone.
func (w *Wheel) Remove(t *Timer) {
	if !t.scheduled {
		return
	}
	if t.next != nil {
		t.next.prev = t.prev
	}
	if t.prev != nil {
		t.prev.next = t.next
	} else if w.heads[t.level][t.slot] = t.next; t.next == nil {
		w.occupied[t.level] &^= 1 << t.slot
	}
	t.next, t.prev, t.scheduled = nil, nil, false
	w.count--
}

// take empties a slot and returns its list.
func (w *Wheel) detachSlot(level, slot int) *Timer {
	list := w.heads[level][slot]
	w.heads[level][slot] = nil
	w.occupied[level] &^= 1 << slot
	return list
}

// Advance moves to now and hands over the timers that came due, earlier ticks first, after taking them out;
// within a tick, the order is that of their being added, reversed. due may add and remove timers.
func (w *Wheel) Advance(now time.Duration, due func(*Timer)) {
	for target := int64(now / w.tick); w.currentTick < target; {
		if w.count == 0 {
			w.currentTick = target
			return
		}
		if w.occupied[0] == 0 { // nothing before the next slot of the level above
			if next := w.currentTick | (slots - 1); next > w.currentTick {
				w.currentTick = min(next, target)
				continue
			}
		}
		w.currentTick++
		for level := 1; level < levels && w.currentTick&(1<<(level*slotBits)-1) == 0; level++ {
			for t := w.detachSlot(level, int(w.currentTick>>(level*slotBits))&(slots-1)); t != nil; {
				next := t.next
				w.link(t)
				t = next
			}
		}
		for t := w.heads[0][w.currentTick&(slots-1)]; t != nil; t = w.heads[0][w.currentTick&(slots-1)] {
			w.Remove(t)
			if t.dueTick > w.currentTick {
				w.Add(t, time.Duration(t.dueTick)*w.tick)
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
		if w.occupied[level] == 0 {
			continue
		}
		shift := level * slotBits
		here := w.currentTick >> shift
		// The slot that is entered next comes first; a whole turn ahead, the present one comes last.
		turn := bits.RotateLeft64(w.occupied[level], -int((here+1)&(slots-1)))
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
