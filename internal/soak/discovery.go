package soak

import (
	"sync"
	"time"

	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
	"github.com/topazfront/topazfront/internal/invariants"
)

const (
	slowResponseDelay     = 2 * time.Second
	crowdedAnswerInterval = 8                       // while discovery is crowded, one of this many polls is answered
	oldServerLifetime     = 1500 * time.Millisecond // how long the old server keeps its connections after a move
	cutResponse           = "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n{\"cursor\":99,\"cmds\":[{\"cursor\":98,\"nodes\":{"
	garbageResponse       = "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{]\"cursor\":]"
	crowdedResponse       = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
)

// discovery is the discovery server of one router.
type discovery struct {
	address string
	records *invariants.Log

	mu     sync.Mutex
	server *fakeplatform.DiscoveryServer
	moves  int
	polls  []time.Duration // when polls arrived, since the start of the records
	ended  sync.WaitGroup  // goroutines that read polls and that stop old servers
	stop   chan struct{}
}

func startDiscovery(address, snapshot string, records *invariants.Log) (*discovery, error) {
	d := &discovery{address: address, records: records, stop: make(chan struct{})}
	if err := d.startServer(snapshot); err != nil {
		return nil, err
	}
	return d, nil
}

// startServer starts a server at the current address.
func (d *discovery) startServer(events ...string) error {
	server, err := fakeplatform.StartDiscoveryServerAt(d.address, events...)
	if err != nil {
		return err
	}
	d.server = server
	d.ended.Go(func() { d.readPolls(server) })
	return nil
}

// readPolls records when polls arrive.
func (d *discovery) readPolls(server *fakeplatform.DiscoveryServer) {
	for {
		select {
		case <-server.Polls():
			d.mu.Lock()
			d.polls = append(d.polls, d.records.Now())
			d.mu.Unlock()
		case <-d.stop:
			return
		}
	}
}

func (d *discovery) addEvent(event string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.server.AddEvent(event)
}

// allEvents returns all events so far, for a router's configuration.
func (d *discovery) allEvents() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.server.AllEvents()
}

func (d *discovery) currentAddress() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.address
}

// pollTimes returns the times of all polls so far.
func (d *discovery) pollTimes() []time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]time.Duration(nil), d.polls...)
}

// beginFault makes the server misbehave until endFault. It does not handle the faults that have no duration: move and
// restart implement these.
func (d *discovery) beginFault(kind FaultKind) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if kind == DiscoveryRefused {
		d.server.Suspend()
		return
	}
	d.server.SetRespond(faultyResponses[kind])
}

// faultyResponses holds, for each kind of fault, the function that responds to polls while it lasts. The function
// returns the raw bytes to send, and with hold keeps the connection open afterwards. An empty response without hold
// stands for the usual one.
var faultyResponses = map[FaultKind]func(poll int, body string) (raw string, hold bool){
	DiscoverySilent:  func(int, string) (string, bool) { return "", true },
	DiscoverySlow:    func(int, string) (string, bool) { time.Sleep(slowResponseDelay); return "", false },
	DiscoveryCut:     func(int, string) (string, bool) { return cutResponse, true },
	DiscoveryGarbage: func(int, string) (string, bool) { return garbageResponse, false },
	DiscoveryCrowded: func(poll int, _ string) (string, bool) {
		if poll%crowdedAnswerInterval == 0 {
			return "", false
		}
		return crowdedResponse, false
	},
}

// endFault makes the server respond as usual again.
func (d *discovery) endFault(kind FaultKind) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if kind == DiscoveryRefused {
		return d.server.Resume()
	}
	d.server.SetRespond(nil)
	return nil
}

// move starts a server at another address with the same events under the same numbers. The old server answers no more
// polls, and stops after oldServerLifetime.
func (d *discovery) move(block *addressBlock, router int, events []string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.server
	old.SetRespond(faultyResponses[DiscoverySilent])
	d.moves++
	d.address = block.discovery(router, d.moves)
	d.ended.Go(func() {
		select {
		case <-time.After(oldServerLifetime):
		case <-d.stop:
		}
		old.Stop()
	})
	return d.startServer(events...)
}

// restart replaces the server by one that has lost its events and numbers them from 1 again. Its first event is the
// given snapshot.
func (d *discovery) restart(snapshot string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.server.Stop()
	return d.startServer(snapshot)
}

func (d *discovery) close() {
	d.mu.Lock()
	server := d.server
	d.mu.Unlock()
	close(d.stop)
	server.Stop()
	d.ended.Wait()
}
