package gossip

// PublisherEvent is an input of [SuspicionPublisher.Step].
type PublisherEvent interface{ collectorEvent() }

// QuorumEvent is an input of [SuspicionQuorum.Step].
type QuorumEvent interface{ quorumEvent() }

// WorkerList is the list of workers with their start times in Unix milliseconds, 0 for long ago. A start time names an
// incarnation of a worker. The receiver keeps the map; the caller must not change it.
type WorkerList struct{ Started map[string]uint64 }

// WorkerHeard reports that a worker gave this router a sign of life.
type WorkerHeard struct{ Worker string }

func (WorkerList) collectorEvent()  {}
func (WorkerList) quorumEvent()     {}
func (WorkerHeard) collectorEvent() {}
func (WorkerHeard) quorumEvent()    {}
