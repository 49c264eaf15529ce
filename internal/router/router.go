package router

import (
	"context"
	"log/slog"
	"math"
	"sync"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/endpoints"
	"github.com/topazfront/topazfront/internal/timingwheel"
	"github.com/topazfront/topazfront/internal/wallclock"
)

const (
	// epoch is what the router's clock shows at its start. It is large so that the start times of workers, which
	// lie before it, are positive.
	epoch = 1000 * time.Hour

	timerResolution = time.Millisecond
	maxSleep        = time.Hour // of the loop, when no timer is set
)

// Config configures a Router.
type Config struct {
	Name               string
	Seed               uint64
	Settings           dispatch.Settings
	LoadTimeout        time.Duration
	HealthCheckTimeout time.Duration
	Endpoints          endpoints.Settings
	NewDispatcher      func(dispatch.Settings, uint64) (Dispatcher, error) // nil: dispatch.New; baselines replace it
	WallClock          wallclock.Clock                                     // nil: the system's
	Logger             *slog.Logger                                        // nil: no log

	// Observer, unless nil, is called by the loop after each Step, before the actions are carried out.
	Observer func(now time.Duration, events []dispatch.Event, actions []dispatch.Action)
}

// Dispatcher takes the decisions: a dispatch.Dispatcher, or a baseline behind the same events. Only the loop
// calls it.
type Dispatcher interface {
	Step(now time.Duration, events []dispatch.Event) []dispatch.Action
}

// Router is one router. Its exported methods may be called from any goroutine.
type Router struct {
	cfg       Config
	upstream  Upstream
	startedAt time.Time      // by the monotonic clock
	wallStart wallclock.Time // the same moment by the wall clock
	debug     bool           // debug lines are logged for each attempt and load

	mu      sync.Mutex
	queue   []func()      // work for the loop, in the order in which it was posted
	stopped bool          // the loop takes no more work
	wakeUp  chan struct{} // signals, with a buffer of one, that the queue is no longer empty

	loopEnded chan struct{} // closed when the loop has returned

	// The fields below belong to the loop; others may read them once loopEnded is closed.

	now             time.Duration // on the router's clock, as of this turn of the loop
	dispatcher      Dispatcher
	events          []dispatch.Event // for the next Step
	dispatcherTimer time.Duration    // when the dispatcher gets a TimerFired; 0: no timer is set
	timers          *timingwheel.Wheel
	calls           map[dispatch.RequestID]*activeCall
	lastCallID      dispatch.RequestID
	functions       calledFunctions
	endpoints       *endpoints.Merger
	describeList    func() []any  // attributes of the endpoint list for log lines; nil: none
	listConfirmedAt time.Duration // the endpoint list held all changes up to then; 0: not reported
	stats           Stats

	stopWhenIdle     bool          // the loop ends once no call is left
	stopLimitReached bool          // the loop ends after this turn
	unanswered       int           // calls without a final answer of the dispatcher when the loop was stopped
	killed           bool          // the loop ends at once
	shutdownDeadline time.Duration // when every call must have its answer; 0: the router isn't shutting down

	gossip               Gossip                   // nil: no gossip; the two fields below are then not maintained
	lastAlive            map[string]time.Duration // by worker: when it last gave a sign of life
	reportedUnresponsive map[string]bool          // workers reported to gossip as unresponsive, and not as alive since
}

// New starts a router's loop. The caller ends it by Stop or Kill. The error is that of cfg.NewDispatcher.
func New(cfg Config, upstream Upstream) (*Router, error) {
	if cfg.NewDispatcher == nil {
		cfg.NewDispatcher = func(s dispatch.Settings, seed uint64) (Dispatcher, error) { return dispatch.New(s, seed) }
	}
	if cfg.WallClock == nil {
		cfg.WallClock = wallclock.System
	}
	if cfg.Logger == nil {
		cfg.Logger = slog.New(slog.DiscardHandler)
	}
	dispatcher, err := cfg.NewDispatcher(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	r := &Router{
		cfg:                  cfg,
		upstream:             upstream,
		startedAt:            time.Now(),
		wallStart:            cfg.WallClock.Now(),
		debug:                cfg.Logger.Enabled(context.Background(), slog.LevelDebug),
		wakeUp:               make(chan struct{}, 1),
		loopEnded:            make(chan struct{}),
		dispatcher:           dispatcher,
		timers:               timingwheel.New(timerResolution, epoch),
		calls:                map[dispatch.RequestID]*activeCall{},
		functions:            calledFunctions{lastCalled: map[string]time.Duration{}},
		endpoints:            endpoints.New(cfg.Endpoints),
		lastAlive:            map[string]time.Duration{},
		reportedUnresponsive: map[string]bool{},
	}
	go r.loop()
	return r, nil
}

// Now returns the time on the router's clock.
func (r *Router) Now() time.Duration { return epoch + time.Since(r.startedAt) }

// FromWallTime converts a wall time to the router's clock, as if the wall clock had not been set since the router's start. The result
// is wrong by as much as the wall clock was wrong at that moment; endpoints.StartTimes corrects impossible results. A time
// before the clock's zero becomes 0, which stands for long ago.
func (r *Router) FromWallTime(moment wallclock.Time) time.Duration {
	sinceStart := min(moment.Sub(r.wallStart), math.MaxInt64-epoch)
	return max(epoch+sinceStart, 0)
}

// timeAt converts a time on the router's clock. 0 becomes the zero time.
func (r *Router) timeAt(at time.Duration) time.Time {
	if at == 0 {
		return time.Time{}
	}
	return r.startedAt.Add(at - epoch)
}

// post queues f to be run by the loop. It reports whether the loop still takes work; if not, f is never run.
func (r *Router) post(f func()) bool {
	r.mu.Lock()
	if r.stopped {
		r.mu.Unlock()
		return false
	}
	r.queue = append(r.queue, f)
	first := len(r.queue) == 1
	r.mu.Unlock()
	if first {
		select {
		case r.wakeUp <- struct{}{}:
		default:
		}
	}
	return true
}

// loop is the goroutine that owns the router's state. Each turn runs the queued work and the timers that are due, then the
// dispatcher. It returns when the router has stopped or was killed.
func (r *Router) loop() {
	defer close(r.loopEnded)
	timer := time.NewTimer(0)
	defer timer.Stop()
	var batch []func()
	for {
		select {
		case <-r.wakeUp:
		case <-timer.C:
		}
		batch = r.takeQueue(batch[:0])
		r.now = max(r.now, r.Now())
		for _, f := range batch {
			f()
		}
		clear(batch)
		if r.killed {
			r.closeQueue()
			return
		}
		r.fireTimers()
		r.updateEndpoints()
		r.step()
		if r.stopLimitReached {
			r.answerRemaining()
			return
		}
		if r.stopWhenIdle && len(r.calls) == 0 && r.closeQueueIfEmpty() {
			return
		}
		timer.Reset(r.sleepDuration())
	}
}

// takeQueue returns the queued work. empty, a slice of length 0, becomes the new queue: the two slices of the loop alternate,
// so that no turn allocates.
func (r *Router) takeQueue(empty []func()) []func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	batch := r.queue
	r.queue = empty
	return batch
}

// fireTimers runs the attempts' timers that are due and queues the dispatcher's timer event if it is due.
func (r *Router) fireTimers() {
	r.timers.Advance(r.now, func(t *timingwheel.Timer) {
		if f, ok := t.Value.(func()); ok {
			f()
		}
	})
	if r.dispatcherTimer > 0 && r.now >= r.dispatcherTimer {
		r.dispatcherTimer = 0
		r.events = append(r.events, dispatch.TimerFired{})
	}
}

// sleepDuration returns how long it is until the next timer or health check is due.
func (r *Router) sleepDuration() time.Duration {
	next := r.now + maxSleep
	if at, ok := r.timers.Next(); ok {
		next = min(next, at)
	}
	if r.dispatcherTimer > 0 {
		next = min(next, r.dispatcherTimer)
	}
	if at, ok := r.endpoints.NextCheck(); ok {
		next = min(next, at)
	}
	return max(next-r.Now(), 0)
}

// step passes the events to the dispatcher and carries out its actions, until these cause no further event.
func (r *Router) step() {
	for len(r.events) > 0 {
		events := r.events
		r.events = nil
		actions := r.dispatcher.Step(r.now, events)
		if r.cfg.Observer != nil {
			r.cfg.Observer(r.now, events, actions)
		}
		for _, action := range actions {
			r.execute(action)
		}
	}
}

// execute carries out one action of the dispatcher.
func (r *Router) execute(action dispatch.Action) {
	switch action := action.(type) {
	case dispatch.StartAttempt:
		r.startAttempt(action)
	case dispatch.CancelAttempt:
		r.cancelAttempt(action)
	case dispatch.RejectRequest:
		r.rejectCall(action)
	case dispatch.FailRequest:
		r.failCall(action)
	case dispatch.LoadFunction:
		r.loadFunction(action)
	case dispatch.CheckHealth:
		r.checkHealth(action)
	case dispatch.EndpointListStateChanged:
		r.endpointListStateChanged(action)
	case dispatch.SetTimer:
		r.dispatcherTimer = r.now + action.After
	case dispatch.ReportSuspicion:
		r.reportSuspicion(action)
	case dispatch.LogMessage:
		r.cfg.Logger.Info("dispatcher note", "note", action.Text)
	case dispatch.SubscribeEndpoints: // every router gets the endpoint list without subscribing
	}
}
