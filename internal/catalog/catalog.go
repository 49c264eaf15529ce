// Package catalog is the core by which a router knows what the registry has: it follows the registry's
// revisions, resolves a plan's alias to a version once for each call, and pins the call to that version's content.
// It holds no I/O, clock or goroutine: the caller hands it events with the time and carries out what Step returns.
//
// What a call gets when the catalog is not as it should be:
//
//   - Stale (the watch is broken, or the registry down): the last known version. A version's content never changes,
//     so the call is right as of then; Pin.Stale says so.
//   - Missing (neither a listing nor a snapshot has come): ErrMissing. Nothing is guessed.
//   - Contradictory (a version has other content than before, or revisions run back): the registry's present word
//     holds for new calls, and the operators are warned. Calls that are pinned keep their digest.
package catalog

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/topazfront/topazfront/internal/registry"
)

// Errors of resolving.
var (
	ErrNotSynced      = errors.New("catalog: nothing is known of the registry yet")
	ErrNotFound       = errors.New("catalog: no such alias or version")
	ErrVersionRemoved = errors.New("catalog: the version of the first try is gone")
)

// Config is the constants.
type Config struct {
	InitialBackoff   time.Duration // before the registry is asked again after a failure, doubled each time
	MaxBackoff       time.Duration
	StaleAfter       time.Duration // without a sign of the registry
	SaveInterval     time.Duration // a snapshot is written no more often
	MaxFirstAttempts int           // first tries remembered
}

// Defaults are the constants in use.
var DefaultConfig = Config{InitialBackoff: 200 * time.Millisecond, MaxBackoff: 10 * time.Second, StaleAfter: 15 * time.Second,
	SaveInterval: 5 * time.Second, MaxFirstAttempts: 100_000}

// Pin is what a call runs, in all its attempts.
type Pin struct {
	registry.VersionRef
	registry.Content
	Revision uint64
	Stale    bool
}

// Listing is all that the registry has as of a revision.
type Listing struct {
	Revision uint64
	Versions map[registry.VersionRef]registry.Content
	Aliases  map[registry.AliasRef]registry.VersionRef
}

// Snapshot is an event: the last known good listing, read from disk at the start.
type SnapshotLoaded struct{ Listing }

// Listed is an event: a List has been answered.
type ListReceived struct{ Listing }

// Revised is an event: revisions have come over the watch, or none as a sign that the registry lives.
type RevisionsReceived struct{ Revisions []registry.Revision }

// Broke is an event: a List or the Watch has failed. An error that is registry.ErrCompacted or
// registry.ErrFuture has the catalog list again.
type RequestFailed struct{ Err error }

// List is an action: ask the registry for all.
type List struct{}

// Watch is an action: ask it for what follows a revision, from now on.
type Watch struct{ After uint64 }

// Save is an action: write this listing as the last known good. Its maps must not be changed.
type SaveSnapshot struct{ Listing }

// Warn is an action: a line that operators should see.
type LogWarning struct{ Message string }

// Core is one router's catalog.
type Core struct {
	cfg               Config
	now               time.Duration
	begun             bool
	state             *registry.State
	lastContact       time.Duration // last sign of the registry
	contacted         bool          // there has been one
	requestPending    bool          // a List or Watch is out
	listNeeded        bool          // the next one is a List
	retryAt           time.Duration
	backoff           time.Duration
	savedAt           time.Duration
	unsaved           bool
	firstAttempts     map[string]*firstAttempt
	firstAttemptOrder []string // of keyed, oldest first
	actions           []any
}

// first is the version of a keyed call's first try.
type firstAttempt struct {
	pin       Pin
	expiresAt time.Duration
}

// New returns a Core that knows nothing.
func New(c Config) *Core {
	return &Core{cfg: c, listNeeded: true, backoff: c.InitialBackoff, firstAttempts: map[string]*firstAttempt{}, savedAt: -c.SaveInterval}
}

// Step takes Snapshot, Listed, Revised and Broke, and returns Lists, Watches, Saves and Warns.
func (c *Core) Step(now time.Duration, events []any) []any {
	c.now, c.actions = max(now, c.now), nil
	for _, e := range events {
		switch e := e.(type) {
		case SnapshotLoaded:
			if c.state == nil {
				c.replaceState(e.Listing)
				c.unsaved, c.listNeeded = false, false // the watch goes on from there, if the registry still can
			}
		case ListReceived:
			c.recordContact()
			c.requestPending, c.listNeeded = false, !c.replaceState(e.Listing)
		case RevisionsReceived:
			c.recordContact()
			c.applyRevisions(e.Revisions)
		case RequestFailed:
			c.requestFailed(e.Err)
		}
	}
	if !c.requestPending && c.now >= c.retryAt {
		c.requestPending = true
		if c.listNeeded || c.state == nil {
			c.actions = append(c.actions, List{})
		} else {
			c.actions = append(c.actions, Watch{After: c.state.Revision()})
		}
	}
	if c.unsaved && c.now-c.savedAt >= c.cfg.SaveInterval {
		c.unsaved, c.savedAt = false, c.now
		c.actions = append(c.actions, SaveSnapshot{c.currentListing()})
	}
	for len(c.firstAttemptOrder) > 0 && c.firstAttempts[c.firstAttemptOrder[0]].expiresAt <= c.now {
		delete(c.firstAttempts, c.firstAttemptOrder[0])
		c.firstAttemptOrder = c.firstAttemptOrder[1:]
	}
	return c.actions
}

// Due is when Step has something to do without an event; false if never.
func (c *Core) NextDeadline() (time.Duration, bool) {
	at, ok := time.Duration(0), false
	if !c.requestPending {
		at, ok = c.retryAt, true
	}
	if c.unsaved && (!ok || c.savedAt+c.cfg.SaveInterval < at) {
		at, ok = c.savedAt+c.cfg.SaveInterval, true
	}
	return at, ok
}

func (c *Core) warn(format string, args ...any) {
	c.actions = append(c.actions, LogWarning{fmt.Sprintf(format, args...)})
}

func (c *Core) recordContact() {
	c.lastContact, c.contacted, c.backoff = c.now, true, c.cfg.InitialBackoff
}

// take replaces all that is known by a listing. It tells whether that could be done.
func (c *Core) replaceState(l Listing) bool {
	next, err := registry.RestoreState(l.Revision, l.Versions, l.Aliases, 1)
	if err != nil {
		c.warn("listing at revision %d refused: %v", l.Revision, err)
		c.scheduleRetry()
		return false
	}
	if c.state != nil {
		if l.Revision < c.state.Revision() {
			c.warn("the registry's revisions run back, from %d to %d: was it restored from a backup?", c.state.Revision(), l.Revision)
		}
		for _, r := range c.state.Versions() {
			was, _ := c.state.Version(r)
			if is, ok := next.Version(r); ok && is != was {
				c.warn("%s was %s and is now %s: versions must not change", r, was.Digest, is.Digest)
			}
		}
	}
	c.state, c.unsaved = next, true
	return true
}

// revised applies revisions in order. Those known already are passed over, as a watch may tell twice; a gap, or
// one that does not fit, has all listed again.
func (c *Core) applyRevisions(list []registry.Revision) {
	for _, r := range list {
		if c.state == nil || c.listNeeded {
			return // what is asked for now will have it
		}
		if r.Number <= c.state.Revision() {
			continue
		}
		if err := c.state.Apply(r); err != nil {
			c.warn("watch: %v; listing again", err)
			c.listNeeded, c.requestPending = true, false
			return
		}
		c.unsaved = true
	}
}

func (c *Core) requestFailed(err error) {
	if !c.requestPending { // told twice: a failure must not put the next try off again and again
		return
	}
	c.requestPending = false
	switch {
	case errors.Is(err, registry.ErrFutureRevision):
		c.warn("the registry has not reached revision %d: was it restored from a backup?", c.state.Revision())
		c.listNeeded = true
		c.recordContact()
	case errors.Is(err, registry.ErrCompacted):
		c.listNeeded = true
		c.recordContact()
	default:
		c.scheduleRetry()
	}
}

// later asks again after a while, longer each time.
func (c *Core) scheduleRetry() {
	c.retryAt = c.now + c.backoff
	c.backoff = min(2*c.backoff, c.cfg.MaxBackoff)
}

func (c *Core) currentListing() Listing {
	l := Listing{Revision: c.state.Revision(), Versions: map[registry.VersionRef]registry.Content{}, Aliases: map[registry.AliasRef]registry.VersionRef{}}
	for _, r := range c.state.Versions() {
		l.Versions[r], _ = c.state.Version(r)
	}
	for _, p := range c.state.Aliases() {
		l.Aliases[p], _ = c.state.Alias(p)
	}
	return l
}

// Resolve pins a call: its plan's alias to a version and that version's content. It is called once for each call.
func (c *Core) ResolveAlias(now time.Duration, p registry.AliasRef) (Pin, error) {
	if c.state == nil {
		return Pin{}, ErrNotSynced
	}
	r, ok := c.state.Alias(p)
	if !ok {
		return Pin{}, fmt.Errorf("%w: %s", ErrNotFound, p)
	}
	return c.pin(now, r)
}

// Named pins a call that names its version.
func (c *Core) ResolveVersion(now time.Duration, r registry.VersionRef) (Pin, error) {
	if c.state == nil {
		return Pin{}, ErrNotSynced
	}
	return c.pin(now, r)
}

func (c *Core) pin(now time.Duration, r registry.VersionRef) (Pin, error) {
	content, ok := c.state.Version(r)
	if !ok {
		return Pin{}, fmt.Errorf("%w: %s", ErrNotFound, r)
	}
	return Pin{VersionRef: r, Content: content, Revision: c.state.Revision(), Stale: !c.contacted || now-c.lastContact > c.cfg.StaleAfter}, nil
}

// Keyed pins a call whose repeats are dropped for window under a key. A repeat gets the version of the first try
// at this router; where that is gone, ErrGone: it must be failed, as another version would take it for new. told
// is the version that the client says its first try had, from that try's answer; it goes before what is known
// here, so that a repeat at another router finds it too. Where neither is known the call counts as a first try.
func (c *Core) ResolveIdempotent(now time.Duration, key string, window time.Duration, p registry.AliasRef, told *registry.VersionRef) (Pin, error) {
	if c.state == nil {
		return Pin{}, ErrNotSynced
	}
	if f := c.firstAttempts[key]; told == nil && f != nil && now < f.expiresAt {
		told = &f.pin.VersionRef
		if content, ok := c.state.Version(f.pin.VersionRef); ok && content != f.pin.Content {
			return Pin{}, fmt.Errorf("%w: %s has other content", ErrVersionRemoved, f.pin.VersionRef)
		}
	}
	if told != nil {
		pin, err := c.pin(now, *told)
		if errors.Is(err, ErrNotFound) {
			return Pin{}, fmt.Errorf("%w: %s", ErrVersionRemoved, *told)
		}
		return pin, err
	}
	pin, err := c.ResolveAlias(now, p)
	if err != nil {
		return Pin{}, err
	}
	c.rememberFirstAttempt(now, key, window, pin)
	return pin, nil
}

// remember notes a first try. Its table is bounded: the oldest gives way, and its repeats are known by what
// clients tell alone.
func (c *Core) rememberFirstAttempt(now time.Duration, key string, window time.Duration, pin Pin) {
	if old := c.firstAttempts[key]; old != nil {
		old.pin, old.expiresAt = pin, now+window
		return
	}
	if len(c.firstAttemptOrder) >= c.cfg.MaxFirstAttempts {
		delete(c.firstAttempts, c.firstAttemptOrder[0])
		c.firstAttemptOrder = c.firstAttemptOrder[1:]
	}
	c.firstAttempts[key] = &firstAttempt{pin, now + window}
	c.firstAttemptOrder = append(c.firstAttemptOrder, key)
}

// Status is how the catalog stands.
type Status struct {
	Synced        bool
	Revision      uint64
	Versions      int
	Aliases       int
	Stale         bool
	FirstAttempts int
}

// Status tells how the catalog stands.
func (c *Core) Status(now time.Duration) Status {
	s := Status{Synced: c.state != nil, Stale: !c.contacted || now-c.lastContact > c.cfg.StaleAfter, FirstAttempts: len(c.firstAttempts)}
	if c.state != nil {
		s.Revision, s.Versions, s.Aliases = c.state.Revision(), len(c.state.Versions()), len(c.state.Aliases())
	}
	return s
}

// Digests lists the content that versions name, for those who hold copies.
func (c *Core) Digests() []registry.Digest {
	if c.state == nil {
		return nil
	}
	set := map[registry.Digest]bool{}
	for _, r := range c.state.Versions() {
		v, _ := c.state.Version(r)
		set[v.Digest] = true
	}
	return slices.SortedFunc(maps.Keys(set), func(a, b registry.Digest) int { return cmp.Compare(string(a[:]), string(b[:])) })
}
