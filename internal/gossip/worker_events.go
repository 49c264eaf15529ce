package gossip

// PublisherEvent is an input of [SuspicionPublisher.Step].
type PublisherEvent interface{ publisherEvent() }

// QuorumEvent is an input of [SuspicionQuorum.Step].
type QuorumEvent interface{ quorumEvent() }

// WorkerList replaces the list of workers. Started maps each worker to its start time in Unix milliseconds, which
// identifies the worker's incarnation; 0 means long ago. The receiver keeps the map; the caller must not modify it.
type WorkerList struct{ Started map[string]uint64 }

// WorkerResponded reports that this router received a response from a worker.
type WorkerResponded struct{ Worker string }

func (WorkerList) publisherEvent()      {}
func (WorkerList) quorumEvent()         {}
func (WorkerResponded) publisherEvent() {}
func (WorkerResponded) quorumEvent()    {}
