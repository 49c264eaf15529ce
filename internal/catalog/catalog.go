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
	ErrMissing  = errors.New("catalog: nothing is known of the registry yet")
	ErrNotFound = errors.New("catalog: no such alias or version")
	ErrGone     = errors.New("catalog: the version of the first try is gone")
)

// Config is the constants.
type Config struct {
	RetryFirst time.Duration // before the registry is asked again after a failure, doubled each time
	RetryMost  time.Duration
	StaleAfter time.Duration // without a sign of the registry
	SaveEvery  time.Duration // a snapshot is written no more often
	KeyedMost  int           // first tries remembered
}

// Defaults are the constants in use.
var Defaults = Config{RetryFirst: 200 * time.Millisecond, RetryMost: 10 * time.Second, StaleAfter: 15 * time.Second,
	SaveEvery: 5 * time.Second, KeyedMost: 100_000}

// Pin is what a call runs, in all its attempts.
type Pin struct {
	registry.Ref
	registry.Content
	Revision uint64
	Stale    bool
}

// Listing is all that the registry has as of a revision.
type Listing struct {
	Revision uint64
	Versions map[registry.Ref]registry.Content
	Aliases  map[registry.Place]registry.Ref
}

// Snapshot is an event: the last known good listing, read from disk at the start.
type Snapshot struct{ Listing }

// Listed is an event: a List has been answered.
type Listed struct{ Listing }

// Revised is an event: revisions have come over the watch, or none as a sign that the registry lives.
type Revised struct{ Revisions []registry.Revision }

// Broke is an event: a List or the Watch has failed. An error that is registry.ErrCompacted or
// registry.ErrFuture has the catalog list again.
type Broke struct{ Err error }

// List is an action: ask the registry for all.
type List struct{}

// Watch is an action: ask it for what follows a revision, from now on.
type Watch struct{ After uint64 }

// Save is an action: write this listing as the last known good. Its maps must not be changed.
type Save struct{ Listing }

// Warn is an action: a line that operators should see.
type Warn struct{ Text string }

// Core is one router's catalog.
type Core struct {
	cfg     Config
	now     time.Duration
	begun   bool
	state   *registry.State
	heard   time.Duration // last sign of the registry
	live    bool          // there has been one
	asking  bool          // a List or Watch is out
	list    bool          // the next one is a List
	retryAt time.Duration
	backoff time.Duration
	savedAt time.Duration
	dirty   bool
	keyed   map[string]*first
	order   []string // of keyed, oldest first
	out     []any
}

// first is the version of a keyed call's first try.
type first struct {
	pin   Pin
	until time.Duration
}

// New returns a Core that knows nothing.
func New(c Config) *Core {
	return &Core{cfg: c, list: true, backoff: c.RetryFirst, keyed: map[string]*first{}, savedAt: -c.SaveEvery}
}

// Step takes Snapshot, Listed, Revised and Broke, and returns Lists, Watches, Saves and Warns.
func (c *Core) Step(now time.Duration, events []any) []any {
	c.now, c.out = max(now, c.now), nil
	for _, e := range events {
		switch e := e.(type) {
		case Snapshot:
			if c.state == nil {
				c.take(e.Listing)
				c.dirty, c.list = false, false // the watch goes on from there, if the registry still can
			}
		case Listed:
			c.sign()
			c.asking, c.list = false, !c.take(e.Listing)
		case Revised:
			c.sign()
			c.revised(e.Revisions)
		case Broke:
			c.broke(e.Err)
		}
	}
	if !c.asking && c.now >= c.retryAt {
		c.asking = true
		if c.list || c.state == nil {
			c.out = append(c.out, List{})
		} else {
			c.out = append(c.out, Watch{After: c.state.Rev()})
		}
	}
	if c.dirty && c.now-c.savedAt >= c.cfg.SaveEvery {
		c.dirty, c.savedAt = false, c.now
		c.out = append(c.out, Save{c.listing()})
	}
	for len(c.order) > 0 && c.keyed[c.order[0]].until <= c.now {
		delete(c.keyed, c.order[0])
		c.order = c.order[1:]
	}
	return c.out
}

// Due is when Step has something to do without an event; false if never.
func (c *Core) Due() (time.Duration, bool) {
	at, ok := time.Duration(0), false
	if !c.asking {
		at, ok = c.retryAt, true
	}
	if c.dirty && (!ok || c.savedAt+c.cfg.SaveEvery < at) {
		at, ok = c.savedAt+c.cfg.SaveEvery, true
	}
	return at, ok
}

func (c *Core) warn(format string, args ...any) {
	c.out = append(c.out, Warn{fmt.Sprintf(format, args...)})
}

func (c *Core) sign() { c.heard, c.live, c.backoff = c.now, true, c.cfg.RetryFirst }

// take replaces all that is known by a listing. It tells whether that could be done.
func (c *Core) take(l Listing) bool {
	next, err := registry.Restore(l.Revision, l.Versions, l.Aliases, 1)
	if err != nil {
		c.warn("listing at revision %d refused: %v", l.Revision, err)
		c.later()
		return false
	}
	if c.state != nil {
		if l.Revision < c.state.Rev() {
			c.warn("the registry's revisions run back, from %d to %d: was it restored from a backup?", c.state.Rev(), l.Revision)
		}
		for _, r := range c.state.Versions() {
			was, _ := c.state.Version(r)
			if is, ok := next.Version(r); ok && is != was {
				c.warn("%s was %s and is now %s: versions must not change", r, was.Digest, is.Digest)
			}
		}
	}
	c.state, c.dirty = next, true
	return true
}

// revised applies revisions in order. Those known already are passed over, as a watch may tell twice; a gap, or
// one that does not fit, has all listed again.
func (c *Core) revised(list []registry.Revision) {
	for _, r := range list {
		if c.state == nil || c.list {
			return // what is asked for now will have it
		}
		if r.Number <= c.state.Rev() {
			continue
		}
		if err := c.state.Apply(r); err != nil {
			c.warn("watch: %v; listing again", err)
			c.list, c.asking = true, false
			return
		}
		c.dirty = true
	}
}

func (c *Core) broke(err error) {
	if !c.asking { // told twice: a failure must not put the next try off again and again
		return
	}
	c.asking = false
	switch {
	case errors.Is(err, registry.ErrFuture):
		c.warn("the registry has not reached revision %d: was it restored from a backup?", c.state.Rev())
		c.list = true
		c.sign()
	case errors.Is(err, registry.ErrCompacted):
		c.list = true
		c.sign()
	default:
		c.later()
	}
}

// later asks again after a while, longer each time.
func (c *Core) later() {
	c.retryAt = c.now + c.backoff
	c.backoff = min(2*c.backoff, c.cfg.RetryMost)
}

func (c *Core) listing() Listing {
	l := Listing{Revision: c.state.Rev(), Versions: map[registry.Ref]registry.Content{}, Aliases: map[registry.Place]registry.Ref{}}
	for _, r := range c.state.Versions() {
		l.Versions[r], _ = c.state.Version(r)
	}
	for _, p := range c.state.Aliases() {
		l.Aliases[p], _ = c.state.Alias(p)
	}
	return l
}

// Resolve pins a call: its plan's alias to a version and that version's content. It is called once for each call.
func (c *Core) Resolve(now time.Duration, p registry.Place) (Pin, error) {
	if c.state == nil {
		return Pin{}, ErrMissing
	}
	r, ok := c.state.Alias(p)
	if !ok {
		return Pin{}, fmt.Errorf("%w: %s", ErrNotFound, p)
	}
	return c.pin(now, r)
}

// Named pins a call that names its version.
func (c *Core) Named(now time.Duration, r registry.Ref) (Pin, error) {
	if c.state == nil {
		return Pin{}, ErrMissing
	}
	return c.pin(now, r)
}

func (c *Core) pin(now time.Duration, r registry.Ref) (Pin, error) {
	content, ok := c.state.Version(r)
	if !ok {
		return Pin{}, fmt.Errorf("%w: %s", ErrNotFound, r)
	}
	return Pin{Ref: r, Content: content, Revision: c.state.Rev(), Stale: !c.live || now-c.heard > c.cfg.StaleAfter}, nil
}

// Keyed pins a call whose repeats are dropped for window under a key. A repeat gets the version of the first try
// at this router; where that is gone, ErrGone: it must be failed, as another version would take it for new. told
// is the version that the client says its first try had, from that try's answer; it goes before what is known
// here, so that a repeat at another router finds it too. Where neither is known the call counts as a first try.
func (c *Core) Keyed(now time.Duration, key string, window time.Duration, p registry.Place, told *registry.Ref) (Pin, error) {
	if c.state == nil {
		return Pin{}, ErrMissing
	}
	if f := c.keyed[key]; told == nil && f != nil && now < f.until {
		told = &f.pin.Ref
		if content, ok := c.state.Version(f.pin.Ref); ok && content != f.pin.Content {
			return Pin{}, fmt.Errorf("%w: %s has other content", ErrGone, f.pin.Ref)
		}
	}
	if told != nil {
		pin, err := c.pin(now, *told)
		if errors.Is(err, ErrNotFound) {
			return Pin{}, fmt.Errorf("%w: %s", ErrGone, *told)
		}
		return pin, err
	}
	pin, err := c.Resolve(now, p)
	if err != nil {
		return Pin{}, err
	}
	c.remember(now, key, window, pin)
	return pin, nil
}

// remember notes a first try. Its table is bounded: the oldest gives way, and its repeats are known by what
// clients tell alone.
func (c *Core) remember(now time.Duration, key string, window time.Duration, pin Pin) {
	if old := c.keyed[key]; old != nil {
		old.pin, old.until = pin, now+window
		return
	}
	if len(c.order) >= c.cfg.KeyedMost {
		delete(c.keyed, c.order[0])
		c.order = c.order[1:]
	}
	c.keyed[key] = &first{pin, now + window}
	c.order = append(c.order, key)
}

// Status is how the catalog stands.
type Status struct {
	Known    bool
	Revision uint64
	Versions int
	Aliases  int
	Stale    bool
	Keyed    int
}

// Status tells how the catalog stands.
func (c *Core) Status(now time.Duration) Status {
	s := Status{Known: c.state != nil, Stale: !c.live || now-c.heard > c.cfg.StaleAfter, Keyed: len(c.keyed)}
	if c.state != nil {
		s.Revision, s.Versions, s.Aliases = c.state.Rev(), len(c.state.Versions()), len(c.state.Aliases())
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
