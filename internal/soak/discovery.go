package soak

import (
	"sync"
	"time"

	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
	"github.com/topazfront/topazfront/internal/invariants"
)

const (
	slowResponse      = 2 * time.Second
	crowdedAnswersOne = 8                       // of so many polls while discovery is crowded
	oldAddressServes  = 1500 * time.Millisecond // how long a discovery server that has moved keeps its connections
	cutResponse       = "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n{\"cursor\":99,\"cmds\":[{\"cursor\":98,\"nodes\":{"
	garbageResponse   = "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{]\"cursor\":]"
	crowdedResponse   = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
)

// discovery is the discovery server of one router.
type discovery struct {
	address string
	records *invariants.Log

	mu     sync.Mutex
	server *fakeplatform.DiscoveryServer
	moves  int
	polls  []time.Duration // when polls arrived, since the start of the records
	ended  sync.WaitGroup  // of the goroutines that read polls, and of old servers
	stop   chan struct{}
}

func startDiscovery(address, snapshot string, records *invariants.Log) (*discovery, error) {
	d := &discovery{address: address, records: records, stop: make(chan struct{})}
	if err := d.startServer(snapshot); err != nil {
		return nil, err
	}
	return d, nil
}

// startServer starts a server at the present address.
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

// known returns the events up to now, for a router's configuration.
func (d *discovery) known() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.server.AllEvents()
}

func (d *discovery) currentAddress() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.address
}

// pollTimes returns when polls arrived so far.
func (d *discovery) pollTimes() []time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]time.Duration(nil), d.polls...)
}

// beginFault has the server misbehave. The faults that are over at once are carried out by move and restart.
func (d *discovery) beginFault(kind FaultKind) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if kind == DiscoveryRefused {
		d.server.Suspend()
		return
	}
	d.server.SetRespond(responses[kind])
}

// responses are how a server responds to polls during a fault.
var responses = map[FaultKind]func(poll int, body string) (raw string, hold bool){
	DiscoverySilent:  func(int, string) (string, bool) { return "", true },
	DiscoverySlow:    func(int, string) (string, bool) { time.Sleep(slowResponse); return "", false },
	DiscoveryCut:     func(int, string) (string, bool) { return cutResponse, true },
	DiscoveryGarbage: func(int, string) (string, bool) { return garbageResponse, false },
	DiscoveryCrowded: func(poll int, _ string) (string, bool) {
		if poll%crowdedAnswersOne == 0 {
			return "", false
		}
		return crowdedResponse, false
	},
}

// endFault has the server respond as usual again.
func (d *discovery) endFault(kind FaultKind) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if kind == DiscoveryRefused {
		return d.server.Resume()
	}
	d.server.SetRespond(nil)
	return nil
}

// move starts a server at another address, which has the same events under the same numbers. The old one accepts nothing
// more that it would answer, and closes its connections after a while.
func (d *discovery) move(block *addressBlock, router int, events []string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.server
	old.SetRespond(responses[DiscoverySilent])
	d.moves++
	d.address = block.discovery(router, d.moves)
	d.ended.Go(func() {
		select {
		case <-time.After(oldAddressServes):
		case <-d.stop:
		}
		old.Stop()
	})
	return d.startServer(events...)
}

// restart replaces the server by one that has forgotten its events. It numbers its events from 1 again, which is a
// snapshot.
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
