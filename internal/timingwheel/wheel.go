// Package timingwheel is a hierarchical timing wheel (Varghese and Lauck, "Hashed and Hierarchical Timing Wheels",
// SOSP 1987): adding and removing a timer take constant time, which suits deadlines that are nearly all removed
// before they come due. It reads no clock; a time is a duration since any fixed moment.
//
// A slot of level 0 covers one tick. A slot of each higher level covers as many ticks as all slots of the level below.
// When the current tick reaches a slot above level 0, that slot's timers are distributed over the levels below.
package timingwheel

import (
	"math/bits"
	"time"
)

const (
	levels   = 4
	slotBits = 6 // bits of the tick number that select a slot, per level
	slots    = 1 << slotBits
	slotMask = slots - 1

	// span is the number of ticks that all levels cover together.
	span = 1 << (levels * slotBits)
)

// Timer is one timer of a Wheel. The caller allocates it, and may add it to one Wheel at a time. The zero value is
// ready for use.
type Timer struct {
	Value any // set and used by the caller only

	dueTick    int64
	next, prev *Timer // neighbours in the slot's list
	level      int8
	slot       int8
	scheduled  bool // the timer is in a wheel
}

// Wheel holds timers. It is not safe for concurrent use. A timer comes due at the first Advance to or beyond its time,
// rounded up to the tick.
type Wheel struct {
	tick        time.Duration // duration of a tick
	currentTick int64
	count       int
	heads       [levels][slots]*Timer // head of each slot's list of timers
	occupied    [levels]uint64        // per level, a bit for each slot, set if the slot has timers
}

// New returns an empty Wheel whose time begins at now.
func New(tick, now time.Duration) *Wheel { return &Wheel{tick: tick, currentTick: int64(now / tick)} }

// Len returns the number of timers in the wheel.
func (w *Wheel) Len() int { return w.count }

// Add schedules t for a time. If the time is in the past, t comes due at the next tick. A timer that is already in the
// wheel is rescheduled.
func (w *Wheel) Add(t *Timer, at time.Duration) {
	if t.scheduled {
		w.Remove(t)
	}
	t.dueTick = max(int64((at+w.tick-1)/w.tick), w.currentTick+1)
	w.link(t)
	w.count++
}

// link puts t into the slot of its due tick, on the lowest level that covers that tick.
func (w *Wheel) link(t *Timer) {
	// A timer beyond the span is put into the last slot, and linked again when that slot is reached.
	slotTick := min(t.dueTick, w.currentTick+span-1)
	level := 0
	for slotTick-w.currentTick >= 1<<((level+1)*slotBits) {
		level++
	}
	slot := slotOf(slotTick, level)
	t.level, t.slot, t.scheduled, t.prev = int8(level), int8(slot), true, nil
	if t.next = w.heads[level][slot]; t.next != nil {
		t.next.prev = t
	}
	w.heads[level][slot] = t
	w.occupied[level] |= 1 << slot
}

// slotOf returns the index of the slot that covers a tick.
func slotOf(tick int64, level int) int { return int(tick>>(level*slotBits)) & slotMask }

// Remove removes a timer from the wheel. It does nothing if the timer is not in the wheel.
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

// Advance sets the time to now. It removes the timers that have come due and calls due for each, in the order of their
// ticks; the order within a tick is unspecified. due may add and remove timers.
func (w *Wheel) Advance(now time.Duration, due func(*Timer)) {
	for target := int64(now / w.tick); w.currentTick < target; {
		if w.count == 0 {
			w.currentTick = target
			return
		}
		if w.skipEmptyTicks(target) {
			continue
		}
		w.currentTick++
		w.cascade()
		w.expire(due)
	}
}

// skipEmptyTicks advances the current tick to the last one of the current slot of level 1, or to target if that is
// earlier, provided that level 0 is empty. It reports whether it advanced the tick.
func (w *Wheel) skipEmptyTicks(target int64) bool {
	if w.occupied[0] != 0 {
		return false
	}
	last := w.currentTick | slotMask
	if last == w.currentTick {
		return false
	}
	w.currentTick = min(last, target)
	return true
}

// cascade distributes the timers of each slot above level 0 that begins at the current tick over the lower levels.
func (w *Wheel) cascade() {
	for level := 1; level < levels && w.currentTick&(1<<(level*slotBits)-1) == 0; level++ {
		for t := w.detachSlot(level, slotOf(w.currentTick, level)); t != nil; {
			next := t.next
			w.link(t)
			t = next
		}
	}
}

// detachSlot empties a slot and returns its list.
func (w *Wheel) detachSlot(level, slot int) *Timer {
	list := w.heads[level][slot]
	w.heads[level][slot] = nil
	w.occupied[level] &^= 1 << slot
	return list
}

// expire removes the timers of the current tick and calls due for each.
func (w *Wheel) expire(due func(*Timer)) {
	slot := slotOf(w.currentTick, 0)
	for t := w.heads[0][slot]; t != nil; t = w.heads[0][slot] {
		w.Remove(t)
		if t.dueTick > w.currentTick { // a safeguard: link puts a timer on level 0 only for its due tick
			w.Add(t, time.Duration(t.dueTick)*w.tick)
			continue
		}
		due(t)
	}
}

// Next returns a time before which no timer comes due. ok is false if the wheel is empty.
func (w *Wheel) Next() (at time.Duration, ok bool) {
	first := int64(-1)
	for level := range levels {
		if w.occupied[level] == 0 {
			continue
		}
		tick := w.nextOccupied(level)
		if first < 0 || tick < first {
			first = tick
		}
	}
	if first < 0 {
		return 0, false
	}
	return time.Duration(first) * w.tick, true
}

// nextOccupied returns the tick at which the next slot of a level that has timers begins.
func (w *Wheel) nextOccupied(level int) int64 {
	shift := level * slotBits
	current := w.currentTick >> shift
	// Bit 0 of rotated is the slot after the current one. The current slot is the last bit, because its timers are a
	// full revolution ahead.
	rotated := bits.RotateLeft64(w.occupied[level], -int((current+1)&slotMask))
	return (current + 1 + int64(bits.TrailingZeros64(rotated))) << shift
}
