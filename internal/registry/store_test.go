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

func open(t *testing.T, dir string, o Options) *Store {
	t.Helper()
	s, err := OpenStore(dir, o)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func read(s *Store, c Content) ([]byte, error) {
	b, err := s.Open(c)
	if err != nil {
		return nil, err
	}
	defer func() { _ = b.Close() }()
	return io.ReadAll(b)
}

func TestPushReadReopen(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir, Options{Keep: 2})
	body := bytes.Repeat([]byte("plug-in "), 10000)
	c, err := s.Put(bytes.NewReader(body))
	if err != nil || c.Size != int64(len(body)) {
		t.Fatalf("%+v, %v", c, err)
	}
	if again, err := s.Put(bytes.NewReader(body)); err != nil || again != c {
		t.Errorf("the same content again: %+v, %v", again, err)
	}
	for i := range 4 {
		if rev, err := s.Commit([]Change{Push{Ref{"q", fmt.Sprint(i)}, c}, moveOf("p", "q", fmt.Sprint(i))}); err != nil || rev != uint64(i+1) {
			t.Fatalf("revision %d, %v", rev, err)
		}
	}
	if _, err := s.Commit([]Change{Push{Ref{"q", "x"}, Content{Digest{1}, 3}}}); !errors.Is(err, ErrNotFound) {
		t.Errorf("content that is not there: %v", err)
	}
	if _, err := OpenStore(dir, Options{}); err == nil {
		t.Error("two processes on one folder")
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	s = open(t, dir, Options{Keep: 2})
	defer func() { _ = s.Close() }()
	s.View(func(st *State) {
		if r, _ := st.Alias(Place{"p", "current"}); st.Rev() != 4 || r != (Ref{"q", "3"}) || len(st.Versions()) != 4 {
			t.Errorf("revision %d, %v, %v", st.Rev(), r, st.Versions())
		}
		if revs, err := st.Since(2); err != nil || len(revs) != 2 || len(revs[1].Changes) != 2 {
			t.Errorf("%v, %v", revs, err)
		}
		if _, err := st.Since(1); !errors.Is(err, ErrCompacted) {
			t.Errorf("compacted: %v", err)
		}
	})
	if got, err := read(s, c); err != nil || !bytes.Equal(got, body) {
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
		s := open(t, t.TempDir(), Options{})
		c, err := s.Put(bytes.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := s.Commit([]Change{Push{Ref{"q", "1"}, c}}); err != nil {
			t.Fatal(err)
		}
		was, err := os.ReadFile(s.path(c.Digest))
		if err != nil {
			t.Fatal(err)
		}
		if err := on(s.path(c.Digest), was); err != nil {
			t.Fatal(err)
		}
		got, err := read(s, c)
		if !errors.Is(err, ErrCorrupt) && !errors.Is(err, ErrNotFound) || int64(len(got)) > c.Size {
			t.Errorf("%s: read %d bytes of %d, %v", name, len(got), c.Size, err)
		}
		if bad := s.Verify(nil); bad[Ref{"q", "1"}] == nil {
			t.Errorf("%s: Verify saw nothing", name)
		}
		_ = s.Close()
	}
}

func TestTooLarge(t *testing.T) {
	s := open(t, t.TempDir(), Options{MaxBlob: 100})
	defer func() { _ = s.Close() }()
	if _, err := s.Put(bytes.NewReader(make([]byte, 101))); !errors.Is(err, errTooLarge) {
		t.Error(err)
	}
	if left, _ := os.ReadDir(filepath.Join(s.dir, "tmp")); len(left) > 0 {
		t.Errorf("left behind: %v", left)
	}
}

// TestGC leaves alone what a version names, a reader holds, or a Push may be about to name.
func TestGC(t *testing.T) {
	s := open(t, t.TempDir(), Options{})
	defer func() { _ = s.Close() }()
	put := func(text string) Content {
		c, err := s.Put(strings.NewReader(text))
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	named, held, loose := put("named"), put("held"), put("loose")
	if _, err := s.Commit([]Change{Push{Ref{"q", "1"}, named}}); err != nil {
		t.Fatal(err)
	}
	b, err := s.Open(held)
	if err != nil {
		t.Fatal(err)
	}
	if gone, err := s.GC(time.Hour, false); err != nil || len(gone) > 0 {
		t.Errorf("young content removed: %v, %v", gone, err)
	}
	for _, dry := range []bool{true, false} {
		if gone, err := s.GC(0, dry); err != nil || len(gone) != 1 || gone[0] != loose.Digest {
			t.Errorf("dry %v: %v, %v", dry, gone, err)
		}
	}
	_ = b.Close()
	if gone, err := s.GC(0, false); err != nil || len(gone) != 1 || gone[0] != held.Digest {
		t.Errorf("after the reader: %v, %v", gone, err)
	}
	if _, err := read(s, named); err != nil {
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
	killAt(t, 1, kills)
}

func killAt(t *testing.T, seed uint64, kills int) {
	t.Helper()
	rng, dir := rand.New(rand.NewPCG(seed, 15)), t.TempDir()
	acked := uint64(0)
	alias := map[Place]Ref{}
	hit := map[string]int{}
	for n := range kills {
		left := rng.IntN(24) // steps until the death
		s := open(t, dir, Options{Keep: 5, Fail: func(step string) error {
			if left--; left < 0 {
				hit[step]++
				return errKilled
			}
			return nil
		}})
		var doubt map[Place]Ref // what the batch under way would make
		s.View(func(st *State) {
			if rev := st.Rev(); rev < acked || rev > acked+1 {
				t.Fatalf("kill %d: revision %d, acknowledged %d", n, rev, acked)
			}
			acked = st.Rev()
			for _, p := range st.Aliases() {
				alias[p], _ = st.Alias(p)
			}
		})
		if bad := s.Verify(nil); len(bad) > 0 {
			t.Fatalf("kill %d: %v", n, bad)
		}
		for i := 0; ; i++ {
			c, err := s.Put(strings.NewReader(fmt.Sprint("content ", n, " ", i)))
			if err != nil {
				break
			}
			v := fmt.Sprintf("%d-%d", n, i)
			batch := []Change{Push{Ref{"q", v}, c}, moveOf("a", "q", v), moveOf("b", "q", v)}
			doubt = map[Place]Ref{{"a", "current"}: {"q", v}, {"b", "current"}: {"q", v}}
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
		s = open(t, dir, Options{Keep: 5})
		s.View(func(st *State) {
			for p, want := range alias {
				got, _ := st.Alias(p)
				if st.Rev() == acked && got != want || st.Rev() == acked+1 && got != doubt[p] || st.Rev() > acked+1 {
					t.Fatalf("kill %d: at revision %d (acknowledged %d) %s points at %s", n, st.Rev(), acked, p, got)
				}
			}
			acked = st.Rev()
			for _, p := range st.Aliases() {
				alias[p], _ = st.Alias(p)
			}
		})
		_ = s.Close()
	}
	t.Logf("%d kills: %v", kills, hit)
	for _, step := range []string{StepTemp, StepWrite, StepSync, StepRename, StepDir, StepBegin, StepPut, StepCommit, StepAck} {
		if hit[step] == 0 && kills >= 60 {
			t.Errorf("no kill at %q", step)
		}
	}
}
