package gossip

const (
	// replayWindowSize is how many counters up to the highest are remembered one by one.
	replayWindowSize = 64
	// staleDistance is how far below the highest counter a packet is stale, not just late: counters begin at the start
	// time in nanoseconds, and no packet is a quarter of a second's worth of counters late.
	staleDistance = 1 << 28
)

// replayWindow remembers which of a sender's packets have been received: the highest counter, and a bit for each of the
// 64 counters up to it, the highest in bit 0 (RFC 4303, section 3.4.3, anti-replay).
type replayWindow struct{ highest, received uint64 }

// accept records a counter and reports whether it is new. One far below the highest is taken for old.
func (w *replayWindow) accept(counter uint64) bool {
	if counter > w.highest {
		if distance := counter - w.highest; distance < replayWindowSize {
			w.received = w.received<<distance | 1
		} else {
			w.received = 1
		}
		w.highest = counter
		return true
	}
	distance := w.highest - counter
	if distance >= replayWindowSize || w.received>>distance&1 == 1 {
		return false
	}
	w.received |= 1 << distance
	return true
}
