package fakepeer

import (
	"sync"
	"time"
)

// Meter compares what a router sends with its limits: two token buckets that fill at the permitted rates. It measures
// at the socket, independently of the router.
type Meter struct {
	BytesPerSecond, BurstBytes       float64
	MessagesPerSecond, BurstMessages float64

	mu                        sync.Mutex
	updatedAt                 time.Time
	byteTokens, messageTokens float64
	firstAt                   time.Time // of the first message
	totalBytes, totalMessages float64
	timesOver                 int
}

// Add counts a message of n bytes that was sent.
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

// Totals returns the bytes and messages so far, the bytes a second since the first message, and how often a limit was
// exceeded.
func (m *Meter) Totals() (bytes, messages, bytesPerSecond float64, timesOver int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if elapsed := time.Since(m.firstAt).Seconds(); !m.firstAt.IsZero() && elapsed > 0 {
		bytesPerSecond = m.totalBytes / elapsed
	}
	return m.totalBytes, m.totalMessages, bytesPerSecond, m.timesOver
}
