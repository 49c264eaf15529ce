package httprouter

import "math"

// Budget holds the limits of the parts of one process.
type Budget struct {
	MaxProcs          int   // GOMAXPROCS
	HeapLimit         int64 // bytes; the garbage collector's soft memory limit
	ClientConns       int   // maximum open at once
	WorkerConns       int   // maximum open at once
	SocketBufferBytes int   // receive buffer of the operating system for each connection
	InputBytes        int   // that all connections to clients hold, and as much for those to workers
}

const (
	heapShareOfMemory  = 0.6 // the rest is a margin
	clientConnsPercent = 45  // of the descriptors; see Config.Budget
	workerConnsPercent = 42
	socketBufferBytes  = 32 << 10

	// inputShareOfMemory is the share of the memory for incomplete requests and bodies in flight, and the same for
	// incomplete responses. Garbage doubles it at most.
	inputShareOfMemory = 0.125
)

// Budget divides the configured limits among the parts of the process. Well-behaved clients hold at most a third of the
// descriptors, so a share of 45% leaves a margin for other clients. Workers get nearly as many. The rest is for the
// listener, the discovery connection, the runtime's poller, standard streams and connections that are being closed. A
// thread in a system call may occupy one processor of the Go scheduler, so MaxProcs is one more than the number of cores.
func (c *Config) Budget() Budget {
	return Budget{
		MaxProcs:          max(int(math.Ceil(c.Cores)), 1) + 1,
		HeapLimit:         int64(c.MemoryMB * heapShareOfMemory * (1 << 20)),
		ClientConns:       c.MaxDescriptors * clientConnsPercent / 100,
		WorkerConns:       c.MaxDescriptors * workerConnsPercent / 100,
		SocketBufferBytes: socketBufferBytes,
		InputBytes:        int(c.MemoryMB * inputShareOfMemory * (1 << 20)),
	}
}
