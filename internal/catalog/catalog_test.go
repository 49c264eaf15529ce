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

var place = registry.Place{Plan: "p", Alias: "current"}

func ref(v string) registry.Ref { return registry.Ref{Plugin: "q", Version: v} }

func content(b byte) registry.Content { return registry.Content{Digest: registry.Digest{b}, Size: 1} }

// listing has versions 1 and 2, and the alias at the given one.
func listing(rev uint64, at string) Listing {
	return Listing{Revision: rev, Versions: map[registry.Ref]registry.Content{ref("1"): content(1), ref("2"): content(2)},
		Aliases: map[registry.Place]registry.Ref{place: ref(at)}}
}

func move(n uint64, to string) registry.Revision {
	return registry.Revision{Number: n, Changes: []registry.Change{registry.Move{Place: place, To: ref(to)}}}
}

func has[T any](out []any) (v T, n int) {
	for _, a := range out {
		if x, ok := a.(T); ok {
			v = x
			n++
		}
	}
	return v, n
}

func warned(out []any) string {
	w, _ := has[Warn](out)
	return w.Text
}

// following is a core that has listed revision 5 and watches.
func following(t *testing.T) *Core {
	t.Helper()
	c := New(Defaults)
	if _, n := has[List](c.Step(0, nil)); n != 1 {
		t.Fatal("nothing was asked for")
	}
	if w, n := has[Watch](c.Step(0, []any{Listed{listing(5, "1")}})); n != 1 || w.After != 5 {
		t.Fatalf("watch after %d", w.After)
	}
	return c
}

func TestACallKeepsItsVersion(t *testing.T) {
	c := following(t)
	first, err := c.Resolve(time.Second, place)
	if err != nil || first.Ref != ref("1") || first.Content != content(1) || first.Stale {
		t.Fatalf("%+v, %v", first, err)
	}
	c.Step(2*time.Second, []any{Revised{[]registry.Revision{move(6, "2"), move(7, "1"), move(8, "2")}}})
	if next, err := c.Resolve(2*time.Second, place); err != nil || next.Ref != ref("2") || next.Revision != 8 {
		t.Errorf("%+v, %v", next, err)
	}
	if first.Digest != content(1).Digest {
		t.Error("a pin moved")
	}
}

// TestMissingStaleAndFromDisk: what is not known is not guessed; what was known is served and says that it is old.
func TestMissingStaleAndFromDisk(t *testing.T) {
	c := New(Defaults)
	if _, err := c.Resolve(0, place); !errors.Is(err, ErrMissing) {
		t.Error(err)
	}
	if _, err := c.Keyed(0, "k", time.Second, place, nil); !errors.Is(err, ErrMissing) {
		t.Error(err)
	}
	out := c.Step(0, []any{Snapshot{listing(5, "1")}})
	if w, n := has[Watch](out); n != 1 || w.After != 5 {
		t.Errorf("after a snapshot: %v", out)
	}
	if p, err := c.Resolve(0, place); err != nil || !p.Stale {
		t.Errorf("%+v, %v", p, err)
	}
	c.Step(time.Second, []any{Revised{}})
	if p, err := c.Resolve(time.Second, place); err != nil || p.Stale {
		t.Errorf("%+v, %v", p, err)
	}
	if p, err := c.Resolve(20*time.Second, place); err != nil || !p.Stale {
		t.Errorf("%+v, %v", p, err)
	}
	if _, err := c.Resolve(0, registry.Place{Plan: "x", Alias: "current"}); !errors.Is(err, ErrNotFound) {
		t.Error(err)
	}
}

// TestWatchTroubles: cut, told twice, with a gap, compacted, run back, contradictory.
func TestWatchTroubles(t *testing.T) {
	t.Run("cut", func(t *testing.T) {
		c := following(t)
		var asked []time.Duration
		for now := time.Duration(0); now < time.Minute; now += 50 * time.Millisecond {
			if _, n := has[Watch](c.Step(now, []any{Broke{errors.New("cut")}})); n > 0 {
				asked = append(asked, now)
			}
		}
		if len(asked) < 6 || len(asked) > 16 || asked[len(asked)-1]-asked[len(asked)-2] < 9*time.Second {
			t.Errorf("asked again at %v", asked)
		}
	})
	t.Run("told twice", func(t *testing.T) {
		c := following(t)
		out := c.Step(1, []any{Revised{[]registry.Revision{move(6, "2")}}, Revised{[]registry.Revision{move(6, "2"), move(7, "1")}}})
		if p, _ := c.Resolve(1, place); p.Revision != 7 || p.Ref != ref("1") || warned(out) != "" {
			t.Errorf("%+v, %v", p, out)
		}
	})
	t.Run("a gap", func(t *testing.T) {
		c := following(t)
		out := c.Step(1, []any{Revised{[]registry.Revision{move(7, "2")}}})
		if _, n := has[List](out); n != 1 || !strings.Contains(warned(out), "revision 7 after 5") {
			t.Errorf("%v", out)
		}
		if p, _ := c.Resolve(1, place); p.Ref != ref("1") {
			t.Errorf("%+v", p)
		}
	})
	t.Run("compacted", func(t *testing.T) {
		c := following(t)
		out := c.Step(1, []any{Broke{fmt.Errorf("watch: %w", registry.ErrCompacted)}})
		if _, n := has[List](out); n != 1 {
			t.Fatalf("%v", out)
		}
		out = c.Step(2, []any{Listed{listing(400, "2")}})
		if w, _ := has[Watch](out); w.After != 400 || warned(out) != "" {
			t.Errorf("%v", out)
		}
	})
	t.Run("run back", func(t *testing.T) {
		c := following(t)
		out := c.Step(1, []any{Broke{registry.ErrFuture}})
		if _, n := has[List](out); n != 1 || !strings.Contains(warned(out), "backup") {
			t.Fatalf("%v", out)
		}
		out = c.Step(2, []any{Listed{listing(2, "2")}})
		if p, _ := c.Resolve(2, place); p.Revision != 2 || p.Ref != ref("2") || !strings.Contains(warned(out), "from 5 to 2") {
			t.Errorf("%+v, %v", p, out)
		}
	})
	t.Run("contradictory", func(t *testing.T) {
		c := following(t)
		l := listing(9, "1")
		l.Versions[ref("1")] = content(7)
		c.Step(1, []any{Broke{registry.ErrCompacted}})
		if out := c.Step(2, []any{Listed{l}}); !strings.Contains(warned(out), "q:1 was") {
			t.Errorf("%v", out)
		}
		l = listing(10, "1")
		delete(l.Versions, ref("1"))
		c.Step(3, []any{Broke{registry.ErrCompacted}})
		if out := c.Step(4, []any{Listed{l}}); !strings.Contains(warned(out), "refused") {
			t.Errorf("an alias of nothing: %v", out)
		}
		if p, err := c.Resolve(4, place); err != nil || p.Revision != 9 {
			t.Errorf("%+v, %v", p, err)
		}
	})
}

// TestKeyedRepeats go to the version of the first try, or are failed.
func TestKeyedRepeats(t *testing.T) {
	c := following(t)
	first, err := c.Keyed(0, "k", 6*time.Second, place, nil)
	if err != nil {
		t.Fatal(err)
	}
	c.Step(time.Second, []any{Revised{[]registry.Revision{move(6, "2")}}})
	if p, err := c.Keyed(2*time.Second, "k", 6*time.Second, place, nil); err != nil || p.Ref != first.Ref || p.Content != first.Content {
		t.Errorf("a repeat: %+v, %v", p, err)
	}
	if p, err := c.Keyed(2*time.Second, "other", 6*time.Second, place, nil); err != nil || p.Ref != ref("2") {
		t.Errorf("another key: %+v, %v", p, err)
	}
	told := ref("1") // at a router that never saw the first try
	if p, err := c.Keyed(2*time.Second, "elsewhere", 6*time.Second, place, &told); err != nil || p.Ref != told {
		t.Errorf("told by the client: %+v, %v", p, err)
	}
	c.Step(3*time.Second, []any{Revised{[]registry.Revision{{Number: 7, Changes: []registry.Change{registry.Delete{Ref: ref("1")}}}}}})
	for _, told := range []*registry.Ref{nil, &told} {
		if _, err := c.Keyed(4*time.Second, "k", 6*time.Second, place, told); !errors.Is(err, ErrGone) {
			t.Errorf("a repeat whose version is gone: %v", err)
		}
	}
	if p, err := c.Keyed(7*time.Second, "k", 6*time.Second, place, nil); err != nil || p.Ref != ref("2") {
		t.Errorf("after the window: %+v, %v", p, err)
	}
	few := Defaults
	few.KeyedMost = 10
	c = New(few)
	c.Step(0, []any{Snapshot{listing(5, "1")}})
	for i := range 1000 {
		_, _ = c.Keyed(time.Duration(i), fmt.Sprint(i), time.Hour, place, nil)
	}
	if n := c.Status(0).Keyed; n != 10 {
		t.Errorf("%d first tries kept", n)
	}
	if c.Step(3*time.Hour, nil); c.Status(3*time.Hour).Keyed != 0 {
		t.Error("first tries kept for ever")
	}
}

// TestAnyWatchEndsAtTheRegistrysState is a property: with revisions delayed, told twice, cut off, compacted, the
// catalog holds the registry's state once word comes through again, and is never asked for twice at once.
func TestAnyWatchEndsAtTheRegistrysState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reg := registry.NewState(4)
		apply := func(changes ...registry.Change) {
			if rev, err := reg.Plan(changes); err == nil && rev != nil {
				if err := reg.Apply(*rev); err != nil {
					t.Fatal(err)
				}
			}
		}
		apply(registry.Push{Ref: ref("1"), Content: content(1)}, registry.Push{Ref: ref("2"), Content: content(2)},
			registry.Move{Place: place, To: ref("1")})
		list := func() Listing {
			l := Listing{Revision: reg.Rev(), Versions: map[registry.Ref]registry.Content{}, Aliases: map[registry.Place]registry.Ref{}}
			for _, r := range reg.Versions() {
				l.Versions[r], _ = reg.Version(r)
			}
			for _, p := range reg.Aliases() {
				l.Aliases[p], _ = reg.Alias(p)
			}
			return l
		}
		c, now := New(Defaults), time.Duration(0)
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
				step(Listed{list()})
			case Watch:
				revs, err := reg.Since(after)
				if err != nil {
					asked = nil
					step(Broke{err})
					return
				}
				step(Revised{revs})
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 4).Draw(t, "op") {
			case 0, 1:
				apply(registry.Move{Place: place, To: ref(rapid.SampledFrom([]string{"1", "2"}).Draw(t, "to"))})
			case 2:
				answer()
			case 3:
				if asked != nil {
					asked = nil
					step(Broke{errors.New("cut")})
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
		want, _ := reg.Alias(place)
		if got, err := c.Resolve(now, place); err != nil || got.Ref != want || got.Revision != reg.Rev() || got.Stale {
			t.Fatalf("%+v, %v; the registry is at %d with %s", got, err, reg.Rev(), want)
		}
	})
}
