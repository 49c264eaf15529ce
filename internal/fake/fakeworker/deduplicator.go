package fakeworker

import (
	"sync"
	"time"
)

// maxKeys is how many idempotency keys are kept before expired ones are removed.
const maxKeys = 10000

// Deduplicator is shared by the workers that drop each other's repeats of an idempotency key. It may be used from any
// goroutine.
type Deduplicator struct {
	mu     sync.Mutex
	seenAt map[string]time.Time
}

// NewDeduplicator returns a deduplicator that has seen no key.
func NewDeduplicator() *Deduplicator { return &Deduplicator{seenAt: map[string]time.Time{}} }

// isFirst reports whether a key was not seen within the window, and notes it then.
func (d *Deduplicator) isFirst(key string, window time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if at, ok := d.seenAt[key]; ok && now.Sub(at) < window {
		return false
	}
	if len(d.seenAt) > maxKeys {
		for k, at := range d.seenAt {
			if now.Sub(at) > window {
				delete(d.seenAt, k)
			}
		}
	}
	d.seenAt[key] = now
	return true
}
