package catalog

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"hash"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/topazfront/topazfront/internal/registry"
)

// TestGoldenDecisions passes seeded random events to a core and compares a hash of its results with the recorded value:
// its actions, its next deadline and the pins of calls. The hash includes the number of warnings but not their texts.
func TestGoldenDecisions(t *testing.T) {
	const want = "cc07ca2362c4a37acca684672252743998356a3d3a414c4e2fdbf22fbe7f6ee0"
	sum := sha256.New()
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 11))
		config := DefaultConfig
		config.MaxIdempotencyKeys = 5
		c := New(config)
		now, revision := time.Duration(0), uint64(5)
		for range 300 {
			now += time.Duration(rng.IntN(3000)) * time.Millisecond
			var events []Event
			for range rng.IntN(3) {
				events = append(events, randomEvent(rng, &revision))
			}
			hashActions(sum, c.Step(now, events))
			deadline, ok := c.NextDeadline()
			sum.Write(fmt.Appendln(nil, int64(deadline), ok))
			hashResolutions(sum, rng, c, now)
		}
	}
	if got := hex.EncodeToString(sum.Sum(nil)); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

// randomEvent returns a random event at or near the registry's current revision, and may advance that revision.
func randomEvent(rng *rand.Rand, revision *uint64) Event {
	target := []string{"1", "2"}[rng.IntN(2)]
	switch rng.IntN(10) {
	case 0:
		return SnapshotLoaded{listingAt(*revision, target)}
	case 1:
		return ListReceived{listingAt(*revision-uint64(rng.IntN(2)), target)}
	case 2:
		listing := listingAt(*revision, target)
		delete(listing.Versions, versionRef("1"))
		return ListReceived{listing}
	case 3:
		return RequestFailed{errors.New("cut")}
	case 4:
		return RequestFailed{registry.ErrCompacted}
	case 5:
		if rng.IntN(4) == 0 {
			listing := listingAt(*revision, target)
			listing.Versions[versionRef("2")] = content(byte(3 + rng.IntN(2)))
			return ListReceived{listing}
		}
		return RevisionsReceived{}
	default:
		*revision += uint64(1 + rng.IntN(10)/9)
		return RevisionsReceived{[]registry.Revision{moveRevision(*revision-1, "1"), moveRevision(*revision, target)}}
	}
}

// hashActions adds actions to a hash.
func hashActions(sum hash.Hash, actions []Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case List:
			sum.Write(fmt.Appendln(nil, "L"))
		case Watch:
			sum.Write(fmt.Appendln(nil, "W", action.After))
		case SaveSnapshot:
			sum.Write(fmt.Appendln(nil, "S", action.Revision, len(action.Versions),
				action.Aliases[currentAlias].String()))
		case LogWarning:
			sum.Write(fmt.Appendln(nil, "!"))
		}
	}
}

// hashResolutions adds the results of resolving random names, and the status, to a hash.
func hashResolutions(sum hash.Hash, rng *rand.Rand, c *Core, now time.Duration) {
	hashPin := func(pin Pin, err error) {
		outcome := 0
		for i, sentinel := range []error{ErrNotSynced, ErrNotFound, ErrVersionRemoved} {
			if errors.Is(err, sentinel) {
				outcome = i + 1
			}
		}
		sum.Write(fmt.Appendln(nil, outcome, pin.String(), pin.Digest.String(), pin.Size, pin.Revision, pin.Stale))
	}
	hashPin(c.ResolveAlias(now, currentAlias))
	hashPin(c.ResolveVersion(now, versionRef(fmt.Sprint(rng.IntN(4)))))
	key := fmt.Sprint("k", rng.IntN(8))
	window := time.Duration(rng.IntN(40)) * time.Second
	if clientVersion := versionRef(fmt.Sprint(rng.IntN(4))); rng.IntN(4) == 0 {
		hashPin(c.ResolveIdempotent(now, key, window, currentAlias, &clientVersion))
	} else {
		hashPin(c.ResolveIdempotent(now, key, window, currentAlias, nil))
	}
	status := c.Status(now)
	sum.Write(fmt.Appendln(nil, status.Synced, status.Revision, status.Versions, status.Aliases,
		status.Stale, status.IdempotencyKeys, len(c.Digests())))
}
