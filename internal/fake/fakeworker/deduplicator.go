package fakeworker

import (
	"sync"
	"time"
)

// maxKeys is the number of idempotency keys above which expired ones are removed.
const maxKeys = 10000

// Deduplicator remembers the idempotency keys that workers have run. Workers that share one do not run each other's
// keys again. It may be used from any goroutine.
type Deduplicator struct {
	mu     sync.Mutex
	seenAt map[string]time.Time
}

// NewDeduplicator returns a deduplicator that has seen no key.
func NewDeduplicator() *Deduplicator { return &Deduplicator{seenAt: map[string]time.Time{}} }

// isFirst reports whether a key was not seen within the window. If so, it records the key as seen now.
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
