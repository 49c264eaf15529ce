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

// TestGoldenDecisions plays seeded random events to a core and holds all that it decides: its actions, the time
// that it is next due, and how calls are resolved. The texts of warnings are left out, their number is not.
func TestGoldenDecisions(t *testing.T) {
	const want = "cc07ca2362c4a37acca684672252743998356a3d3a414c4e2fdbf22fbe7f6ee0"
	sum := sha256.New()
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 11))
		cfg := DefaultConfig
		cfg.MaxFirstAttempts = 5
		c := New(cfg)
		now, rev := time.Duration(0), uint64(5)
		for range 300 {
			now += time.Duration(rng.IntN(3000)) * time.Millisecond
			var events []any
			for range rng.IntN(3) {
				events = append(events, goldenEvent(rng, &rev))
			}
			goldenActions(sum, c.Step(now, events))
			due, ok := c.NextDeadline()
			sum.Write(fmt.Appendln(nil, int64(due), ok))
			goldenResolve(sum, rng, c, now)
		}
	}
	if got := hex.EncodeToString(sum.Sum(nil)); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

// goldenEvent draws an event near the registry's present revision, which it moves on.
func goldenEvent(rng *rand.Rand, rev *uint64) any {
	to := []string{"1", "2"}[rng.IntN(2)]
	switch rng.IntN(10) {
	case 0:
		return SnapshotLoaded{listingAt(*rev, to)}
	case 1:
		return ListReceived{listingAt(*rev-uint64(rng.IntN(2)), to)}
	case 2:
		l := listingAt(*rev, to)
		delete(l.Versions, versionRef("1"))
		return ListReceived{l}
	case 3:
		return RequestFailed{errors.New("cut")}
	case 4:
		return RequestFailed{registry.ErrCompacted}
	case 5:
		if rng.IntN(4) == 0 {
			l := listingAt(*rev, to)
			l.Versions[versionRef("2")] = content(byte(3 + rng.IntN(2)))
			return ListReceived{l}
		}
		return RevisionsReceived{}
	default:
		*rev += uint64(1 + rng.IntN(10)/9)
		return RevisionsReceived{[]registry.Revision{moveRevision(*rev-1, "1"), moveRevision(*rev, to)}}
	}
}

func goldenActions(sum hash.Hash, actions []any) {
	for _, a := range actions {
		switch a := a.(type) {
		case List:
			sum.Write(fmt.Appendln(nil, "L"))
		case Watch:
			sum.Write(fmt.Appendln(nil, "W", a.After))
		case SaveSnapshot:
			sum.Write(fmt.Appendln(nil, "S", a.Revision, len(a.Versions), a.Aliases[currentAlias].String()))
		case LogWarning:
			sum.Write(fmt.Appendln(nil, "!"))
		}
	}
}

func goldenResolve(sum hash.Hash, rng *rand.Rand, c *Core, now time.Duration) {
	show := func(p Pin, err error) {
		outcome := 0
		for i, sentinel := range []error{ErrNotSynced, ErrNotFound, ErrVersionRemoved} {
			if errors.Is(err, sentinel) {
				outcome = i + 1
			}
		}
		sum.Write(fmt.Appendln(nil, outcome, p.VersionRef.String(), p.Digest.String(), p.Size, p.Revision, p.Stale))
	}
	show(c.ResolveAlias(now, currentAlias))
	show(c.ResolveVersion(now, versionRef(fmt.Sprint(rng.IntN(4)))))
	key := fmt.Sprint("k", rng.IntN(8))
	window := time.Duration(rng.IntN(40)) * time.Second
	if told := versionRef(fmt.Sprint(rng.IntN(4))); rng.IntN(4) == 0 {
		show(c.ResolveIdempotent(now, key, window, currentAlias, &told))
	} else {
		show(c.ResolveIdempotent(now, key, window, currentAlias, nil))
	}
	s := c.Status(now)
	sum.Write(fmt.Appendln(nil, s.Synced, s.Revision, s.Versions, s.Aliases, s.Stale, s.FirstAttempts, len(c.Digests())))
}
