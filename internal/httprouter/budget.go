package httprouter

import "math"

// Budget is the division of a process's limits among its parts.
type Budget struct {
	MaxProcs          int   // processors of the Go scheduler
	HeapLimit         int64 // bytes that the garbage collector keeps the heap below
	ClientConns       int   // open at once
	WorkerConns       int   // open at once
	SocketBufferBytes int   // received by the system ahead of what is read, for each connection
}

const (
	heapShareOfMemory  = 0.6 // the rest is a margin
	clientConnsPercent = 45  // of the descriptors; see Budget
	workerConnsPercent = 42
	socketBufferBytes  = 32 << 10
)

// Budget divides the configured limits. Usual clients hold at most a third of the descriptors, so 45 of 100 for clients
// leave a margin for others. Workers get nearly as many. The rest is for the listener, the discovery connection, event
// loops, standard streams and connections that are being closed. An event loop that waits occupies one processor of the
// scheduler, so the scheduler gets one more than there are cores.
func (c *Config) Budget() Budget {
	return Budget{
		MaxProcs:          max(int(math.Ceil(c.Cores)), 1) + 1,
		HeapLimit:         int64(c.MemoryMB * heapShareOfMemory * (1 << 20)),
		ClientConns:       c.MaxDescriptors * clientConnsPercent / 100,
		WorkerConns:       c.MaxDescriptors * workerConnsPercent / 100,
		SocketBufferBytes: socketBufferBytes,
	}
}
