package registry

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/klauspost/compress/zstd"
)

func mustOpenStore(t *testing.T, dir string, o Options) *Store {
	t.Helper()
	s, err := OpenStore(dir, o)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func readContent(s *Store, c Content) ([]byte, error) {
	b, err := s.OpenContent(c)
	if err != nil {
		return nil, err
	}
	defer func() { _ = b.Close() }()
	return io.ReadAll(b)
}

func TestPushReadReopen(t *testing.T) {
	dir := t.TempDir()
	s := mustOpenStore(t, dir, Options{MaxRevisions: 2})
	body := bytes.Repeat([]byte("plug-in "), 10000)
	c, err := s.PutContent(bytes.NewReader(body))
	if err != nil || c.Size != int64(len(body)) {
		t.Fatalf("%+v, %v", c, err)
	}
	if again, err := s.PutContent(bytes.NewReader(body)); err != nil || again != c {
		t.Errorf("the same content again: %+v, %v", again, err)
	}
	for i := range 4 {
		if rev, err := s.Commit([]Change{PushVersion{VersionRef{"q", fmt.Sprint(i)}, c}, moveAlias("p", "q", fmt.Sprint(i))}); err != nil || rev != uint64(i+1) {
			t.Fatalf("revision %d, %v", rev, err)
		}
	}
	if _, err := s.Commit([]Change{PushVersion{VersionRef{"q", "x"}, Content{Digest{1}, 3}}}); !errors.Is(err, ErrNotFound) {
		t.Errorf("content that is not there: %v", err)
	}
	if _, err := OpenStore(dir, Options{}); err == nil {
		t.Error("two processes on one folder")
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	s = mustOpenStore(t, dir, Options{MaxRevisions: 2})
	defer func() { _ = s.Close() }()
	s.View(func(st *State) {
		if r, _ := st.Alias(AliasRef{"p", "current"}); st.Revision() != 4 || r != (VersionRef{"q", "3"}) || len(st.Versions()) != 4 {
			t.Errorf("revision %d, %v, %v", st.Revision(), r, st.Versions())
		}
		if revs, err := st.RevisionsAfter(2); err != nil || len(revs) != 2 || len(revs[1].Changes) != 2 {
			t.Errorf("%v, %v", revs, err)
		}
		if _, err := st.RevisionsAfter(1); !errors.Is(err, ErrCompacted) {
			t.Errorf("compacted: %v", err)
		}
	})
	if got, err := readContent(s, c); err != nil || !bytes.Equal(got, body) {
		t.Errorf("%d bytes, %v", len(got), err)
	}
}

// TestContentThatIsNotWhatItsNameSays: each is found when it is read, and by Verify, and nothing more than the
// told size is ever unpacked.
func TestContentThatIsNotWhatItsNameSays(t *testing.T) {
	pack := func(b []byte) []byte {
		var out bytes.Buffer
		z, err := zstd.NewWriter(&out)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = z.Write(b)
		_ = z.Close()
		return out.Bytes()
	}
	body := []byte(strings.Repeat("abc", 1000))
	for name, on := range map[string]func(path string, was []byte) error{
		"bytes changed": func(p string, was []byte) error { was[len(was)/2] ^= 1; return os.WriteFile(p, was, 0o644) },
		"cut":           func(p string, was []byte) error { return os.WriteFile(p, was[:len(was)/2], 0o644) },
		"empty":         func(p string, was []byte) error { return os.WriteFile(p, nil, 0o644) },
		"other content": func(p string, was []byte) error {
			return os.WriteFile(p, pack([]byte(strings.Repeat("abd", 1000))), 0o644)
		},
		"shorter content": func(p string, was []byte) error { return os.WriteFile(p, pack(body[:999]), 0o644) },
		"a bomb":          func(p string, was []byte) error { return os.WriteFile(p, pack(make([]byte, 64<<20)), 0o644) },
		"gone":            func(p string, was []byte) error { return os.Remove(p) },
	} {
		s := mustOpenStore(t, t.TempDir(), Options{})
		c, err := s.PutContent(bytes.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := s.Commit([]Change{PushVersion{VersionRef{"q", "1"}, c}}); err != nil {
			t.Fatal(err)
		}
		was, err := os.ReadFile(s.blobPath(c.Digest))
		if err != nil {
			t.Fatal(err)
		}
		if err := on(s.blobPath(c.Digest), was); err != nil {
			t.Fatal(err)
		}
		got, err := readContent(s, c)
		if !errors.Is(err, ErrCorrupt) && !errors.Is(err, ErrNotFound) || int64(len(got)) > c.Size {
			t.Errorf("%s: read %d bytes of %d, %v", name, len(got), c.Size, err)
		}
		if bad := s.Verify(nil); bad[VersionRef{"q", "1"}] == nil {
			t.Errorf("%s: Verify saw nothing", name)
		}
		_ = s.Close()
	}
}

func TestTooLarge(t *testing.T) {
	s := mustOpenStore(t, t.TempDir(), Options{MaxContentSize: 100})
	defer func() { _ = s.Close() }()
	if _, err := s.PutContent(bytes.NewReader(make([]byte, 101))); !errors.Is(err, ErrContentTooLarge) {
		t.Error(err)
	}
	if left, _ := os.ReadDir(filepath.Join(s.dir, "tmp")); len(left) > 0 {
		t.Errorf("left behind: %v", left)
	}
}

// TestGC leaves alone what a version names, a reader holds, or a Push may be about to name.
func TestGC(t *testing.T) {
	s := mustOpenStore(t, t.TempDir(), Options{})
	defer func() { _ = s.Close() }()
	put := func(text string) Content {
		c, err := s.PutContent(strings.NewReader(text))
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	named, held, loose := put("named"), put("held"), put("loose")
	if _, err := s.Commit([]Change{PushVersion{VersionRef{"q", "1"}, named}}); err != nil {
		t.Fatal(err)
	}
	b, err := s.OpenContent(held)
	if err != nil {
		t.Fatal(err)
	}
	if gone, err := s.CollectGarbage(time.Hour, false); err != nil || len(gone) > 0 {
		t.Errorf("young content removed: %v, %v", gone, err)
	}
	for _, dry := range []bool{true, false} {
		if gone, err := s.CollectGarbage(0, dry); err != nil || len(gone) != 1 || gone[0] != loose.Digest {
			t.Errorf("dry %v: %v, %v", dry, gone, err)
		}
	}
	_ = b.Close()
	if gone, err := s.CollectGarbage(0, false); err != nil || len(gone) != 1 || gone[0] != held.Digest {
		t.Errorf("after the reader: %v, %v", gone, err)
	}
	if _, err := readContent(s, named); err != nil {
		t.Error(err)
	}
}

var errKilled = errors.New("killed")

// TestKilledAtAnyStep pushes and moves with a death at a drawn step, reopens, and holds the state against what
// was acknowledged: every acknowledged change is there, the one under way is there whole or not at all, and
// all content is sound.
func TestKilledAtAnyStep(t *testing.T) {
	kills := 500
	if testing.Short() {
		kills = 10
	}
	killAtRandomSteps(t, 1, kills)
}

func killAtRandomSteps(t *testing.T, seed uint64, kills int) {
	t.Helper()
	rng, dir := rand.New(rand.NewPCG(seed, 15)), t.TempDir()
	acked := uint64(0)
	alias := map[AliasRef]VersionRef{}
	hit := map[Step]int{}
	for n := range kills {
		left := rng.IntN(24) // steps until the death
		s := mustOpenStore(t, dir, Options{MaxRevisions: 5, Failpoint: func(step Step) error {
			if left--; left < 0 {
				hit[step]++
				return errKilled
			}
			return nil
		}})
		var doubt map[AliasRef]VersionRef // what the batch under way would make
		s.View(func(st *State) {
			if rev := st.Revision(); rev < acked || rev > acked+1 {
				t.Fatalf("kill %d: revision %d, acknowledged %d", n, rev, acked)
			}
			acked = st.Revision()
			for _, p := range st.Aliases() {
				alias[p], _ = st.Alias(p)
			}
		})
		if bad := s.Verify(nil); len(bad) > 0 {
			t.Fatalf("kill %d: %v", n, bad)
		}
		for i := 0; ; i++ {
			c, err := s.PutContent(strings.NewReader(fmt.Sprint("content ", n, " ", i)))
			if err != nil {
				break
			}
			v := fmt.Sprintf("%d-%d", n, i)
			batch := []Change{PushVersion{VersionRef{"q", v}, c}, moveAlias("a", "q", v), moveAlias("b", "q", v)}
			doubt = map[AliasRef]VersionRef{{"a", "current"}: {"q", v}, {"b", "current"}: {"q", v}}
			rev, err := s.Commit(batch)
			if err != nil {
				break
			}
			if rev != acked+1 {
				t.Fatalf("revision %d after %d", rev, acked)
			}
			acked, alias, doubt = rev, doubt, nil
		}
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
		s = mustOpenStore(t, dir, Options{MaxRevisions: 5})
		s.View(func(st *State) {
			for p, want := range alias {
				got, _ := st.Alias(p)
				if st.Revision() == acked && got != want || st.Revision() == acked+1 && got != doubt[p] || st.Revision() > acked+1 {
					t.Fatalf("kill %d: at revision %d (acknowledged %d) %s points at %s", n, st.Revision(), acked, p, got)
				}
			}
			acked = st.Revision()
			for _, p := range st.Aliases() {
				alias[p], _ = st.Alias(p)
			}
		})
		_ = s.Close()
	}
	t.Logf("%d kills: %v", kills, hit)
	for _, step := range []Step{StepCreateTempFile, StepWriteBlob, StepSyncBlob, StepRenameBlob, StepSyncDirectories, StepBeginTransaction, StepWriteChange, StepCommitTransaction, StepAcknowledge} {
		if hit[step] == 0 && kills >= 60 {
			t.Errorf("no kill at %q", step)
		}
	}
}
