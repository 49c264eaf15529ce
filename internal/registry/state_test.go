package registry

import (
	"errors"
	"fmt"
	"maps"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func pushVersion(plugin, version string, b byte) PushVersion {
	return PushVersion{VersionRef{plugin, version}, Content{Digest{b}, 10}}
}

func moveAlias(plan, plugin, version string) MoveAlias {
	return MoveAlias{AliasRef: AliasRef{plan, "current"}, Target: VersionRef{plugin, version}}
}

// must makes a batch a revision.
func mustCommit(t interface {
	Helper()
	Fatal(...any)
}, s *State, batch ...Change) {
	t.Helper()
	rev, err := s.Prepare(batch)
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
		if err := ValidateName("plug-in", good); err != nil {
			t.Error(err)
		}
	}
	for _, bad := range []string{"", "..", "../a", "a/b", "a\\b", "a..b", ".a", "a.", "-a", "A", "a b", "a\x00", "а" /* Cyrillic */, "a\u200b",
		strings.Repeat("a", 65), strings.Repeat("a", 1<<20), "a\n", "%2e"} {
		if err := ValidateName("plug-in", bad); !errors.Is(err, ErrInvalidArgument) || len(err.Error()) > 600 {
			t.Errorf("%.20q: %.200v", bad, err)
		}
	}
	d := Digest{1, 0xab}
	if got, err := ParseDigest(d.String()); err != nil || got != d {
		t.Errorf("%v, %v", got, err)
	}
	for _, bad := range []string{"", d.String()[1:], strings.ToUpper(d.String()), strings.Replace(d.String(), "0", "g", 1)} {
		if _, err := ParseDigest(bad); !errors.Is(err, ErrInvalidArgument) {
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
		"other content":       {[]Change{pushVersion("q", "1", 9)}, ErrAlreadyExists, "change 0"},
		"delete a held one":   {[]Change{DeleteVersion{VersionRef{"q", "1"}}}, ErrInUse, "change 0"},
		"alias of none":       {[]Change{pushVersion("q", "3", 1), moveAlias("p", "q", "9")}, ErrNotFound, "change 1"},
		"a conflict":          {[]Change{MoveAlias{AliasRef: AliasRef{"p", "current"}, Target: VersionRef{"q", "2"}, ExpectedTarget: &VersionRef{"q", "2"}}}, ErrConflict, "q:1"},
		"deleted in a batch":  {[]Change{DeleteVersion{VersionRef{"q", "2"}}, moveAlias("p", "q", "2")}, ErrNotFound, "change 1"},
		"moved to, then gone": {[]Change{moveAlias("p", "q", "2"), DeleteVersion{VersionRef{"q", "2"}}}, ErrInUse, "change 1"},
		"a bad name":          {[]Change{PushVersion{VersionRef{"../q", "1"}, Content{}}}, ErrInvalidArgument, "change 0"},
		"no change":           {[]Change{nil}, ErrInvalidArgument, "change 0"},
		"dropping none":       {[]Change{DeleteAlias{AliasRef{"p", "next"}}}, ErrNotFound, "p/next"},
	} {
		s := NewState(10)
		mustCommit(t, s, pushVersion("q", "1", 1), pushVersion("q", "2", 2), moveAlias("p", "q", "1"))
		if _, err := s.Prepare(c.batch); !errors.Is(err, c.want) || !strings.Contains(err.Error(), c.at) {
			t.Errorf("%s: %v, want %v at %s", name, err, c.want, c.at)
		}
		if r, _ := s.Alias(AliasRef{"p", "current"}); s.Revision() != 1 || r != (VersionRef{"q", "1"}) || len(s.Versions()) != 2 {
			t.Errorf("%s: the state changed", name)
		}
	}
}

// TestABatchIsOneRevision, and changes that change nothing are none.
func TestABatchIsOneRevision(t *testing.T) {
	s := NewState(10)
	mustCommit(t, s, pushVersion("q", "1", 1), pushVersion("q", "2", 2), moveAlias("a", "q", "1"), moveAlias("b", "q", "1"))
	mustCommit(t, s, pushVersion("q", "1", 1), moveAlias("a", "q", "1")) // as it is
	mustCommit(t, s, moveAlias("a", "q", "2"), moveAlias("b", "q", "2"), DeleteVersion{VersionRef{"q", "1"}})
	if s.Revision() != 2 || len(s.Versions()) != 1 {
		t.Errorf("revision %d, %v", s.Revision(), s.Versions())
	}
}

func TestWatch(t *testing.T) {
	s := NewState(3)
	for i := range 6 {
		mustCommit(t, s, pushVersion("q", fmt.Sprint(i), byte(i)))
	}
	for _, c := range []struct {
		after uint64
		n     int
		err   error
	}{{6, 0, nil}, {5, 1, nil}, {3, 3, nil}, {2, 0, ErrCompacted}, {0, 0, ErrCompacted}, {7, 0, ErrFutureRevision}} {
		got, err := s.RevisionsAfter(c.after)
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
				batch = append(batch, rapid.SampledFrom([]Change{pushVersion(plugin, v, v[0]), moveAlias(plan, plugin, v), moveAlias(plan, plugin, v),
					DeleteVersion{VersionRef{plugin, v}}, DeleteAlias{AliasRef{plan, "current"}}}).Draw(t, "change"))
			}
			rev, err := s.Prepare(batch)
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
			revs, err := s.RevisionsAfter(f.Revision())
			if errors.Is(err, ErrCompacted) {
				if f, err = RestoreState(s.revision, s.versions, s.aliases, 8); err != nil {
					t.Fatal(err)
				}
			}
			for _, r := range revs {
				if err := f.Apply(r); err != nil {
					t.Fatal(err)
				}
			}
			if !maps.Equal(f.versions, s.versions) || !maps.Equal(f.aliases, s.aliases) || !maps.Equal(f.aliasCounts, s.aliasCounts) || f.revision != s.revision {
				t.Fatalf("a follower differs at revision %d", s.revision)
			}
		}
	})
}
