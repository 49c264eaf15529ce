package dispatch

import (
	"container/heap"
	"time"
)

// timers holds the timers of requests. A request may have several.
type timers struct {
	heap     timerHeap
	sequence int
}

// set adds a timer.
func (t *timers) set(at time.Duration, id RequestID) {
	t.sequence++
	heap.Push(&t.heap, timer{at, t.sequence, id})
}

// next returns when the earliest timer is due.
func (t *timers) next() (at time.Duration, ok bool) {
	if len(t.heap) == 0 {
		return 0, false
	}
	return t.heap[0].at, true
}

// due reports whether the earliest timer is due.
func (t *timers) due(now time.Duration) bool {
	at, ok := t.next()
	return ok && at <= now
}

// pop removes the earliest timer and returns the id of its request.
func (t *timers) pop() RequestID { return heap.Pop(&t.heap).(timer).request }

type timer struct {
	at       time.Duration
	sequence int
	request  RequestID
}

// timerHeap orders timers by time. Timers with the same time stay in the order in which they were set.
type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
