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

// Config holds a Core's tuned constants.
type Config struct {
	InitialBackoff   time.Duration // before the registry is asked again after a failure; doubled each time
	MaxBackoff       time.Duration // bounds the doubling
	StaleAfter       time.Duration // without contact with the registry
	SaveInterval     time.Duration // a snapshot is written no more often
	MaxIdempotencyKeys int           // first attempts remembered for idempotency keys
}

// DefaultConfig holds the constants in use.
var DefaultConfig = Config{
	InitialBackoff:   200 * time.Millisecond,
	MaxBackoff:       10 * time.Second,
	StaleAfter:       15 * time.Second,
	SaveInterval:     5 * time.Second,
	MaxIdempotencyKeys: 100_000,
}

// Core is one router's catalog. It belongs to one goroutine. All times are durations since one fixed moment.
type Core struct {
	config Config
	now    time.Duration   // of the latest Step
	state  *registry.State // nil until a listing or a snapshot is received

	lastContact    time.Duration // when the registry last answered
	contacted      bool          // whether the registry has ever answered
	requestPending bool          // a List or Watch is in progress
	listNeeded     bool          // the next request is a List, not a Watch
	retryAt        time.Duration // no request is made before
	backoff        time.Duration // until the retry after the next failure

	unsaved bool          // the state has changed since the latest SaveSnapshot
	savedAt time.Duration // of the latest SaveSnapshot

	pinsByKey     map[string]*rememberedPin // by idempotency key
	keyOrder []string                 // keys of firstAttempts, oldest first

	actions []Action // of the Step in progress
}

// New returns a Core that knows nothing of the registry.
func New(config Config) *Core {
	return &Core{
		config:        config,
		listNeeded:    true,
		backoff:       config.InitialBackoff,
		pinsByKey: map[string]*rememberedPin{},
		savedAt:       -config.SaveInterval,
	}
}

// Step handles events and returns the actions that the caller must carry out. A time before that of an earlier Step
// counts as that one.
func (c *Core) Step(now time.Duration, events []Event) []Action {
	c.now, c.actions = max(now, c.now), nil
	for _, event := range events {
		c.handle(event)
	}
	c.requestIfDue()
	c.saveIfDue()
	c.expirePins()
	return c.actions
}

func (c *Core) handle(event Event) {
	switch event := event.(type) {
	case SnapshotLoaded:
		if c.state == nil {
			c.replaceState(event.Listing)
			c.unsaved, c.listNeeded = false, false // the watch continues from there, if the registry still can
		}
	case ListReceived:
		c.recordContact()
		c.requestPending, c.listNeeded = false, !c.replaceState(event.Listing)
	case RevisionsReceived:
		c.recordContact()
		c.applyRevisions(event.Revisions)
	case RequestFailed:
		c.handleFailure(event.Err)
	}
}

// requestIfDue lists or watches, unless a request is in progress or the backoff has not passed.
func (c *Core) requestIfDue() {
	if c.requestPending || c.now < c.retryAt {
		return
	}
	c.requestPending = true
	if c.listNeeded || c.state == nil {
		c.actions = append(c.actions, List{})
	} else {
		c.actions = append(c.actions, Watch{After: c.state.Revision()})
	}
}

// saveIfDue saves a changed state, unless the latest snapshot is too recent.
func (c *Core) saveIfDue() {
	if !c.unsaved || c.now-c.savedAt < c.config.SaveInterval {
		return
	}
	c.unsaved, c.savedAt = false, c.now
	c.actions = append(c.actions, SaveSnapshot{c.currentListing()})
}

// NextDeadline returns the time at which Step has something to do without an event; false if there is none.
func (c *Core) NextDeadline() (time.Duration, bool) {
	deadline, ok := time.Duration(0), false
	if !c.requestPending {
		deadline, ok = c.retryAt, true
	}
	if saveAt := c.savedAt + c.config.SaveInterval; c.unsaved && (!ok || saveAt < deadline) {
		deadline, ok = saveAt, true
	}
	return deadline, ok
}

func (c *Core) warn(format string, args ...any) {
	c.actions = append(c.actions, LogWarning{fmt.Sprintf(format, args...)})
}

// recordContact notes that the registry has answered.
func (c *Core) recordContact() {
	c.lastContact, c.contacted, c.backoff = c.now, true, c.config.InitialBackoff
}

// replaceState replaces all that is known by a listing. It reports whether the listing was accepted; after one that
// was not, the registry is asked again after the backoff.
func (c *Core) replaceState(listing Listing) bool {
	next, err := registry.RestoreState(listing.Revision, listing.Versions, listing.Aliases, 1)
	if err != nil {
		c.warn("listing at revision %d rejected: %v", listing.Revision, err)
		c.scheduleRetry()
		return false
	}
	if c.state != nil {
		c.warnOfContradictions(next)
	}
	c.state, c.unsaved = next, true
	return true
}

// warnOfContradictions warns where a listing cannot have followed from the present state.
func (c *Core) warnOfContradictions(next *registry.State) {
	if next.Revision() < c.state.Revision() {
		c.warn("the registry's revisions run backwards, from %d to %d: was it restored from a backup?",
			c.state.Revision(), next.Revision())
	}
	for _, ref := range c.state.Versions() {
		before, _ := c.state.Version(ref)
		if after, ok := next.Version(ref); ok && after != before {
			c.warn("%s was %s and is now %s: versions must not change", ref, before.Digest, after.Digest)
		}
	}
}

// applyRevisions applies revisions in order. Those that are known already are skipped, since a watch may deliver them
// twice. After a gap, or a revision that does not apply, all is listed again.
func (c *Core) applyRevisions(revisions []registry.Revision) {
	for _, revision := range revisions {
		if c.state == nil || c.listNeeded {
			return // the List that is in progress or due next includes it
		}
		if revision.Number <= c.state.Revision() {
			continue
		}
		if err := c.state.Apply(revision); err != nil {
			c.warn("watch: %v; listing again", err)
			c.listNeeded, c.requestPending = true, false
			return
		}
		c.unsaved = true
	}
}

func (c *Core) handleFailure(err error) {
	if !c.requestPending { // reported twice: one failure must not postpone the next request again and again
		return
	}
	c.requestPending = false
	switch {
	case errors.Is(err, registry.ErrFutureRevision):
		if c.state != nil { // a List gets no such error, but whatever answers it is not trusted to know that
			c.warn("the registry has not reached revision %d: was it restored from a backup?", c.state.Revision())
		}
		c.listNeeded = true
		c.recordContact()
	case errors.Is(err, registry.ErrCompacted):
		c.listNeeded = true
		c.recordContact()
	default:
		c.scheduleRetry()
	}
}

// scheduleRetry puts the next request off by the backoff, which it doubles.
func (c *Core) scheduleRetry() {
	c.retryAt = c.now + c.backoff
	c.backoff = min(2*c.backoff, c.config.MaxBackoff)
}

// currentListing returns a copy of the state.
func (c *Core) currentListing() Listing {
	listing := Listing{
		Revision: c.state.Revision(),
		Versions: map[registry.VersionRef]registry.Content{},
		Aliases:  map[registry.AliasRef]registry.VersionRef{},
	}
	for _, ref := range c.state.Versions() {
		listing.Versions[ref], _ = c.state.Version(ref)
	}
	for _, ref := range c.state.Aliases() {
		listing.Aliases[ref], _ = c.state.Alias(ref)
	}
	return listing
}

// Status describes a Core.
type Status struct {
	Synced        bool // a listing or a snapshot has been received
	Revision      uint64
	Versions      int // number of versions
	Aliases       int // number of aliases
	Stale         bool
	IdempotencyKeys int // number of first attempts remembered
}

// Status describes the Core as of now.
func (c *Core) Status(now time.Duration) Status {
	status := Status{Synced: c.state != nil, Stale: c.stale(now), IdempotencyKeys: len(c.pinsByKey)}
	if c.state != nil {
		status.Revision = c.state.Revision()
		status.Versions = len(c.state.Versions())
		status.Aliases = len(c.state.Aliases())
	}
	return status
}

// stale reports whether the registry has not answered lately, or never.
func (c *Core) stale(now time.Duration) bool {
	return !c.contacted || now-c.lastContact > c.config.StaleAfter
}

// Digests lists the contents that versions refer to, sorted, for those who keep copies of them.
func (c *Core) Digests() []registry.Digest {
	if c.state == nil {
		return nil
	}
	set := map[registry.Digest]bool{}
	for _, ref := range c.state.Versions() {
		content, _ := c.state.Version(ref)
		set[content.Digest] = true
	}
	return slices.SortedFunc(maps.Keys(set), func(a, b registry.Digest) int {
		return cmp.Compare(string(a[:]), string(b[:]))
	})
}
