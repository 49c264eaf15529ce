package fakepeer

import (
	"sync"
	"time"
)

// Meter checks the traffic that a router sends against its limits on bytes and messages, by a token bucket for each. It
// measures at the socket, independently of the router. It may be used from any goroutine.
type Meter struct {
	BytesPerSecond, BurstBytes       float64
	MessagesPerSecond, BurstMessages float64

	mu                        sync.Mutex
	updatedAt                 time.Time
	byteTokens, messageTokens float64
	firstAt                   time.Time // time of the first message
	totalBytes, totalMessages float64
	timesOver                 int // messages that exceeded a limit
}

// Add counts a sent message of n bytes.
func (m *Meter) Add(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if m.updatedAt.IsZero() {
		m.updatedAt, m.firstAt, m.byteTokens, m.messageTokens = now, now, m.BurstBytes, m.BurstMessages
	}
	elapsed := now.Sub(m.updatedAt).Seconds()
	m.updatedAt = now
	m.byteTokens = min(m.byteTokens+elapsed*m.BytesPerSecond, m.BurstBytes) - float64(n)
	m.messageTokens = min(m.messageTokens+elapsed*m.MessagesPerSecond, m.BurstMessages) - 1
	m.totalBytes += float64(n)
	m.totalMessages++
	if m.byteTokens < 0 || m.messageTokens < 0 {
		m.timesOver++
	}
}

// Totals returns the number of bytes and messages so far, the mean bytes per second since the first message, and how
// many messages exceeded a limit.
func (m *Meter) Totals() (bytes, messages, bytesPerSecond float64, timesOver int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if elapsed := time.Since(m.firstAt).Seconds(); !m.firstAt.IsZero() && elapsed > 0 {
		bytesPerSecond = m.totalBytes / elapsed
	}
	return m.totalBytes, m.totalMessages, bytesPerSecond, m.timesOver
}
