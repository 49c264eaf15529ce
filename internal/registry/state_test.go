package registry

import (
	"errors"
	"fmt"
	"maps"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func pushOf(plugin, version string, b byte) Push {
	return Push{Ref{plugin, version}, Content{Digest{b}, 10}}
}

func moveOf(plan, plugin, version string) Move {
	return Move{Place: Place{plan, "current"}, To: Ref{plugin, version}}
}

// must makes a batch a revision.
func must(t interface {
	Helper()
	Fatal(...any)
}, s *State, batch ...Change) {
	t.Helper()
	rev, err := s.Plan(batch)
	if err != nil {
		t.Fatal(err)
	}
	if rev == nil {
		return
	}
	if err := s.Apply(*rev); err != nil {
		t.Fatal(err)
	}
}

func TestNames(t *testing.T) {
	for _, good := range []string{"a", "quote-7", "v1.2.3", "x_y", strings.Repeat("a", 64)} {
		if err := CheckName("plug-in", good); err != nil {
			t.Error(err)
		}
	}
	for _, bad := range []string{"", "..", "../a", "a/b", "a\\b", "a..b", ".a", "a.", "-a", "A", "a b", "a\x00", "а" /* Cyrillic */, "a\u200b",
		strings.Repeat("a", 65), strings.Repeat("a", 1<<20), "a\n", "%2e"} {
		if err := CheckName("plug-in", bad); !errors.Is(err, ErrName) || len(err.Error()) > 600 {
			t.Errorf("%.20q: %.200v", bad, err)
		}
	}
	d := Digest{1, 0xab}
	if got, err := ParseDigest(d.String()); err != nil || got != d {
		t.Errorf("%v, %v", got, err)
	}
	for _, bad := range []string{"", d.String()[1:], strings.ToUpper(d.String()), strings.Replace(d.String(), "0", "g", 1)} {
		if _, err := ParseDigest(bad); !errors.Is(err, ErrName) {
			t.Errorf("%q: %v", bad, err)
		}
	}
}

func TestChangesThatAreRefused(t *testing.T) {
	for name, c := range map[string]struct {
		batch []Change
		want  error
		at    string
	}{
		"other content":       {[]Change{pushOf("q", "1", 9)}, ErrExists, "change 0"},
		"delete a held one":   {[]Change{Delete{Ref{"q", "1"}}}, ErrHeld, "change 0"},
		"alias of none":       {[]Change{pushOf("q", "3", 1), moveOf("p", "q", "9")}, ErrNotFound, "change 1"},
		"a conflict":          {[]Change{Move{Place: Place{"p", "current"}, To: Ref{"q", "2"}, Expect: &Ref{"q", "2"}}}, ErrConflict, "q:1"},
		"deleted in a batch":  {[]Change{Delete{Ref{"q", "2"}}, moveOf("p", "q", "2")}, ErrNotFound, "change 1"},
		"moved to, then gone": {[]Change{moveOf("p", "q", "2"), Delete{Ref{"q", "2"}}}, ErrHeld, "change 1"},
		"a bad name":          {[]Change{Push{Ref{"../q", "1"}, Content{}}}, ErrName, "change 0"},
		"no change":           {[]Change{nil}, ErrName, "change 0"},
		"dropping none":       {[]Change{Drop{Place{"p", "next"}}}, ErrNotFound, "p/next"},
	} {
		s := NewState(10)
		must(t, s, pushOf("q", "1", 1), pushOf("q", "2", 2), moveOf("p", "q", "1"))
		if _, err := s.Plan(c.batch); !errors.Is(err, c.want) || !strings.Contains(err.Error(), c.at) {
			t.Errorf("%s: %v, want %v at %s", name, err, c.want, c.at)
		}
		if r, _ := s.Alias(Place{"p", "current"}); s.Rev() != 1 || r != (Ref{"q", "1"}) || len(s.Versions()) != 2 {
			t.Errorf("%s: the state changed", name)
		}
	}
}

// TestABatchIsOneRevision, and changes that change nothing are none.
func TestABatchIsOneRevision(t *testing.T) {
	s := NewState(10)
	must(t, s, pushOf("q", "1", 1), pushOf("q", "2", 2), moveOf("a", "q", "1"), moveOf("b", "q", "1"))
	must(t, s, pushOf("q", "1", 1), moveOf("a", "q", "1")) // as it is
	must(t, s, moveOf("a", "q", "2"), moveOf("b", "q", "2"), Delete{Ref{"q", "1"}})
	if s.Rev() != 2 || len(s.Versions()) != 1 {
		t.Errorf("revision %d, %v", s.Rev(), s.Versions())
	}
}

func TestWatch(t *testing.T) {
	s := NewState(3)
	for i := range 6 {
		must(t, s, pushOf("q", fmt.Sprint(i), byte(i)))
	}
	for _, c := range []struct {
		after uint64
		n     int
		err   error
	}{{6, 0, nil}, {5, 1, nil}, {3, 3, nil}, {2, 0, ErrCompacted}, {0, 0, ErrCompacted}, {7, 0, ErrFuture}} {
		got, err := s.Since(c.after)
		if !errors.Is(err, c.err) || len(got) != c.n || c.n > 0 && got[0].Number != c.after+1 {
			t.Errorf("after %d: %v, %v", c.after, got, err)
		}
	}
}

// TestFollowersAgree is a property: whoever applies the revisions in order, from any revision that is kept or
// from a listing, holds the same versions and aliases; revisions that don't follow are refused; nothing that an
// alias points at is ever missing.
func TestFollowersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, f := NewState(8), NewState(8)
		for range rapid.IntRange(1, 40).Draw(t, "batches") {
			var batch []Change
			for range rapid.IntRange(1, 4).Draw(t, "changes") {
				plugin, v := fmt.Sprint("q", rapid.IntRange(0, 1).Draw(t, "plug-in")), fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "version"))
				plan := fmt.Sprint("p", rapid.IntRange(0, 2).Draw(t, "plan"))
				batch = append(batch, rapid.SampledFrom([]Change{pushOf(plugin, v, v[0]), moveOf(plan, plugin, v), moveOf(plan, plugin, v),
					Delete{Ref{plugin, v}}, Drop{Place{plan, "current"}}}).Draw(t, "change"))
			}
			rev, err := s.Plan(batch)
			if err != nil || rev == nil {
				continue
			}
			if err := s.Apply(*rev); err != nil {
				t.Fatal(err)
			}
			if err := s.Apply(*rev); !errors.Is(err, ErrConflict) {
				t.Fatalf("applied twice: %v", err)
			}
			for _, p := range s.Aliases() {
				if r, _ := s.Alias(p); s.versions[r] == (Content{}) {
					t.Fatalf("%s points at %s, which is not there", p, r)
				}
			}
			if rapid.IntRange(0, 5).Draw(t, "follow") > 0 {
				continue
			}
			revs, err := s.Since(f.Rev())
			if errors.Is(err, ErrCompacted) {
				if f, err = Restore(s.rev, s.versions, s.aliases, 8); err != nil {
					t.Fatal(err)
				}
			}
			for _, r := range revs {
				if err := f.Apply(r); err != nil {
					t.Fatal(err)
				}
			}
			if !maps.Equal(f.versions, s.versions) || !maps.Equal(f.aliases, s.aliases) || !maps.Equal(f.held, s.held) || f.rev != s.rev {
				t.Fatalf("a follower differs at revision %d", s.rev)
			}
		}
	})
}
