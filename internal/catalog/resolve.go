package catalog

import (
	"errors"
	"fmt"
	"time"

	"github.com/topazfront/topazfront/internal/registry"
)

// Errors of resolving. They are wrapped with details; compare them with errors.Is.
var (
	// ErrNotSynced reports that neither a listing nor a snapshot has been received.
	ErrNotSynced = errors.New("catalog: nothing is known of the registry yet")
	// ErrNotFound reports an alias or version that the registry does not hold.
	ErrNotFound = errors.New("catalog: no such alias or version")
	// ErrVersionRemoved rejects a repeated call whose first attempt ran a version that no longer exists.
	ErrVersionRemoved = errors.New("catalog: the version of the first attempt is removed")
)

// Pin is the version and content that a call runs, in all its attempts.
type Pin struct {
	registry.VersionRef
	registry.Content
	Revision uint64 // of the catalog when the call was pinned
	Stale    bool   // the registry had not answered for Config.StaleAfter, or never
}

// rememberedPin remembers what the first attempt under an idempotency key was pinned to.
type rememberedPin struct {
	pin       Pin
	expiresAt time.Duration
}

// ResolveAlias pins a call to the version that its plan's alias points at. It is called once for each call. The
// errors are ErrNotSynced and ErrNotFound.
func (c *Core) ResolveAlias(now time.Duration, alias registry.AliasRef) (Pin, error) {
	if c.state == nil {
		return Pin{}, ErrNotSynced
	}
	target, ok := c.state.Alias(alias)
	if !ok {
		return Pin{}, fmt.Errorf("%w: %s", ErrNotFound, alias)
	}
	return c.pin(now, target)
}

// ResolveVersion pins a call that names its version. The errors are ErrNotSynced and ErrNotFound.
func (c *Core) ResolveVersion(now time.Duration, version registry.VersionRef) (Pin, error) {
	if c.state == nil {
		return Pin{}, ErrNotSynced
	}
	return c.pin(now, version)
}

func (c *Core) pin(now time.Duration, version registry.VersionRef) (Pin, error) {
	content, ok := c.state.Version(version)
	if !ok {
		return Pin{}, fmt.Errorf("%w: %s", ErrNotFound, version)
	}
	return Pin{VersionRef: version, Content: content, Revision: c.state.Revision(), Stale: c.stale(now)}, nil
}

// ResolveIdempotent pins a call whose repeats within a deduplication window are dropped by its idempotency key. A
// repeat gets the version of the first attempt at this router. Where that version is gone or has other content the
// error is ErrVersionRemoved: the call must fail, since another version would not know it for a repeat.
//
// clientVersion is nil or the version that the client reports from the answer to its first attempt. It takes
// precedence over what this router remembers, so that a repeat at another router finds the version too. Where neither
// is known the call counts as a first attempt, and the errors of ResolveAlias apply.
func (c *Core) ResolveIdempotent(now time.Duration, key string, window time.Duration, alias registry.AliasRef,
	clientVersion *registry.VersionRef) (Pin, error) {
	if c.state == nil {
		return Pin{}, ErrNotSynced
	}
	if clientVersion != nil {
		return c.pinRepeatedCall(now, *clientVersion)
	}
	if first := c.pinsByKey[key]; first != nil && now < first.expiresAt {
		version := first.pin.VersionRef
		if content, ok := c.state.Version(version); ok && content != first.pin.Content {
			return Pin{}, fmt.Errorf("%w: %s has other content", ErrVersionRemoved, version)
		}
		return c.pinRepeatedCall(now, version)
	}
	pin, err := c.ResolveAlias(now, alias)
	if err != nil {
		return Pin{}, err
	}
	c.rememberPin(now, key, window, pin)
	return pin, nil
}

// pinRepeatedCall pins a repeat to the version of its first attempt.
func (c *Core) pinRepeatedCall(now time.Duration, version registry.VersionRef) (Pin, error) {
	pin, err := c.pin(now, version)
	if errors.Is(err, ErrNotFound) {
		return Pin{}, fmt.Errorf("%w: %s", ErrVersionRemoved, version)
	}
	return pin, err
}

// rememberPin remembers a first attempt until the window has passed. Memory is bounded: the oldest entry is
// evicted, and its repeats get their version only where the client reports it.
func (c *Core) rememberPin(now time.Duration, key string, window time.Duration, pin Pin) {
	if first := c.pinsByKey[key]; first != nil {
		first.pin, first.expiresAt = pin, now+window
		return
	}
	if len(c.keyOrder) >= c.config.MaxIdempotencyKeys {
		c.evictOldestPin()
	}
	c.pinsByKey[key] = &rememberedPin{pin, now + window}
	c.keyOrder = append(c.keyOrder, key)
}

// expirePins forgets first attempts from the oldest on, up to one whose window has not passed.
func (c *Core) expirePins() {
	for len(c.keyOrder) > 0 && c.pinsByKey[c.keyOrder[0]].expiresAt <= c.now {
		c.evictOldestPin()
	}
}

func (c *Core) evictOldestPin() {
	delete(c.pinsByKey, c.keyOrder[0])
	c.keyOrder = c.keyOrder[1:]
}
