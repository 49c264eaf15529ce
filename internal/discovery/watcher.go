package discovery

import (
	"context"
	"errors"
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
	RouterClock      endpoints.RouterClock         // the router's clock, to which start times are converted
	OnUpdate         func(update endpoints.Update) // called with each change of the list, never concurrently
	OnConfirmed      func(at time.Duration)        // called when the list is known to hold all changes up to a router time; nil: not called
	OnRequested      func(at time.Duration)        // called at the start and before each poll that follows a failed or interrupted one, with the router time; nil: not called
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

// firstWaitAfterFailure is how long the server may hold the first poll, and the first after a failed or interrupted one. It is short, as the
// list counts as out of date until the response.
const firstWaitAfterFailure = 100 * time.Millisecond

// verifyAfter is the time without a confirmation after which the last event is asked for again: the server may have been
// restarted meanwhile, and number other events as it did these. It is that after which the list counts as lost.
const verifyAfter = 2 * time.Second

// errInterrupted ends a poll whose server's address has changed or whose Watcher is closed. It is not a failure.
var errInterrupted = errors.New("discovery: address changed or watcher closed")

// Watcher follows the endpoint list and passes on what changes in it. Its methods are safe for concurrent use.
type Watcher struct {
	cfg    Config
	cancel context.CancelFunc
	done   chan struct{} // closed when run has returned

	// Used by run only, and by Start before it starts run.
	log           *eventLog
	starts        *endpoints.StartTimes
	late          *latePolls
	confirmedAt   time.Duration // the list was complete then, on the router's clock
	askAgain      bool          // there was no poll yet, or the last one failed or was interrupted
	resynchronize bool          // the next poll asks for the complete list: the server's events don't continue the log

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
	ctx, cancel := context.WithCancel(context.Background())
	w := &Watcher{
		cfg:      cfg,
		cancel:   cancel,
		done:     make(chan struct{}),
		log:      &eventLog{},
		starts:   endpoints.NewStartTimes(cfg.RouterClock),
		late:     newLatePolls(),
		askAgain: true, // the initial list may be older than it seems
		address:  cfg.Address,
	}
	if err := w.applyInitial(initial); err != nil {
		cancel()
		return nil, err
	}
	go w.run(ctx)
	return w, nil
}

// applyInitial applies the initial response and publishes its list as a snapshot, also if it is empty.
func (w *Watcher) applyInitial(initial PollResponse) error {
	update, err := w.log.Apply(initial, w.starts.Convert)
	if err != nil {
		return err
	}
	if update == nil {
		update = &endpoints.Update{}
	}
	update.Snapshot = true // there was nothing before it
	if *initial.Revision > w.log.revision {
		w.log.revision = *initial.Revision
		w.log.last = eventDigest{}
	}
	w.publish(update)
	now := w.cfg.RouterClock.Now()
	w.confirm(now)
	w.reportAskedAgain(now + 1) // the server may be out of reach, for how long is not known
	w.stats.Revision = w.log.revision
	return nil
}

// reportAskedAgain reports that the server is asked, or would be if it could be reached, after a time without an answer.
func (w *Watcher) reportAskedAgain(at time.Duration) {
	if w.cfg.OnRequested != nil {
		w.cfg.OnRequested(at)
	}
}

// confirm records and reports that the list holds all changes up to a time on the router's clock.
func (w *Watcher) confirm(at time.Duration) {
	w.starts.ListConfirmed(at)
	w.confirmedAt = max(w.confirmedAt, at)
	if w.cfg.OnConfirmed != nil {
		w.cfg.OnConfirmed(at)
	}
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

// Attributes returns the address that is polled and the revision of the list, as attributes of a log line.
func (w *Watcher) Attributes() []any {
	w.mu.Lock()
	defer w.mu.Unlock()
	return []any{"address", w.address, "revision", w.stats.Revision}
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

// publish passes an update to OnUpdate, and forgets the start times of the workers that it removes.
func (w *Watcher) publish(update *endpoints.Update) {
	w.cfg.OnUpdate(*update)
	w.starts.Forget(update)
}

// run polls until ctx is done.
func (w *Watcher) run(ctx context.Context) {
	defer close(w.done)
	defer w.late.close()
	consecutiveFailures := 0
	for ctx.Err() == nil {
		address, conn, err := w.ensureConnection(ctx)
		if err == nil {
			err = w.poll(conn)
		}
		w.askAgain = err != nil
		if err == nil {
			consecutiveFailures = 0
			w.late.close() // they ask for events that the answered poll has brought
			continue
		}
		interrupted := w.wasInterrupted(ctx, address, err)
		w.forgetConnection(!interrupted)
		if interrupted {
			w.late.close()
		}
		w.releaseConnection(conn, interrupted, err)
		w.resynchronizeAfter(err)
		if interrupted {
			continue
		}
		w.cfg.Logger.Info("endpoint poll failed, retrying", "address", address, "revision", w.log.revision, "error", err)
		consecutiveFailures++
		w.waitBeforeRetry(ctx, consecutiveFailures)
	}
	w.closeConnection()
}

// resynchronizeAfter has the next poll ask for the complete list after an error that shows that the server's events don't
// continue the log, and abandons the polls that asked for its continuation.
func (w *Watcher) resynchronizeAfter(err error) {
	if errors.Is(err, ErrEventGap) || errors.Is(err, ErrRevisionRegressed) {
		w.resynchronize = true
		w.late.close()
	}
}

// releaseConnection closes the connection of a poll that ended with err. A poll that timed out stays pending instead: its
// response may still come. conn is nil if there was no connection.
func (w *Watcher) releaseConnection(conn *connection, interrupted bool, err error) {
	switch {
	case conn == nil:
	case !interrupted && errors.Is(err, errResponseTimeout):
		w.late.add(conn)
	default:
		conn.close(err)
	}
}

// ensureConnection returns the open connection to the current address, or establishes one. On an error conn is nil. The error is
// errInterrupted if the address changed or the Watcher was closed while the connection was being established.
func (w *Watcher) ensureConnection(ctx context.Context) (address string, conn *connection, err error) {
	w.mu.Lock()
	address = w.address
	conn = w.conn
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

// wasInterrupted reports whether a poll ended with err by a change of the address or by Close, which is no failure.
func (w *Watcher) wasInterrupted(ctx context.Context, polledAddress string, err error) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.address != polledAddress || ctx.Err() != nil || errors.Is(err, errInterrupted)
}

// forgetConnection has the next poll use another connection, and counts the failure if there was one.
func (w *Watcher) forgetConnection(failed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conn = nil
	if failed {
		w.stats.FailedPolls++
	}
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
