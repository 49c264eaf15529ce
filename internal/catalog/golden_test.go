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
		cfg := Defaults
		cfg.KeyedMost = 5
		c := New(cfg)
		now, rev := time.Duration(0), uint64(5)
		for range 300 {
			now += time.Duration(rng.IntN(3000)) * time.Millisecond
			var events []any
			for range rng.IntN(3) {
				events = append(events, goldenEvent(rng, &rev))
			}
			goldenActions(sum, c.Step(now, events))
			due, ok := c.Due()
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
		return Snapshot{listing(*rev, to)}
	case 1:
		return Listed{listing(*rev-uint64(rng.IntN(2)), to)}
	case 2:
		l := listing(*rev, to)
		delete(l.Versions, ref("1"))
		return Listed{l}
	case 3:
		return Broke{errors.New("cut")}
	case 4:
		return Broke{registry.ErrCompacted}
	case 5:
		if rng.IntN(4) == 0 {
			l := listing(*rev, to)
			l.Versions[ref("2")] = content(byte(3 + rng.IntN(2)))
			return Listed{l}
		}
		return Revised{}
	default:
		*rev += uint64(1 + rng.IntN(10)/9)
		return Revised{[]registry.Revision{move(*rev-1, "1"), move(*rev, to)}}
	}
}

func goldenActions(sum hash.Hash, actions []any) {
	for _, a := range actions {
		switch a := a.(type) {
		case List:
			sum.Write(fmt.Appendln(nil, "L"))
		case Watch:
			sum.Write(fmt.Appendln(nil, "W", a.After))
		case Save:
			sum.Write(fmt.Appendln(nil, "S", a.Revision, len(a.Versions), a.Aliases[place].String()))
		case Warn:
			sum.Write(fmt.Appendln(nil, "!"))
		}
	}
}

func goldenResolve(sum hash.Hash, rng *rand.Rand, c *Core, now time.Duration) {
	show := func(p Pin, err error) {
		outcome := 0
		for i, sentinel := range []error{ErrMissing, ErrNotFound, ErrGone} {
			if errors.Is(err, sentinel) {
				outcome = i + 1
			}
		}
		sum.Write(fmt.Appendln(nil, outcome, p.Ref.String(), p.Digest.String(), p.Size, p.Revision, p.Stale))
	}
	show(c.Resolve(now, place))
	show(c.Named(now, ref(fmt.Sprint(rng.IntN(4)))))
	key := fmt.Sprint("k", rng.IntN(8))
	window := time.Duration(rng.IntN(40)) * time.Second
	if told := ref(fmt.Sprint(rng.IntN(4))); rng.IntN(4) == 0 {
		show(c.Keyed(now, key, window, place, &told))
	} else {
		show(c.Keyed(now, key, window, place, nil))
	}
	s := c.Status(now)
	sum.Write(fmt.Appendln(nil, s.Known, s.Revision, s.Versions, s.Aliases, s.Stale, s.Keyed, len(c.Digests())))
}
