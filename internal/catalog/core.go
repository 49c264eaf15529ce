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

// Config holds the settings of a Core.
type Config struct {
	InitialBackoff     time.Duration // from a failed request to the next; doubled after each failure
	MaxBackoff         time.Duration // upper bound of the doubled backoff
	StaleAfter         time.Duration // time without a response of the registry after which the catalog is stale
	SaveInterval       time.Duration // least time between two snapshots
	MaxIdempotencyKeys int           // maximum number of idempotency keys whose pins are remembered
}

// DefaultConfig holds the default settings.
var DefaultConfig = Config{
	InitialBackoff:     200 * time.Millisecond,
	MaxBackoff:         10 * time.Second,
	StaleAfter:         15 * time.Second,
	SaveInterval:       5 * time.Second,
	MaxIdempotencyKeys: 100_000,
}

// Core is one router's catalog. It is not safe for concurrent use. All times are durations since one fixed moment.
type Core struct {
	config Config
	now    time.Duration   // time of the latest Step
	state  *registry.State // nil until a listing or a snapshot is received

	lastContact    time.Duration // when the registry last responded
	contacted      bool          // whether the registry has ever responded
	requestPending bool          // a List or Watch is in progress
	listNeeded     bool          // the next request is a List, not a Watch
	retryAt        time.Duration // no request is made before this time
	backoff        time.Duration // delay of the retry after the next failure

	unsaved bool          // the state has changed since the latest SaveSnapshot
	savedAt time.Duration // time of the latest SaveSnapshot

	pinsByKey map[string]*rememberedPin // by idempotency key
	keyOrder  []string                  // keys of pinsByKey, oldest first

	actions []Action // result of the Step in progress
}

// New returns a Core that is not synced.
func New(config Config) *Core {
	return &Core{
		config:     config,
		listNeeded: true,
		backoff:    config.InitialBackoff,
		pinsByKey:  map[string]*rememberedPin{},
		savedAt:    -config.SaveInterval,
	}
}

// Step handles events and returns the actions that the caller must execute. If now is before the time of an earlier
// Step, that earlier time is used.
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
			// The watch continues after the snapshot's revision, unless the registry has compacted it.
			c.unsaved, c.listNeeded = false, false
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

// requestIfDue starts a List or Watch, unless a request is in progress or the backoff has not elapsed.
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

// saveIfDue saves the state if it has changed and the latest snapshot is at least SaveInterval old.
func (c *Core) saveIfDue() {
	if !c.unsaved || c.now-c.savedAt < c.config.SaveInterval {
		return
	}
	c.unsaved, c.savedAt = false, c.now
	c.actions = append(c.actions, SaveSnapshot{c.currentListing()})
}

// NextDeadline returns the time by which Step must be called even without an event, or false if there is none.
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

// warn adds a LogWarning to the actions.
func (c *Core) warn(format string, args ...any) {
	c.actions = append(c.actions, LogWarning{fmt.Sprintf(format, args...)})
}

// recordContact records that the registry has responded.
func (c *Core) recordContact() {
	c.lastContact, c.contacted, c.backoff = c.now, true, c.config.InitialBackoff
}

// replaceState replaces the state by a listing and reports whether the listing was accepted. If it was not, the request
// is retried after the backoff.
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

// warnOfContradictions logs warnings if a listing cannot be a later state of the same registry.
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

// applyRevisions applies revisions in order. It skips revisions that are already applied, because a watch may deliver
// them twice. After a gap, or if a revision cannot be applied, the next request is a List.
func (c *Core) applyRevisions(revisions []registry.Revision) {
	for _, revision := range revisions {
		if c.state == nil || c.listNeeded {
			return // the listing of the current or next List includes the revision
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

// handleFailure handles the failure of a List or Watch.
func (c *Core) handleFailure(err error) {
	if !c.requestPending { // the failure was reported twice; it must not postpone the retry again
		return
	}
	c.requestPending = false
	switch {
	case errors.Is(err, registry.ErrFutureRevision):
		if c.state != nil { // nil if a List failed with this error, which a correct registry returns only for a Watch
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

// scheduleRetry delays the next request by the backoff and doubles the backoff.
func (c *Core) scheduleRetry() {
	c.retryAt = c.now + c.backoff
	c.backoff = min(2*c.backoff, c.config.MaxBackoff)
}

// currentListing returns a copy of the state as a Listing.
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

// Status is a summary of a Core's state.
type Status struct {
	Synced          bool // a listing or a snapshot has been received
	Revision        uint64
	Versions        int // number of versions
	Aliases         int // number of aliases
	Stale           bool
	IdempotencyKeys int // number of idempotency keys whose pins are remembered
}

// Status returns a summary of the Core's state as of now.
func (c *Core) Status(now time.Duration) Status {
	status := Status{Synced: c.state != nil, Stale: c.stale(now), IdempotencyKeys: len(c.pinsByKey)}
	if c.state != nil {
		status.Revision = c.state.Revision()
		status.Versions = len(c.state.Versions())
		status.Aliases = len(c.state.Aliases())
	}
	return status
}

// stale reports whether the registry has never responded, or not within Config.StaleAfter.
func (c *Core) stale(now time.Duration) bool {
	return !c.contacted || now-c.lastContact > c.config.StaleAfter
}

// Digests returns the sorted digests that versions refer to, for callers that keep copies of the contents.
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
