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
	"github.com/topazfront/topazfront/internal/transport/http1"
)

// Config configures a Watcher. All fields but Logger are required.
type Config struct {
	Address          string                        // of the discovery server, host:port
	ConnectTimeout   time.Duration                 // to establish a connection, and for each write on it
	PollWait         time.Duration                 // how long the server may hold a poll when it has no event
	ResponseGrace    time.Duration                 // how long beyond PollWait a response may take
	MaxRetryDelay    time.Duration                 // longest delay between polls while they fail
	MaxResponseBytes int                           // longest body of a response
	RouterClock      endpoints.RouterClock         // the router's clock, to which start times are converted
	OnUpdate         func(update endpoints.Update) // called with each change of the list, never concurrently
	Logger           *slog.Logger                  // nil discards

	// Tests replace these; nil stands for the functions of the same name.
	dial  func(address string, cfg Config) (*connection, error)
	sleep func(ctx context.Context, d time.Duration)
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
	FailedPolls    uint64 // including connects that failed, not polls that were interrupted
	AddressChanges uint64
}

// Start passes the initial list to OnUpdate before it returns, then watches from its revision on. The initial response
// must come from ParsePollResponse. Close must be called in the end.
func Start(cfg Config, initial PollResponse) (*Watcher, error) {
	if cfg.Logger == nil {
		cfg.Logger = slog.New(slog.DiscardHandler)
	}
	if cfg.dial == nil {
		cfg.dial = dial
	}
	if cfg.sleep == nil {
		cfg.sleep = sleep
	}
	view := endpointView{log: &eventLog{}, starts: endpoints.NewStartTimes(cfg.RouterClock)}
	update, err := view.log.Apply(initial, view.starts.Convert)
	if err != nil {
		return nil, err
	}
	if update == nil {
		update = &endpoints.Update{}
	}
	if revision := *initial.Revision; revision > view.log.revision {
		view.log.revision = revision
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := &Watcher{cfg: cfg, address: cfg.Address, cancel: cancel, done: make(chan struct{})}
	update.Snapshot = true // there was nothing before it
	w.publish(view, update)
	view.starts.ListCurrent(cfg.RouterClock.Clock())
	w.stats.Revision = view.log.revision
	go w.run(ctx, view)
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

// endpointView is what a Watcher remembers of the events: how far they were applied, and the workers' start times.
type endpointView struct {
	log    *eventLog
	starts *endpoints.StartTimes
}

// publish passes an update to OnUpdate, and forgets the start times of the workers that it removes.
func (w *Watcher) publish(view endpointView, update *endpoints.Update) {
	w.cfg.OnUpdate(*update)
	view.starts.Forget(update)
}

// run polls until ctx is done.
func (w *Watcher) run(ctx context.Context, view endpointView) {
	defer close(w.done)
	late := newLatePolls()
	defer late.close()
	consecutiveFailures := 0
	for ctx.Err() == nil {
		address, conn, err := w.connect(ctx)
		if err == nil {
			err = w.poll(conn, view, late)
		}
		if err == nil {
			consecutiveFailures = 0
			late.close() // they asked earlier than the poll that was answered
			continue
		}
		interrupted := w.recordFailure(ctx, address, err)
		switch {
		case interrupted:
			late.close()
		case errors.Is(err, errResponseTimeout):
			late.add(conn)
			conn = nil
		}
		if conn != nil {
			conn.close(err)
		}
		if interrupted {
			continue
		}
		w.cfg.Logger.Info("endpoint poll failed, retrying", "address", address, "revision", view.log.revision, "error", err)
		consecutiveFailures++
		w.waitBeforeRetry(ctx, consecutiveFailures)
	}
	w.closeConnection()
}

// connect returns the open connection to the current address, and establishes one where there is none. conn is nil on
// an error. It is errInterrupted where the address changed or the Watcher was closed while the connection came up.
func (w *Watcher) connect(ctx context.Context) (address string, conn *connection, err error) {
	w.mu.Lock()
	address, conn = w.address, w.conn
	w.mu.Unlock()
	if conn != nil && conn.address == address && !conn.isClosed() {
		return address, conn, nil
	}
	if conn != nil {
		conn.close(errInterrupted)
	}
	conn, err = w.cfg.dial(address, w.cfg)
	if err != nil {
		return address, nil, err
	}
	w.mu.Lock()
	interrupted := w.address != address || ctx.Err() != nil
	if !interrupted {
		w.conn = conn
	}
	w.mu.Unlock()
	if interrupted {
		conn.close(errInterrupted)
		return address, nil, errInterrupted
	}
	return address, conn, nil
}

// recordFailure forgets the connection after a poll that ended with an error. It reports whether the poll was interrupted
// by a change of the address or by Close, which is no failure.
func (w *Watcher) recordFailure(ctx context.Context, polledAddress string, err error) (interrupted bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conn = nil
	interrupted = w.address != polledAddress || ctx.Err() != nil || errors.Is(err, errInterrupted)
	if !interrupted {
		w.stats.FailedPolls++
	}
	return interrupted
}

// waitBeforeRetry delays the next poll by exponential backoff with jitter. The first retry after a success is immediate.
func (w *Watcher) waitBeforeRetry(ctx context.Context, consecutiveFailures int) {
	if consecutiveFailures <= 1 {
		return
	}
	delay := min(w.cfg.MaxRetryDelay, retryBaseDelay<<min(consecutiveFailures, maxRetryShift))
	w.cfg.sleep(ctx, delay/2+rand.N(delay/2+1))
}

// sleep returns after d, or when ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// poll sends one request and applies its response, and those to late polls that come meanwhile.
func (w *Watcher) poll(conn *connection, view endpointView, late *latePolls) error {
	w.mu.Lock()
	w.stats.Polls++
	w.mu.Unlock()
	startedAt := time.Now()
	before := view.log.revision
	request := pollRequest(conn.address, before, w.cfg.PollWait)
	message, err := conn.roundTrip(request, w.cfg.PollWait+w.cfg.ResponseGrace, late, func(message *http1.Message) {
		if err := w.apply(message, view); err != nil {
			w.cfg.Logger.Info("late response to an endpoint poll not applied", "error", err)
		}
	})
	if err != nil {
		return err
	}
	if err := w.apply(message, view); err != nil {
		return err
	}
	if message.Close {
		conn.close(errClosedAfterResponse)
	}
	if view.log.revision == before && time.Since(startedAt) < w.cfg.PollWait/minWaitDivisor {
		return errPrematureResponse
	}
	return nil
}

// apply applies a response to the list, and publishes the list if that has changed it.
func (w *Watcher) apply(message *http1.Message, view endpointView) error {
	if message.Status != statusOK {
		return fmt.Errorf("discovery: status %d", message.Status)
	}
	response, err := ParsePollResponse(message.Body)
	if err != nil {
		return err
	}
	before := view.log.revision
	update, err := view.log.Apply(response, view.starts.Convert)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.stats.Revision = view.log.revision
	w.stats.Events += uint64(view.log.revision - before)
	w.mu.Unlock()
	if update != nil {
		w.publish(view, update)
	}
	view.starts.ListCurrent(w.cfg.RouterClock.Clock())
	return nil
}

// pollRequest is the request for the events after a revision. There is no other acknowledgement of an event: polling
// from its revision acknowledges it.
func pollRequest(address string, revision int64, wait time.Duration) []byte {
	return fmt.Appendf(nil, "GET /cmd/next?resume=%d&block=%d HTTP/1.1\r\nHost: %s\r\n\r\n", revision, wait.Milliseconds(), address)
}
