package httprouter

import "runtime/metrics"

// Names of the runtime's metrics (package runtime/metrics).
const (
	liveHeapMetric = "/memory/classes/heap/objects:bytes"
	totalMetric    = "/memory/classes/total:bytes"
	releasedMetric = "/memory/classes/heap/released:bytes"
)

// memoryUse is the memory of the process as the Go runtime counts it, in bytes.
type memoryUse struct {
	heapObjects uint64 // objects in the heap, among them garbage that was not collected yet
	resident    uint64 // mapped from the system and not returned to it
}

// readMemoryUse reads the runtime's present counts. It does not stop the program.
func readMemoryUse() memoryUse {
	samples := []metrics.Sample{{Name: liveHeapMetric}, {Name: totalMetric}, {Name: releasedMetric}}
	metrics.Read(samples)
	heapObjects := samples[0].Value.Uint64()
	total := samples[1].Value.Uint64()
	released := samples[2].Value.Uint64()
	return memoryUse{heapObjects: heapObjects, resident: total - released}
}
