package fakeplatform

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maxPollWaitMS is the maximum wait for events that a poll may request, in milliseconds.
	maxPollWaitMS = 5000
	// maxUnreadPolls is the capacity of the channel of DiscoveryServer.Polls. While it is full, polls are not answered.
	maxUnreadPolls = 1 << 12
)

// DiscoveryServer is a fake discovery server. It holds a list of numbered events and answers long polls.
type DiscoveryServer struct {
	// Respond, if not nil, is called before each response, with the number of the poll, counted from 1, and the usual
	// body of the response. If it returns "" and false, the usual response is sent. Otherwise the server writes raw in
	// its place, without adding an HTTP header, and closes the connection: at once, or if hold is set, when it stops.
	Respond func(poll int, body string) (raw string, hold bool)

	address    string
	httpServer *http.Server // replaced by Resume
	polls      chan int
	stop       chan struct{}  // closed by Stop
	wg         sync.WaitGroup // of the goroutines that accept connections

	mu            sync.Mutex    // guards what follows
	events        []string      // in the order of their revisions; the first has revision 1
	added         chan struct{} // closed and replaced when an event is added
	pollCount     int           // valid polls received
	bytesSent     int64         // in the bodies of responses
	respondAtOnce bool          // whether or not there are new events
}

// StartDiscoveryServer starts a discovery server on a free loopback port. It holds the events, the first of which has
// revision 1.
func StartDiscoveryServer(events ...string) (*DiscoveryServer, error) {
	return StartDiscoveryServerAt("127.0.0.1:0", events...)
}

// StartDiscoveryServerAt is like StartDiscoveryServer, but listens on the given address.
func StartDiscoveryServerAt(address string, events ...string) (*DiscoveryServer, error) {
	listener, err := listen(address)
	if err != nil {
		return nil, err
	}
	s := &DiscoveryServer{address: listener.Addr().String(), events: events, added: make(chan struct{}),
		polls: make(chan int, maxUnreadPolls), stop: make(chan struct{})}
	s.serve(listener)
	return s, nil
}

func (s *DiscoveryServer) serve(listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /cmd/next", s.handlePoll)
	httpServer := &http.Server{Handler: mux}
	s.httpServer = httpServer
	s.wg.Go(func() { _ = httpServer.Serve(listener) })
}

// Addr returns the address that the server listens on.
func (s *DiscoveryServer) Addr() string { return s.address }

// Suspend closes the listener and all connections until Resume is called.
func (s *DiscoveryServer) Suspend() { _ = s.httpServer.Close() }

// Resume listens again on the same address, after Suspend. It fails if another process has taken the address meanwhile.
func (s *DiscoveryServer) Resume() error {
	listener, err := listen(s.address)
	if err != nil {
		return err
	}
	s.serve(listener)
	return nil
}

// SetRespond sets Respond while the server is running.
func (s *DiscoveryServer) SetRespond(respond func(poll int, body string) (raw string, hold bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Respond = respond
}

// Stop closes the listener and all connections.
func (s *DiscoveryServer) Stop() {
	close(s.stop)
	_ = s.httpServer.Close()
	s.wg.Wait()
}

// AddEvent adds an event, which has the next revision. event is its JSON without the revision, such as `"nodes":{...}`.
func (s *DiscoveryServer) AddEvent(event string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, event)
	close(s.added)
	s.added = make(chan struct{})
}

// RespondAtOnce makes the server respond to each further poll without waiting for events.
func (s *DiscoveryServer) RespondAtOnce() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.respondAtOnce = true
}

// Polls returns a channel that receives the revision of each poll, in order.
func (s *DiscoveryServer) Polls() <-chan int { return s.polls }

// Revision returns the revision of the last event.
func (s *DiscoveryServer) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(len(s.events))
}

// BytesSent returns the total size of the response bodies so far, in bytes. It includes bodies that Respond replaced.
func (s *DiscoveryServer) BytesSent() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytesSent
}

// AllEvents returns the response to a poll from revision 0. The setting "known" of a router has the same format.
func (s *DiscoveryServer) AllEvents() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.responseBody(0)
}

// responseBody returns the body of a response with the events after a revision. s.mu is held.
func (s *DiscoveryServer) responseBody(revision int) string {
	var events []string
	for i := revision; i < len(s.events); i++ {
		events = append(events, fmt.Sprintf(`{"cursor":%d,%s}`, i+1, s.events[i]))
	}
	return fmt.Sprintf(`{"cursor":%d,"cmds":[%s]}`, len(s.events), strings.Join(events, ","))
}

// handlePoll responds with the events after the poll's revision, as soon as there are any or the poll's wait has ended.
func (s *DiscoveryServer) handlePoll(w http.ResponseWriter, r *http.Request) {
	revision, revisionErr := strconv.Atoi(r.URL.Query().Get("resume"))
	waitMS, waitErr := strconv.Atoi(r.URL.Query().Get("block"))
	if revisionErr != nil || waitErr != nil || waitMS < 0 || waitMS > maxPollWaitMS || revision < 0 {
		http.Error(w, "bad question", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.pollCount++
	poll := s.pollCount
	added, last := s.added, len(s.events)
	if s.respondAtOnce {
		waitMS = 0
	}
	s.mu.Unlock()
	s.polls <- revision
	if last <= revision {
		select {
		case <-added:
		case <-time.After(time.Duration(waitMS) * time.Millisecond):
		case <-r.Context().Done():
			return
		case <-s.stop:
			return
		}
	}
	s.mu.Lock()
	body := s.responseBody(min(revision, len(s.events)))
	respond := s.Respond
	s.bytesSent += int64(len(body))
	s.mu.Unlock()
	if respond != nil {
		if raw, hold := respond(poll, body); raw != "" || hold {
			s.writeRaw(w, raw, hold)
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprint(w, body)
}

// writeRaw writes raw in place of an HTTP response and closes the connection: at once, or if hold is set, when the
// server stops.
func (s *DiscoveryServer) writeRaw(w http.ResponseWriter, raw string, hold bool) {
	netConn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = buffered.WriteString(raw)
	_ = buffered.Flush()
	if hold {
		<-s.stop
	}
	_ = netConn.Close()
}

// EndpointsEvent returns an event about workers, for AddEvent. Each worker is given as "id address state", or as "id
// address state cell start" with its start time in Unix milliseconds, such as "a 127.0.0.1:1 active 0 1700000000000".
// snapshot states whether the event lists all workers of the platform.
func EndpointsEvent(snapshot bool, workers ...string) string {
	var members []string
	for _, worker := range workers {
		words := append(strings.Fields(worker), "0", "0")
		members = append(members, fmt.Sprintf(
			`{"id":%q,"host_port":%q,"phase":%q,"cell":%s,"up_since_ms":%s,"locality":"z","flavor":"k","size":1.0}`,
			words[0], words[1], words[2], words[3], words[4]))
	}
	return fmt.Sprintf(`"nodes":{"revision":1,"complete":%v,"members":[%s]}`, snapshot, strings.Join(members, ","))
}
