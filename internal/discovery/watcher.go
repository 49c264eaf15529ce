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
	Address          string                        // of the discovery server, host:port
	ConnectTimeout   time.Duration                 // to establish a connection, and for each write on it
	PollWait         time.Duration                 // how long the server may hold a poll when it has no event
	ResponseGrace    time.Duration                 // how long beyond PollWait a response may take
	MaxRetryDelay    time.Duration                 // longest delay between polls while they fail
	MaxResponseBytes int                           // longest body of a response
	RouterTime       func(time.Time) time.Duration // converts a moment to the router's clock
	OnUpdate         func(update endpoints.Update) // called with each change of the list, never concurrently
	Logger           *slog.Logger                  // nil discards
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

// Watcher follows the endpoint list and passes on what changes in it. Its methods are safe for concurrent use.
type Watcher struct {
	cfg    Config
	cancel context.CancelFunc
	done   chan struct{} // closed when run has returned

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
	log := &eventLog{}
	update, err := log.Apply(initial, cfg.RouterTime)
	if err != nil {
		return nil, err
	}
	if update == nil {
		update = &endpoints.Update{}
	}
	if revision := *initial.Revision; revision > log.revision {
		log.revision = revision
	}
	update.Snapshot = true // there was nothing before it
	cfg.OnUpdate(*update)
	ctx, cancel := context.WithCancel(context.Background())
	w := &Watcher{cfg: cfg, address: cfg.Address, cancel: cancel, done: make(chan struct{})}
	w.stats.Revision = log.revision
	go w.run(ctx, log)
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
func (w *Watcher) run(ctx context.Context, log *eventLog) {
	defer close(w.done)
	consecutiveFailures := 0
	for ctx.Err() == nil {
		address, conn, err := w.connect()
		var update *endpoints.Update
		if err == nil {
			update, err = w.poll(conn, log)
		}
		if update != nil {
			w.cfg.OnUpdate(*update)
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
		w.cfg.Logger.Info("endpoint poll failed, retrying", "address", address, "revision", log.revision, "error", err)
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

// poll sends one request and applies its response. The update is nil where nothing has changed;
// there may be one along with an error.
func (w *Watcher) poll(conn *connection, log *eventLog) (update *endpoints.Update, err error) {
	w.mu.Lock()
	w.stats.Polls++
	w.mu.Unlock()
	startedAt := time.Now()
	request := pollRequest(conn.address, log.revision, w.cfg.PollWait)
	message, err := conn.roundTrip(request, w.cfg.PollWait+w.cfg.ResponseGrace)
	if err != nil {
		return nil, err
	}
	if message.Status != statusOK {
		return nil, fmt.Errorf("discovery: status %d", message.Status)
	}
	response, err := ParsePollResponse(message.Body)
	if err != nil {
		return nil, err
	}
	before := log.revision
	if update, err = log.Apply(response, w.cfg.RouterTime); err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.stats.Revision = log.revision
	w.stats.Events += uint64(log.revision - before)
	w.mu.Unlock()
	if message.Close {
		conn.close(errClosedAfterResponse)
	}
	if log.revision == before && time.Since(startedAt) < w.cfg.PollWait/minWaitDivisor {
		return update, errPrematureResponse
	}
	return update, nil
}

// pollRequest is the request for the events after a revision. There is no other acknowledgement of an event: polling
// from its revision acknowledges it.
func pollRequest(address string, revision int64, wait time.Duration) []byte {
	return fmt.Appendf(nil, "GET /cmd/next?resume=%d&block=%d HTTP/1.1\r\nHost: %s\r\n\r\n", revision, wait.Milliseconds(), address)
}
