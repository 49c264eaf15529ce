// Package discovery watches the platform's endpoint list by HTTP long polls: each response brings numbered events that
// change the list of workers. A response is applied completely or not at all, in order, and each event once. After any
// failure the next poll resumes from the last event that was applied.
package discovery

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/topazfront/topazfront/internal/endpoints"
)

// Config configures a Watcher. All fields but Logger are required.
type Config struct {
	Address          string                           // of the discovery server, host:port
	ConnectTimeout   time.Duration                    // to establish a connection, and for each write on it
	PollWait         time.Duration                    // how long the server may hold a poll when it has no event
	ResponseGrace    time.Duration                    // how long beyond PollWait a response may take
	MaxRetryDelay    time.Duration                    // longest delay between polls while they fail
	MaxResponseBytes int                              // longest body of a response
	RouterTime       func(time.Time) time.Duration    // converts a moment to the router's clock
	OnUpdate         func(workers []endpoints.Worker) // called with each new list, never concurrently
	Logger           *slog.Logger                     // nil discards
}

// The delay before the second of consecutive retries is retryBaseDelay << 2; it doubles with each further one, up to
// retryBaseDelay << maxRetryShift or Config.MaxRetryDelay, whichever is less. Half of it is random.
const (
	retryBaseDelay = 10 * time.Millisecond
	maxRetryShift  = 8
)

// minWaitDivisor sets the shortest time that a poll without an event should take: PollWait / minWaitDivisor.
const minWaitDivisor = 4

// statusOK is the HTTP status of a response that holds events.
const statusOK = 200

// errPrematureResponse protects a server that doesn't hold polls back, which would otherwise be polled at full speed.
var errPrematureResponse = errors.New("discovery: response without an event before the poll's wait was over")

// errInterrupted ends a poll whose server's address has changed or whose Watcher is closed. It is not a failure.
var errInterrupted = errors.New("discovery: address changed or watcher closed")

// Watcher keeps an endpoint list up to date. Its methods are safe for concurrent use.
type Watcher struct {
	cfg    Config
	cancel context.CancelFunc
	done   chan struct{} // closed when run has returned

	timeout responseTimeout // used by run only

	mu      sync.Mutex
	address string
	conn    *connection // of the current poll; nil before the first and after a failure
	stats   Stats
}

// Stats are counts since the start, except for Revision.
type Stats struct {
	Revision       int64  // of the last event applied
	Polls          uint64 // requests written or attempted
	Events         uint64 // revisions applied
	FailedPolls    uint64 // including connects that failed and polls that were interrupted
	AddressChanges uint64
}

// Start passes the initial list to OnUpdate before it returns, then watches from its revision on. The initial response
// must come from ParsePollResponse. Close must be called in the end.
func Start(cfg Config, initial PollResponse) (*Watcher, error) {
	if cfg.Logger == nil {
		cfg.Logger = slog.New(slog.DiscardHandler)
	}
	list := newEndpointList()
	if _, err := list.Apply(initial); err != nil {
		return nil, err
	}
	if revision := *initial.Revision; revision > list.revision {
		list.revision = revision
	}
	cfg.OnUpdate(list.Workers(cfg.RouterTime))
	ctx, cancel := context.WithCancel(context.Background())
	w := &Watcher{cfg: cfg, address: cfg.Address, cancel: cancel, done: make(chan struct{})}
	w.timeout.usual = cfg.PollWait + cfg.ResponseGrace
	w.stats.Revision = list.revision
	go w.run(ctx, list)
	return w, nil
}

// SetAddress polls the server at another address from now on. A poll pending at the old address is abandoned: the new
// address serves the same revisions.
func (w *Watcher) SetAddress(address string) {
	w.mu.Lock()
	changed := address != w.address
	conn := w.conn
	if changed {
		w.address = address
		w.stats.AddressChanges++
	}
	w.mu.Unlock()
	if changed && conn != nil {
		conn.close(errInterrupted)
	}
}

// Stats returns the current statistics.
func (w *Watcher) Stats() Stats {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stats
}

// Close stops watching and waits until OnUpdate is not called any more.
func (w *Watcher) Close() {
	w.cancel()
	w.closeConnection()
	<-w.done
}

// closeConnection interrupts a pending poll, if any.
func (w *Watcher) closeConnection() {
	w.mu.Lock()
	conn := w.conn
	w.mu.Unlock()
	if conn != nil {
		conn.close(errInterrupted)
	}
}

// run polls until ctx is done.
func (w *Watcher) run(ctx context.Context, list *endpointList) {
	defer close(w.done)
	consecutiveFailures := 0
	for ctx.Err() == nil {
		address, conn, err := w.connect()
		var changed bool
		if err == nil {
			changed, err = w.poll(conn, list)
		}
		if changed {
			w.cfg.OnUpdate(list.Workers(w.cfg.RouterTime))
		}
		if err == nil {
			consecutiveFailures = 0
			continue
		}
		if conn != nil {
			conn.close(err)
		}
		if addressChanged := w.recordFailure(address); addressChanged || errors.Is(err, errInterrupted) {
			continue
		}
		w.cfg.Logger.Info("endpoint poll failed, retrying", "address", address, "revision", list.revision, "error", err)
		consecutiveFailures++
		w.waitBeforeRetry(ctx, consecutiveFailures)
	}
	w.closeConnection()
}

// connect returns the open connection to the current address, and establishes one where there is none. conn is nil on
// an error.
func (w *Watcher) connect() (address string, conn *connection, err error) {
	w.mu.Lock()
	address, conn = w.address, w.conn
	w.mu.Unlock()
	if conn != nil && conn.address == address && !conn.isClosed() {
		return address, conn, nil
	}
	if conn != nil {
		conn.close(errInterrupted)
	}
	conn, err = dial(address, w.cfg)
	if err != nil {
		return address, nil, err
	}
	w.mu.Lock()
	w.conn = conn
	w.mu.Unlock()
	return address, conn, nil
}

// recordFailure forgets the connection after a failed poll and reports whether the address has changed since the poll
// was started.
func (w *Watcher) recordFailure(polledAddress string) (addressChanged bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conn = nil
	w.stats.FailedPolls++
	return w.address != polledAddress
}

// waitBeforeRetry delays the next poll by exponential backoff with jitter. The first retry after a success is immediate.
func (w *Watcher) waitBeforeRetry(ctx context.Context, consecutiveFailures int) {
	if consecutiveFailures <= 1 {
		return
	}
	delay := min(w.cfg.MaxRetryDelay, retryBaseDelay<<min(consecutiveFailures, maxRetryShift))
	select {
	case <-ctx.Done():
	case <-time.After(delay/2 + rand.N(delay/2+1)):
	}
}

// poll sends one request and applies its response. changed may be true along with an error.
func (w *Watcher) poll(conn *connection, list *endpointList) (changed bool, err error) {
	w.mu.Lock()
	w.stats.Polls++
	w.mu.Unlock()
	startedAt := time.Now()
	request := pollRequest(conn.address, list.revision, w.cfg.PollWait)
	message, err := conn.roundTrip(request, w.timeout.next())
	w.timeout.record(time.Since(startedAt), err)
	if err != nil {
		return false, err
	}
	if message.Status != statusOK {
		return false, fmt.Errorf("discovery: status %d", message.Status)
	}
	response, err := ParsePollResponse(message.Body)
	if err != nil {
		return false, err
	}
	before := list.revision
	if changed, err = list.Apply(response); err != nil {
		return false, err
	}
	w.mu.Lock()
	w.stats.Revision = list.revision
	w.stats.Events += uint64(list.revision - before)
	w.mu.Unlock()
	if message.Close {
		conn.close(errClosedAfterResponse)
	}
	if list.revision == before && time.Since(startedAt) < w.cfg.PollWait/minWaitDivisor {
		return changed, errPrematureResponse
	}
	return changed, nil
}

// pollRequest is the request for the events after a revision. There is no other acknowledgement of an event: polling
// from its revision acknowledges it.
func pollRequest(address string, revision int64, wait time.Duration) []byte {
	return fmt.Appendf(nil, "GET /cmd/next?resume=%d&block=%d HTTP/1.1\r\nHost: %s\r\n\r\n", revision, wait.Milliseconds(), address)
}
