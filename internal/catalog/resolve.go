package catalog

import (
	"errors"
	"fmt"
	"time"

	"github.com/topazfront/topazfront/internal/registry"
)

// Errors of the Resolve methods. They are returned wrapped with details; test for them with errors.Is.
var (
	// ErrNotSynced reports that neither a listing nor a snapshot has been received.
	ErrNotSynced = errors.New("catalog: not synced with the registry yet")
	// ErrNotFound reports that an alias or version is not in the registry.
	ErrNotFound = errors.New("catalog: no such alias or version")
	// ErrVersionRemoved rejects a repeated call if the version of the first call no longer exists.
	ErrVersionRemoved = errors.New("catalog: the version of the first call was removed")
)

// Pin is the version and content that all attempts of a call run.
type Pin struct {
	registry.VersionRef
	registry.Content
	Revision uint64 // revision of the catalog when the call was pinned
	Stale    bool   // the registry had not responded within Config.StaleAfter, or never
}

// rememberedPin is the pin of the first call with an idempotency key.
type rememberedPin struct {
	pin       Pin
	expiresAt time.Duration
}

// ResolveAlias pins a call to the version that its plan's alias points at. It must be called once for each call. It
// fails with ErrNotSynced or ErrNotFound.
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

// ResolveVersion pins a call that specifies its version. It fails with ErrNotSynced or ErrNotFound.
func (c *Core) ResolveVersion(now time.Duration, version registry.VersionRef) (Pin, error) {
	if c.state == nil {
		return Pin{}, ErrNotSynced
	}
	return c.pin(now, version)
}

// pin returns the pin of a call to a version. The Core is synced.
func (c *Core) pin(now time.Duration, version registry.VersionRef) (Pin, error) {
	content, ok := c.state.Version(version)
	if !ok {
		return Pin{}, fmt.Errorf("%w: %s", ErrNotFound, version)
	}
	return Pin{VersionRef: version, Content: content, Revision: c.state.Revision(), Stale: c.stale(now)}, nil
}

// ResolveIdempotent pins a call that is deduplicated by an idempotency key within a window. A repeated call with the
// key gets the version of the first call at this router. It fails with ErrVersionRemoved if that version was
// removed or has different content, because another version would not recognize the call as repeated.
//
// clientVersion, if not nil, is the version that the client reports from the response to its first call. It takes
// precedence over the pin that this router remembers, so that a call repeated at another router gets the same version.
// If there is neither, the call counts as the first one and fails with the same errors as ResolveAlias.
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
			return Pin{}, fmt.Errorf("%w: %s has different content", ErrVersionRemoved, version)
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

// pinRepeatedCall pins a repeated call to the version of the first call.
func (c *Core) pinRepeatedCall(now time.Duration, version registry.VersionRef) (Pin, error) {
	pin, err := c.pin(now, version)
	if errors.Is(err, ErrNotFound) {
		return Pin{}, fmt.Errorf("%w: %s", ErrVersionRemoved, version)
	}
	return pin, err
}

// rememberPin stores the pin of a first call until the window ends. To bound memory it evicts the oldest pin when there
// are too many; calls repeated after that get the same version only if the client reports it.
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

// expirePins deletes pins, starting with the oldest, up to the first one whose window has not ended.
func (c *Core) expirePins() {
	for len(c.keyOrder) > 0 && c.pinsByKey[c.keyOrder[0]].expiresAt <= c.now {
		c.evictOldestPin()
	}
}

// evictOldestPin deletes the pin that was stored first.
func (c *Core) evictOldestPin() {
	delete(c.pinsByKey, c.keyOrder[0])
	c.keyOrder = c.keyOrder[1:]
}
