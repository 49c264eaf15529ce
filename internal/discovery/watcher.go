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

// Config configures a Watcher. A field is required unless its comment says what nil means.
type Config struct {
	Address          string                        // host:port of the discovery server
	ConnectTimeout   time.Duration                 // limit of connecting, and of each write on the connection
	PollWait         time.Duration                 // how long the server may hold a poll while it has no event
	ResponseGrace    time.Duration                 // how much longer than PollWait a response may take
	MaxRetryDelay    time.Duration                 // longest delay between failing polls
	MaxResponseBytes int                           // longest response body
	RouterClock      endpoints.RouterClock         // the router's clock, to which start times are converted
	OnUpdate         func(update endpoints.Update) // called with each change of the list, never concurrently

	// OnConfirmed is called with a time on the router's clock when the list is known to contain all changes up to that
	// time. nil means no call.
	OnConfirmed func(at time.Duration)
	// OnRequested is called with the time on the router's clock at the start, and before each poll that follows a
	// failed or interrupted one. nil means no call.
	OnRequested func(at time.Duration)

	Logger *slog.Logger // nil discards log lines

	// Tests replace these; nil means the function of the same name.
	dial  func(address string, cfg Config) (*connection, error)
	sleep func(ctx context.Context, d time.Duration)
}

// The delay before the second of consecutive retries is retryBaseDelay << 2; it doubles with each further one, up to
// retryBaseDelay << maxRetryShift or Config.MaxRetryDelay, whichever is less. Half of it is random.
const (
	retryBaseDelay = 10 * time.Millisecond
	maxRetryShift  = 8
)

// recoveryPollWait is how long the server may hold the first poll, and each poll after a failed or interrupted one. It
// is short because the list counts as out of date until the response arrives.
const recoveryPollWait = 100 * time.Millisecond

// verifyAfter is the time without a confirmation after which a poll requests the last applied event again. The server
// may have been restarted in that time and have assigned the same revisions to other events. It equals the time after
// which the list counts as lost.
const verifyAfter = 2 * time.Second

// errInterrupted ends a poll because the server's address has changed or the Watcher is closed. It is not a failure.
var errInterrupted = errors.New("discovery: address changed or watcher closed")

// Watcher follows the endpoint list and passes its changes to Config.OnUpdate. Its methods are safe for concurrent use.
type Watcher struct {
	cfg    Config
	cancel context.CancelFunc
	done   chan struct{} // closed when run returns

	// Owned by run, and by Start until it starts run.
	events        *eventLog
	startTimes    *endpoints.StartTimes
	late          *latePolls
	confirmedAt   time.Duration // the list contains all changes up to this time on the router's clock
	recovering    bool          // there has been no poll, or the last one failed or was interrupted
	resynchronize bool          // the next poll requests the complete list: the server's events don't continue the log

	mu      sync.Mutex
	address string
	conn    *connection // connection of the current poll; nil before the first poll and after a failed one
	stats   Stats
}

// Stats holds counters since the start and the current revision.
type Stats struct {
	Revision       int64  // revision of the last event applied
	Polls          uint64 // polls sent, including those whose request could not be written
	Events         uint64 // revisions applied
	FailedPolls    uint64 // includes failed connects, excludes interrupted polls
	AddressChanges uint64
}

// Start passes the initial list to OnUpdate before it returns, and starts polling for the events after the list's
// revision. The initial response must come from ParsePollResponse. The caller must call Close.
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
		cfg:        cfg,
		cancel:     cancel,
		done:       make(chan struct{}),
		events:     &eventLog{},
		startTimes: endpoints.NewStartTimes(cfg.RouterClock),
		late:       newLatePolls(),
		recovering: true, // the initial list may be out of date
		address:    cfg.Address,
	}
	if err := w.applyInitial(initial); err != nil {
		cancel()
		return nil, err
	}
	go w.run(ctx)
	return w, nil
}

// applyInitial applies the initial response and publishes its list as a snapshot, even if it is empty.
func (w *Watcher) applyInitial(initial PollResponse) error {
	update, err := w.events.Apply(initial, w.startTimes.Convert)
	if err != nil {
		return err
	}
	if update == nil {
		update = &endpoints.Update{}
	}
	update.Snapshot = true // no earlier list exists
	if *initial.Revision > w.events.revision {
		w.events.revision = *initial.Revision
		w.events.lastDigest = eventDigest{}
	}
	w.publish(update)
	now := w.cfg.RouterClock.Now()
	w.confirm(now)
	w.reportRequested(now + 1) // the server may have been unreachable for an unknown time
	w.stats.Revision = w.events.revision
	return nil
}

// reportRequested reports that the list is requested at a time on the router's clock after a start, failure or
// interruption, even if the server can't be reached.
func (w *Watcher) reportRequested(at time.Duration) {
	if w.cfg.OnRequested != nil {
		w.cfg.OnRequested(at)
	}
}

// confirm records and reports that the list contains all changes up to a time on the router's clock.
func (w *Watcher) confirm(at time.Duration) {
	w.startTimes.ListConfirmed(at)
	w.confirmedAt = max(w.confirmedAt, at)
	if w.cfg.OnConfirmed != nil {
		w.cfg.OnConfirmed(at)
	}
}

// SetAddress changes the address of the server to poll. A pending poll at the old address is abandoned, and polling
// continues from the same revision: the new address is expected to serve the same events.
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

// Attributes returns the polled address and the revision of the list, as attributes of a log line.
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

// Close stops polling and returns when run has ended. OnUpdate is not called after that.
func (w *Watcher) Close() {
	w.cancel()
	w.closeConnection()
	<-w.done
}

// publish passes an update to OnUpdate and deletes the start times of the workers that the update removes.
func (w *Watcher) publish(update *endpoints.Update) {
	w.cfg.OnUpdate(*update)
	w.startTimes.Forget(update)
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
		w.recovering = err != nil
		if err == nil {
			consecutiveFailures = 0
			w.late.close() // they requested events that the answered poll has returned
			continue
		}
		interrupted := w.wasInterrupted(ctx, address, err)
		w.detachConnection(!interrupted)
		if interrupted {
			w.late.close()
		}
		w.releaseConnection(conn, interrupted, err)
		w.resynchronizeAfter(err)
		if interrupted {
			continue
		}
		w.cfg.Logger.Info("endpoint poll failed, retrying", "address", address, "revision", w.events.revision, "error", err)
		consecutiveFailures++
		w.waitBeforeRetry(ctx, consecutiveFailures)
	}
	w.closeConnection()
}

// resynchronizeAfter makes the next poll request the complete list if err shows that the server's events don't continue
// the log. It also abandons the late polls, which requested the continuation of the log.
func (w *Watcher) resynchronizeAfter(err error) {
	if errors.Is(err, ErrEventGap) || errors.Is(err, ErrRevisionRegressed) {
		w.resynchronize = true
		w.late.close()
	}
}

// waitBeforeRetry delays the next poll by exponential backoff with jitter. The first retry after a success is not
// delayed.
func (w *Watcher) waitBeforeRetry(ctx context.Context, consecutiveFailures int) {
	if consecutiveFailures <= 1 {
		return
	}
	delay := min(w.cfg.MaxRetryDelay, retryBaseDelay<<min(consecutiveFailures, maxRetryShift))
	w.cfg.sleep(ctx, delay/2+rand.N(delay/2+1))
}

// sleep returns after d or when ctx is done, whichever is first.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
