package catalog

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/topazfront/topazfront/internal/registry"
)

var currentAlias = registry.AliasRef{Plan: "p", Alias: "current"}

func versionRef(v string) registry.VersionRef { return registry.VersionRef{Plugin: "q", Version: v} }

func content(b byte) registry.Content { return registry.Content{Digest: registry.Digest{b}, Size: 1} }

// listing has versions 1 and 2, and the alias at the given one.
func listingAt(rev uint64, at string) Listing {
	return Listing{Revision: rev, Versions: map[registry.VersionRef]registry.Content{versionRef("1"): content(1), versionRef("2"): content(2)},
		Aliases: map[registry.AliasRef]registry.VersionRef{currentAlias: versionRef(at)}}
}

func moveRevision(n uint64, to string) registry.Revision {
	return registry.Revision{Number: n, Changes: []registry.Change{registry.MoveAlias{AliasRef: currentAlias, Target: versionRef(to)}}}
}

func findAction[T any](out []any) (v T, n int) {
	for _, a := range out {
		if x, ok := a.(T); ok {
			v = x
			n++
		}
	}
	return v, n
}

func warningText(out []any) string {
	w, _ := findAction[LogWarning](out)
	return w.Message
}

// following is a core that has listed revision 5 and watches.
func watchingCore(t *testing.T) *Core {
	t.Helper()
	c := New(DefaultConfig)
	if _, n := findAction[List](c.Step(0, nil)); n != 1 {
		t.Fatal("nothing was asked for")
	}
	if w, n := findAction[Watch](c.Step(0, []any{ListReceived{listingAt(5, "1")}})); n != 1 || w.After != 5 {
		t.Fatalf("watch after %d", w.After)
	}
	return c
}

func TestACallKeepsItsVersion(t *testing.T) {
	c := watchingCore(t)
	first, err := c.ResolveAlias(time.Second, currentAlias)
	if err != nil || first.VersionRef != versionRef("1") || first.Content != content(1) || first.Stale {
		t.Fatalf("%+v, %v", first, err)
	}
	c.Step(2*time.Second, []any{RevisionsReceived{[]registry.Revision{moveRevision(6, "2"), moveRevision(7, "1"), moveRevision(8, "2")}}})
	if next, err := c.ResolveAlias(2*time.Second, currentAlias); err != nil || next.VersionRef != versionRef("2") || next.Revision != 8 {
		t.Errorf("%+v, %v", next, err)
	}
	if first.Digest != content(1).Digest {
		t.Error("a pin moved")
	}
}

// TestMissingStaleAndFromDisk: what is not known is not guessed; what was known is served and says that it is old.
func TestMissingStaleAndFromDisk(t *testing.T) {
	c := New(DefaultConfig)
	if _, err := c.ResolveAlias(0, currentAlias); !errors.Is(err, ErrNotSynced) {
		t.Error(err)
	}
	if _, err := c.ResolveIdempotent(0, "k", time.Second, currentAlias, nil); !errors.Is(err, ErrNotSynced) {
		t.Error(err)
	}
	out := c.Step(0, []any{SnapshotLoaded{listingAt(5, "1")}})
	if w, n := findAction[Watch](out); n != 1 || w.After != 5 {
		t.Errorf("after a snapshot: %v", out)
	}
	if p, err := c.ResolveAlias(0, currentAlias); err != nil || !p.Stale {
		t.Errorf("%+v, %v", p, err)
	}
	c.Step(time.Second, []any{RevisionsReceived{}})
	if p, err := c.ResolveAlias(time.Second, currentAlias); err != nil || p.Stale {
		t.Errorf("%+v, %v", p, err)
	}
	if p, err := c.ResolveAlias(20*time.Second, currentAlias); err != nil || !p.Stale {
		t.Errorf("%+v, %v", p, err)
	}
	if _, err := c.ResolveAlias(0, registry.AliasRef{Plan: "x", Alias: "current"}); !errors.Is(err, ErrNotFound) {
		t.Error(err)
	}
}

// TestWatchTroubles: cut, told twice, with a gap, compacted, run back, contradictory.
func TestWatchTroubles(t *testing.T) {
	t.Run("cut", func(t *testing.T) {
		c := watchingCore(t)
		var asked []time.Duration
		for now := time.Duration(0); now < time.Minute; now += 50 * time.Millisecond {
			if _, n := findAction[Watch](c.Step(now, []any{RequestFailed{errors.New("cut")}})); n > 0 {
				asked = append(asked, now)
			}
		}
		if len(asked) < 6 || len(asked) > 16 || asked[len(asked)-1]-asked[len(asked)-2] < 9*time.Second {
			t.Errorf("asked again at %v", asked)
		}
	})
	t.Run("told twice", func(t *testing.T) {
		c := watchingCore(t)
		out := c.Step(1, []any{RevisionsReceived{[]registry.Revision{moveRevision(6, "2")}}, RevisionsReceived{[]registry.Revision{moveRevision(6, "2"), moveRevision(7, "1")}}})
		if p, _ := c.ResolveAlias(1, currentAlias); p.Revision != 7 || p.VersionRef != versionRef("1") || warningText(out) != "" {
			t.Errorf("%+v, %v", p, out)
		}
	})
	t.Run("a gap", func(t *testing.T) {
		c := watchingCore(t)
		out := c.Step(1, []any{RevisionsReceived{[]registry.Revision{moveRevision(7, "2")}}})
		if _, n := findAction[List](out); n != 1 || !strings.Contains(warningText(out), "revision 7 after 5") {
			t.Errorf("%v", out)
		}
		if p, _ := c.ResolveAlias(1, currentAlias); p.VersionRef != versionRef("1") {
			t.Errorf("%+v", p)
		}
	})
	t.Run("compacted", func(t *testing.T) {
		c := watchingCore(t)
		out := c.Step(1, []any{RequestFailed{fmt.Errorf("watch: %w", registry.ErrCompacted)}})
		if _, n := findAction[List](out); n != 1 {
			t.Fatalf("%v", out)
		}
		out = c.Step(2, []any{ListReceived{listingAt(400, "2")}})
		if w, _ := findAction[Watch](out); w.After != 400 || warningText(out) != "" {
			t.Errorf("%v", out)
		}
	})
	t.Run("run back", func(t *testing.T) {
		c := watchingCore(t)
		out := c.Step(1, []any{RequestFailed{registry.ErrFutureRevision}})
		if _, n := findAction[List](out); n != 1 || !strings.Contains(warningText(out), "backup") {
			t.Fatalf("%v", out)
		}
		out = c.Step(2, []any{ListReceived{listingAt(2, "2")}})
		if p, _ := c.ResolveAlias(2, currentAlias); p.Revision != 2 || p.VersionRef != versionRef("2") || !strings.Contains(warningText(out), "from 5 to 2") {
			t.Errorf("%+v, %v", p, out)
		}
	})
	t.Run("contradictory", func(t *testing.T) {
		c := watchingCore(t)
		l := listingAt(9, "1")
		l.Versions[versionRef("1")] = content(7)
		c.Step(1, []any{RequestFailed{registry.ErrCompacted}})
		if out := c.Step(2, []any{ListReceived{l}}); !strings.Contains(warningText(out), "q:1 was") {
			t.Errorf("%v", out)
		}
		l = listingAt(10, "1")
		delete(l.Versions, versionRef("1"))
		c.Step(3, []any{RequestFailed{registry.ErrCompacted}})
		if out := c.Step(4, []any{ListReceived{l}}); !strings.Contains(warningText(out), "refused") {
			t.Errorf("an alias of nothing: %v", out)
		}
		if p, err := c.ResolveAlias(4, currentAlias); err != nil || p.Revision != 9 {
			t.Errorf("%+v, %v", p, err)
		}
	})
}

// TestKeyedRepeats go to the version of the first try, or are failed.
func TestKeyedRepeats(t *testing.T) {
	c := watchingCore(t)
	first, err := c.ResolveIdempotent(0, "k", 6*time.Second, currentAlias, nil)
	if err != nil {
		t.Fatal(err)
	}
	c.Step(time.Second, []any{RevisionsReceived{[]registry.Revision{moveRevision(6, "2")}}})
	if p, err := c.ResolveIdempotent(2*time.Second, "k", 6*time.Second, currentAlias, nil); err != nil || p.VersionRef != first.VersionRef || p.Content != first.Content {
		t.Errorf("a repeat: %+v, %v", p, err)
	}
	if p, err := c.ResolveIdempotent(2*time.Second, "other", 6*time.Second, currentAlias, nil); err != nil || p.VersionRef != versionRef("2") {
		t.Errorf("another key: %+v, %v", p, err)
	}
	told := versionRef("1") // at a router that never saw the first try
	if p, err := c.ResolveIdempotent(2*time.Second, "elsewhere", 6*time.Second, currentAlias, &told); err != nil || p.VersionRef != told {
		t.Errorf("told by the client: %+v, %v", p, err)
	}
	c.Step(3*time.Second, []any{RevisionsReceived{[]registry.Revision{{Number: 7, Changes: []registry.Change{registry.DeleteVersion{VersionRef: versionRef("1")}}}}}})
	for _, told := range []*registry.VersionRef{nil, &told} {
		if _, err := c.ResolveIdempotent(4*time.Second, "k", 6*time.Second, currentAlias, told); !errors.Is(err, ErrVersionRemoved) {
			t.Errorf("a repeat whose version is gone: %v", err)
		}
	}
	if p, err := c.ResolveIdempotent(7*time.Second, "k", 6*time.Second, currentAlias, nil); err != nil || p.VersionRef != versionRef("2") {
		t.Errorf("after the window: %+v, %v", p, err)
	}
	few := DefaultConfig
	few.MaxFirstAttempts = 10
	c = New(few)
	c.Step(0, []any{SnapshotLoaded{listingAt(5, "1")}})
	for i := range 1000 {
		_, _ = c.ResolveIdempotent(time.Duration(i), fmt.Sprint(i), time.Hour, currentAlias, nil)
	}
	if n := c.Status(0).FirstAttempts; n != 10 {
		t.Errorf("%d first tries kept", n)
	}
	if c.Step(3*time.Hour, nil); c.Status(3*time.Hour).FirstAttempts != 0 {
		t.Error("first tries kept for ever")
	}
}

// TestAnyWatchEndsAtTheRegistrysState is a property: with revisions delayed, told twice, cut off, compacted, the
// catalog holds the registry's state once word comes through again, and is never asked for twice at once.
func TestAnyWatchEndsAtTheRegistrysState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reg := registry.NewState(4)
		apply := func(changes ...registry.Change) {
			if rev, err := reg.Prepare(changes); err == nil && rev != nil {
				if err := reg.Apply(*rev); err != nil {
					t.Fatal(err)
				}
			}
		}
		apply(registry.PushVersion{VersionRef: versionRef("1"), Content: content(1)}, registry.PushVersion{VersionRef: versionRef("2"), Content: content(2)},
			registry.MoveAlias{AliasRef: currentAlias, Target: versionRef("1")})
		list := func() Listing {
			l := Listing{Revision: reg.Revision(), Versions: map[registry.VersionRef]registry.Content{}, Aliases: map[registry.AliasRef]registry.VersionRef{}}
			for _, r := range reg.Versions() {
				l.Versions[r], _ = reg.Version(r)
			}
			for _, p := range reg.Aliases() {
				l.Aliases[p], _ = reg.Alias(p)
			}
			return l
		}
		c, now := New(DefaultConfig), time.Duration(0)
		var asked any
		after := uint64(0)
		step := func(events ...any) {
			for _, a := range c.Step(now, events) {
				switch a := a.(type) {
				case List:
					asked = a
				case Watch:
					asked, after = a, a.After
				}
			}
		}
		answer := func() {
			switch asked.(type) {
			case List:
				asked = nil
				step(ListReceived{list()})
			case Watch:
				revs, err := reg.RevisionsAfter(after)
				if err != nil {
					asked = nil
					step(RequestFailed{err})
					return
				}
				step(RevisionsReceived{revs})
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 4).Draw(t, "op") {
			case 0, 1:
				apply(registry.MoveAlias{AliasRef: currentAlias, Target: versionRef(rapid.SampledFrom([]string{"1", "2"}).Draw(t, "to"))})
			case 2:
				answer()
			case 3:
				if asked != nil {
					asked = nil
					step(RequestFailed{errors.New("cut")})
				}
			default:
				step()
			}
		}
		for range 12 {
			now += 11 * time.Second
			step()
			answer()
		}
		want, _ := reg.Alias(currentAlias)
		if got, err := c.ResolveAlias(now, currentAlias); err != nil || got.VersionRef != want || got.Revision != reg.Revision() || got.Stale {
			t.Fatalf("%+v, %v; the registry is at %d with %s", got, err, reg.Revision(), want)
		}
	})
}
