package registry

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/klauspost/compress/zstd"

	"github.com/topazfront/topazfront/internal/testsupport"
)

func mustOpenStore(t *testing.T, dir string, options Options) *Store {
	t.Helper()
	s, err := OpenStore(dir, options)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func readContent(s *Store, content Content) ([]byte, error) {
	r, err := s.OpenContent(content)
	if err != nil {
		return nil, err
	}
	defer func() { _ = r.Close() }()
	return io.ReadAll(r)
}

func TestPushReadReopen(t *testing.T) {
	dir := t.TempDir()
	s := mustOpenStore(t, dir, Options{MaxRevisions: 2})
	body := bytes.Repeat([]byte("plug-in "), 10000)
	content, err := s.PutContent(bytes.NewReader(body))
	if err != nil || content.Size != int64(len(body)) {
		t.Fatalf("%+v, %v", content, err)
	}
	if again, err := s.PutContent(bytes.NewReader(body)); err != nil || again != content {
		t.Errorf("the same content again: %+v, %v", again, err)
	}
	for i := range 4 {
		version := fmt.Sprint(i)
		batch := []Change{PushVersion{VersionRef{"q", version}, content}, moveAlias("p", "q", version)}
		if revision, err := s.Commit(batch); err != nil || revision != uint64(i+1) {
			t.Fatalf("revision %d, %v", revision, err)
		}
	}
	unknown := PushVersion{VersionRef{"q", "x"}, Content{Digest{1}, 3}}
	if _, err := s.Commit([]Change{unknown}); !errors.Is(err, ErrNotFound) {
		t.Errorf("content that is not stored: %v", err)
	}
	if _, err := OpenStore(dir, Options{}); err == nil {
		t.Error("a directory was opened twice")
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	s = mustOpenStore(t, dir, Options{MaxRevisions: 2})
	defer func() { _ = s.Close() }()
	s.View(checkReopenedState(t))
	if got, err := readContent(s, content); err != nil || !bytes.Equal(got, body) {
		t.Errorf("%d bytes, %v", len(got), err)
	}
}

// checkReopenedState returns a function that checks the state after four revisions, of which two are kept.
func checkReopenedState(t *testing.T) func(*State) {
	return func(state *State) {
		target, _ := state.Alias(AliasRef{"p", "current"})
		if state.Revision() != 4 || target != (VersionRef{"q", "3"}) || len(state.Versions()) != 4 {
			t.Errorf("revision %d, %v, %v", state.Revision(), target, state.Versions())
		}
		if revisions, err := state.RevisionsAfter(2); err != nil || len(revisions) != 2 || len(revisions[1].Changes) != 2 {
			t.Errorf("%v, %v", revisions, err)
		}
		if _, err := state.RevisionsAfter(1); !errors.Is(err, ErrCompacted) {
			t.Errorf("compacted: %v", err)
		}
	}
}

// compress returns b in the format of a content's file.
func compress(t *testing.T, b []byte) []byte {
	t.Helper()
	var out bytes.Buffer
	encoder, err := zstd.NewWriter(&out)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = encoder.Write(b)
	_ = encoder.Close()
	return out.Bytes()
}

// TestCorruptContentIsDetected damages a content's file in several ways. Reading and Verify must detect the damage, and
// reading must not return more than the expected size.
func TestCorruptContentIsDetected(t *testing.T) {
	body := []byte(strings.Repeat("abc", 1000))
	overwrite := func(replacement []byte) func(string, []byte) error {
		return func(path string, _ []byte) error { return os.WriteFile(path, replacement, 0o644) }
	}
	for name, damage := range map[string]func(path string, file []byte) error{
		"changed byte": func(path string, file []byte) error {
			file[len(file)/2] ^= 1
			return os.WriteFile(path, file, 0o644)
		},
		"truncated file": func(path string, file []byte) error {
			return os.WriteFile(path, file[:len(file)/2], 0o644)
		},
		"empty file":         overwrite(nil),
		"other content":      overwrite(compress(t, []byte(strings.Repeat("abd", 1000)))),
		"shorter content":    overwrite(compress(t, body[:999])),
		"decompression bomb": overwrite(compress(t, make([]byte, 64<<20))),
		"missing file":       func(path string, _ []byte) error { return os.Remove(path) },
	} {
		t.Run(name, func(t *testing.T) {
			s := mustOpenStore(t, t.TempDir(), Options{})
			defer func() { _ = s.Close() }()
			content, err := s.PutContent(bytes.NewReader(body))
			if err != nil {
				t.Fatal(err)
			}
			if _, err := s.Commit([]Change{PushVersion{VersionRef{"q", "1"}, content}}); err != nil {
				t.Fatal(err)
			}
			file, err := os.ReadFile(s.blobPath(content.Digest))
			if err != nil {
				t.Fatal(err)
			}
			if err := damage(s.blobPath(content.Digest), file); err != nil {
				t.Fatal(err)
			}
			got, err := readContent(s, content)
			if !errors.Is(err, ErrCorrupt) && !errors.Is(err, ErrNotFound) || int64(len(got)) > content.Size {
				t.Errorf("read %d bytes of %d, %v", len(got), content.Size, err)
			}
			if failures := s.Verify(nil); failures[VersionRef{"q", "1"}] == nil {
				t.Error("Verify found nothing")
			}
		})
	}
}

func TestContentTooLarge(t *testing.T) {
	s := mustOpenStore(t, t.TempDir(), Options{MaxContentSize: 100})
	defer func() { _ = s.Close() }()
	if _, err := s.PutContent(bytes.NewReader(make([]byte, 101))); !errors.Is(err, ErrContentTooLarge) {
		t.Error(err)
	}
	if left, _ := os.ReadDir(filepath.Join(s.dir, temporaryDirectory)); len(left) > 0 {
		t.Errorf("left behind: %v", left)
	}
}

// TestCollectGarbage expects content to be kept if a version refers to it, if it is being read, or if it is within the
// grace period, because a PushVersion may be about to refer to it.
func TestCollectGarbage(t *testing.T) {
	s := mustOpenStore(t, t.TempDir(), Options{})
	defer func() { _ = s.Close() }()
	put := func(text string) Content {
		content, err := s.PutContent(strings.NewReader(text))
		if err != nil {
			t.Fatal(err)
		}
		return content
	}
	referenced, beingRead, unused := put("referenced"), put("being read"), put("unused")
	if _, err := s.Commit([]Change{PushVersion{VersionRef{"q", "1"}, referenced}}); err != nil {
		t.Fatal(err)
	}
	reader, err := s.OpenContent(beingRead)
	if err != nil {
		t.Fatal(err)
	}
	if removed, err := s.CollectGarbage(time.Hour, false); err != nil || len(removed) > 0 {
		t.Errorf("content within the grace period: removed %v, %v", removed, err)
	}
	for _, dryRun := range []bool{true, false} {
		if removed, err := s.CollectGarbage(0, dryRun); err != nil || len(removed) != 1 || removed[0] != unused.Digest {
			t.Errorf("dry run %v: %v, %v", dryRun, removed, err)
		}
	}
	_ = reader.Close()
	if removed, err := s.CollectGarbage(0, false); err != nil || len(removed) != 1 || removed[0] != beingRead.Digest {
		t.Errorf("after the reader was closed: %v, %v", removed, err)
	}
	if _, err := readContent(s, referenced); err != nil {
		t.Error(err)
	}
}

// TestCollectGarbageWithSteppedWallClock checks that a step of the wall clock, which makes files look older or newer,
// neither shortens nor extends the grace period.
func TestCollectGarbageWithSteppedWallClock(t *testing.T) {
	for _, step := range testsupport.WallClockSteps {
		t.Run(step.String(), func(t *testing.T) {
			s := mustOpenStore(t, t.TempDir(), Options{})
			defer func() { _ = s.Close() }()
			content, err := s.PutContent(strings.NewReader("pushed soon"))
			if err != nil {
				t.Fatal(err)
			}
			asIfStepped := time.Now().Add(-step)
			if err := os.Chtimes(s.blobPath(content.Digest), asIfStepped, asIfStepped); err != nil {
				t.Fatal(err)
			}
			if removed, err := s.CollectGarbage(time.Hour, false); err != nil || len(removed) > 0 {
				t.Errorf("within the grace period: removed %v, %v", removed, err)
			}
			if removed, err := s.CollectGarbage(0, false); err != nil || len(removed) != 1 {
				t.Errorf("after the grace period: removed %v, %v", removed, err)
			}
		})
	}
}

// TestReopenWithDifferentMaxRevisions checks that watchers get revisions without a gap, or ErrCompacted, regardless of
// how many revisions were kept before.
func TestReopenWithDifferentMaxRevisions(t *testing.T) {
	dir := t.TempDir()
	var latest uint64
	for _, maxRevisions := range []int{10, 2, 10, 1, 3} {
		s := mustOpenStore(t, dir, Options{MaxRevisions: maxRevisions})
		for range 4 {
			if err := pushContent(s, fmt.Sprint(latest), "text"); err != nil {
				t.Fatal(err)
			}
			latest++
			s.View(checkNoGap(t, maxRevisions))
		}
		_ = s.Close()
		s = mustOpenStore(t, dir, Options{MaxRevisions: 10})
		s.View(checkNoGap(t, 10))
		_ = s.Close()
	}
}

// checkNoGap returns a function that checks, for each revision, that the revisions after it have no gap and are at most
// maxRevisions.
func checkNoGap(t *testing.T, maxRevisions int) func(*State) {
	return func(state *State) {
		for after := range state.Revision() {
			revisions, err := state.RevisionsAfter(after)
			if errors.Is(err, ErrCompacted) {
				continue
			}
			if err != nil || uint64(len(revisions)) != state.Revision()-after || len(revisions) > maxRevisions {
				t.Errorf("%d revisions after %d of %d, %v", len(revisions), after, state.Revision(), err)
			}
			for i, revision := range revisions {
				if revision.Number != after+1+uint64(i) {
					t.Errorf("revision %d, want %d", revision.Number, after+1+uint64(i))
				}
			}
		}
	}
}
