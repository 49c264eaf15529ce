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
	// epoch is the reading of the router's clock when the router starts. It is large so that the start times of
	// workers, which are earlier, are positive.
	epoch = 1000 * time.Hour

	timerResolution = time.Millisecond
	maxSleep        = time.Hour // how long the loop sleeps if no timer is set
)

// Config configures a Router.
type Config struct {
	Name               string
	Seed               uint64
	Settings           dispatch.Settings
	LoadTimeout        time.Duration
	HealthCheckTimeout time.Duration
	Endpoints          endpoints.Settings
	NewDispatcher      func(dispatch.Settings, uint64) (Dispatcher, error) // nil means dispatch.New; baselines replace it
	WallClock          wallclock.Clock                                     // nil means the system clock
	Logger             *slog.Logger                                        // nil discards log lines

	// Observer, if not nil, is called by the loop after each Step, before the actions are executed.
	Observer func(now time.Duration, events []dispatch.Event, actions []dispatch.Action)
}

// Dispatcher decides what the router does. It is a dispatch.Dispatcher, or a baseline policy that handles the same
// events. Only the loop calls it.
type Dispatcher interface {
	Step(now time.Duration, events []dispatch.Event) []dispatch.Action
}

// Router is one router. Its exported methods may be called from any goroutine.
type Router struct {
	cfg       Config
	upstream  Upstream
	startedAt time.Time      // start time with a monotonic reading
	wallStart wallclock.Time // the same moment on the wall clock
	debug     bool           // log each attempt and load at debug level

	mu      sync.Mutex
	queue   []func()      // work for the loop, in the order of posting
	stopped bool          // the loop accepts no more work
	wakeUp  chan struct{} // has a buffer of one; signals that the queue is no longer empty

	loopEnded chan struct{} // closed when the loop returns

	// The loop owns the fields below. Other goroutines may read them once loopEnded is closed.

	turnTime        time.Duration // the router's clock as read at the start of this turn of the loop
	dispatcher      Dispatcher
	events          []dispatch.Event // for the next Step
	dispatcherTimer time.Duration    // when the dispatcher gets a TimerFired; 0 means no timer is set
	timers          *timingwheel.Wheel
	calls           map[dispatch.RequestID]*activeCall
	lastCallID      dispatch.RequestID
	functions       recentFunctions
	endpoints       *endpoints.Merger
	listAttributes  func() []any  // returns attributes for log lines about the endpoint list; nil means none
	listConfirmedAt time.Duration // the endpoint list contains all changes up to this time; 0 means never confirmed
	stats           Stats

	stopWhenIdle     bool          // the loop ends once no call is in flight
	stopTimedOut     bool          // the timeout of Stop has passed; the loop ends after this turn
	unanswered       int           // calls that the dispatcher had not answered when the loop was stopped
	killed           bool          // the loop ends immediately
	shutdownDeadline time.Duration // when every call must have its answer; 0 means the router isn't shutting down

	gossip               Gossip                   // nil means no gossip; the two fields below are then not maintained
	lastAlive            map[string]time.Duration // time of the last evidence that a worker is alive, by worker
	reportedUnresponsive map[string]bool          // workers reported as unresponsive, and not as alive since
}

// New starts a router's loop. The caller must end it by Stop or Kill. The error is that of cfg.NewDispatcher.
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
		functions:            recentFunctions{lastCalled: map[string]time.Duration{}},
		endpoints:            endpoints.New(cfg.Endpoints),
		lastAlive:            map[string]time.Duration{},
		reportedUnresponsive: map[string]bool{},
	}
	go r.loop()
	return r, nil
}

// Now returns the time on the router's clock.
func (r *Router) Now() time.Duration { return epoch + time.Since(r.startedAt) }

// FromWallTime converts a wall time to the router's clock, assuming that the wall clock has not been set since the
// router started. Any error of the wall clock at that moment carries over to the result; endpoints.StartTimes corrects
// impossible results. A time before the zero of the router's clock becomes 0, which stands for long ago.
func (r *Router) FromWallTime(moment wallclock.Time) time.Duration {
	sinceStart := min(moment.Sub(r.wallStart), math.MaxInt64-epoch)
	return max(epoch+sinceStart, 0)
}

// timeAt converts a time on the router's clock to a time.Time. 0 becomes the zero time.Time.
func (r *Router) timeAt(at time.Duration) time.Time {
	if at == 0 {
		return time.Time{}
	}
	return r.startedAt.Add(at - epoch)
}

// timeOf returns the time on the router's clock. The zero time.Time becomes 0.
func (r *Router) timeOf(moment time.Time) time.Duration {
	if moment.IsZero() {
		return 0
	}
	return epoch + moment.Sub(r.startedAt)
}

// post queues f for the loop. It returns false if the loop accepts no more work; f is then never run.
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

// loop is the goroutine that owns the router's state. Each turn runs the queued work and the due timers, then the
// dispatcher. It returns when the router is stopped or killed.
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
		r.turnTime = max(r.turnTime, r.Now())
		for _, f := range batch {
			f()
		}
		clear(batch)
		if r.killed {
			r.closeQueue()
			return
		}
		r.fireTimers()
		r.stepEndpoints()
		r.step()
		if r.stopTimedOut {
			r.answerRemaining()
			return
		}
		if r.stopWhenIdle && len(r.calls) == 0 && r.closeQueueIfEmpty() {
			return
		}
		timer.Reset(r.sleepDuration())
	}
}

// takeQueue returns the queued work and makes empty, a slice of length 0, the new queue. The loop alternates between
// two slices, so that no turn allocates.
func (r *Router) takeQueue(empty []func()) []func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	batch := r.queue
	r.queue = empty
	return batch
}

// fireTimers runs the due timers of attempts and queues a TimerFired event if the dispatcher's timer is due.
func (r *Router) fireTimers() {
	r.timers.Advance(r.turnTime, func(t *timingwheel.Timer) {
		if f, ok := t.Value.(func()); ok {
			f()
		}
	})
	if r.dispatcherTimer > 0 && r.turnTime >= r.dispatcherTimer {
		r.dispatcherTimer = 0
		r.events = append(r.events, dispatch.TimerFired{})
	}
}

// sleepDuration returns the time until the next timer or health check is due.
func (r *Router) sleepDuration() time.Duration {
	next := r.turnTime + maxSleep
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

// step passes the events to the dispatcher and executes its actions, until the actions cause no further event.
func (r *Router) step() {
	for len(r.events) > 0 {
		events := r.events
		r.events = nil
		actions := r.dispatcher.Step(r.turnTime, events)
		if r.cfg.Observer != nil {
			r.cfg.Observer(r.turnTime, events, actions)
		}
		for _, action := range actions {
			r.execute(action)
		}
	}
}

// execute executes one action of the dispatcher.
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
	case dispatch.KeepConnections:
		r.upstream.KeepConnections(action.Keep)
	case dispatch.RestartAssumed:
		r.restartAssumed(action)
	case dispatch.SetTimer:
		r.dispatcherTimer = r.turnTime + action.After
	case dispatch.ReportSuspicion:
		r.reportSuspicion(action)
	case dispatch.LogMessage:
		r.cfg.Logger.Info("dispatcher note", "note", action.Text)
	case dispatch.SubscribeEndpoints: // nothing to do: every router receives the endpoint list without subscribing
	}
}
