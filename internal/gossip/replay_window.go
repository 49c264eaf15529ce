package gossip

const (
	// replayWindowSize is how many counters, up to the highest, are tracked individually.
	replayWindowSize = 64
	// staleDistance is how far below the highest counter a packet is considered stale rather than late. Counters start
	// at the process's start time in nanoseconds, so the distance stands for a quarter of a second between two start
	// times. No packet of one process is delayed by that many later ones.
	staleDistance = 1 << 28
)

// replayWindow records which of a sender's packets have been received: the highest counter, and a bit for each of the
// 64 counters up to it, with the highest in bit 0 (anti-replay; RFC 4303, section 3.4.3).
type replayWindow struct{ highest, received uint64 }

// accept records a counter and reports whether it is new. Counters below the window are considered received.
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
