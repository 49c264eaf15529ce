package registry

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	bolt "go.etcd.io/bbolt"
)

// goldenDir holds a store written by an early version of the program. It is never regenerated, because every later
// version that supports the format must be able to read it.
const goldenDir = "testdata/store"

// goldenMaxRevisions is less than the number of golden revisions, so that the oldest revision is removed.
const goldenMaxRevisions = 4

// goldenBatches returns the batches committed to the golden store, in order. They have changes of all four kinds.
func goldenBatches(contents []Content) [][]Change {
	quote := func(version string) VersionRef { return VersionRef{"quote", version} }
	price := VersionRef{"price-table_2", "v1.0"}
	expect := quote("1")
	return [][]Change{
		{PushVersion{quote("1"), contents[0]}, MoveAlias{AliasRef: AliasRef{"retail", "current"}, Target: quote("1")}},
		{
			PushVersion{quote("2"), contents[1]},
			PushVersion{price, contents[2]},
			MoveAlias{AliasRef: AliasRef{"retail", "next"}, Target: quote("2")},
		},
		{MoveAlias{AliasRef: AliasRef{"retail", "current"}, Target: quote("2"), ExpectedTarget: &expect}},
		{DeleteAlias{AliasRef{"retail", "next"}}, DeleteVersion{quote("1")}},
		{MoveAlias{AliasRef: AliasRef{"whole.sale", "current"}, Target: price}, PushVersion{quote("3"), contents[0]}},
	}
}

// goldenBodies returns the contents of the golden store: a short one, an empty one and a compressible one.
func goldenBodies() []string {
	return []string{"first plug-in", "", strings.Repeat("price table ", 200)}
}

// fillGoldenStore stores the golden contents and commits the golden batches.
func fillGoldenStore(t *testing.T, s *Store) {
	t.Helper()
	var contents []Content
	for _, body := range goldenBodies() {
		c, err := s.PutContent(strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		contents = append(contents, c)
	}
	for i, batch := range goldenBatches(contents) {
		if revision, err := s.Commit(batch); err != nil || revision != uint64(i+1) {
			t.Fatalf("batch %d: revision %d, %v", i, revision, err)
		}
	}
}

// dumpStore returns every bucket, key and value of a store's database and the names of its other files.
func dumpStore(t *testing.T, dir string) []string {
	t.Helper()
	var lines []string
	db, err := bolt.Open(filepath.Join(dir, "state.db"), 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = db.Close() }()
	err = db.View(func(tx *bolt.Tx) error {
		return tx.ForEach(func(name []byte, b *bolt.Bucket) error {
			lines = append(lines, fmt.Sprintf("bucket %q", name))
			return b.ForEach(func(k, v []byte) error {
				lines = append(lines, fmt.Sprintf("%s %q = %q", name, k, v))
				return nil
			})
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	err = filepath.WalkDir(dir, func(path string, e os.DirEntry, err error) error {
		if err == nil && !e.IsDir() {
			rel, _ := filepath.Rel(dir, path)
			lines = append(lines, "file "+filepath.ToSlash(rel))
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return lines
}

// copyGoldenStore returns a temporary copy of the golden store, because opening a store writes to it.
func copyGoldenStore(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS(goldenDir)); err != nil {
		t.Fatal(err)
	}
	return dir
}

// goldenContents returns the sizes of the golden contents and their digests as recorded in the golden store.
func goldenContents(t *testing.T) []Content {
	t.Helper()
	digests := []string{
		"76eaefeea33dfa597868b6306b9d151f99010fbca4e573ca9d5e8a52b7b8fb16",
		"e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855",
		"ded028f3b1c29224d86df0a4758e9bdd02c35c609192e618477d59ee0ddb3ea2",
	}
	var contents []Content
	for i, body := range goldenBodies() {
		d, err := ParseDigest(digests[i])
		if err != nil {
			t.Fatal(err)
		}
		contents = append(contents, Content{d, int64(len(body))})
	}
	return contents
}

// checkGoldenState compares the state of a golden store with the state that its batches result in.
func checkGoldenState(t *testing.T, s *Store, contents []Content) {
	t.Helper()
	wantVersions := map[VersionRef]Content{
		{"price-table_2", "v1.0"}: contents[2], {"quote", "2"}: contents[1], {"quote", "3"}: contents[0],
	}
	wantAliases := map[AliasRef]VersionRef{
		{"retail", "current"}: {"quote", "2"}, {"whole.sale", "current"}: {"price-table_2", "v1.0"},
	}
	wantRevisions := []Revision{}
	for i, batch := range goldenBatches(contents)[5-goldenMaxRevisions:] {
		for j, c := range batch {
			if m, ok := c.(MoveAlias); ok {
				m.ExpectedTarget = nil // not stored
				batch[j] = m
			}
		}
		wantRevisions = append(wantRevisions, Revision{uint64(i + 6 - goldenMaxRevisions), batch})
	}
	s.View(func(state *State) {
		versions, aliases := map[VersionRef]Content{}, map[AliasRef]VersionRef{}
		for _, version := range state.Versions() {
			versions[version], _ = state.Version(version)
		}
		for _, alias := range state.Aliases() {
			aliases[alias], _ = state.Alias(alias)
		}
		revisions, err := state.RevisionsAfter(5 - goldenMaxRevisions)
		if err != nil || state.Revision() != 5 {
			t.Errorf("revision %d, %v", state.Revision(), err)
		}
		if !reflect.DeepEqual(versions, wantVersions) {
			t.Errorf("versions %v, want %v", versions, wantVersions)
		}
		if !reflect.DeepEqual(aliases, wantAliases) {
			t.Errorf("aliases %v, want %v", aliases, wantAliases)
		}
		if !reflect.DeepEqual(revisions, wantRevisions) {
			t.Errorf("revisions %v, want %v", revisions, wantRevisions)
		}
	})
}

// TestGoldenStoreIsRead opens a store written by an early version of the program and reads its versions, aliases, kept
// revisions and contents.
func TestGoldenStoreIsRead(t *testing.T) {
	s, err := OpenStore(copyGoldenStore(t), Options{MaxRevisions: goldenMaxRevisions})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	contents := goldenContents(t)
	checkGoldenState(t, s, contents)
	for i, body := range goldenBodies() {
		b, err := s.OpenContent(contents[i])
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(b)
		_ = b.Close()
		if err != nil || string(got) != body {
			t.Errorf("content %d: %q, %v", i, got, err)
		}
	}
	if failures := s.Verify(nil); len(failures) > 0 {
		t.Error(failures)
	}
}

// TestGoldenStoreIsWritten commits the golden batches to a new store and expects the same files and the same records in
// each bucket as in the golden store.
func TestGoldenStoreIsWritten(t *testing.T) {
	dir := t.TempDir()
	s, err := OpenStore(dir, Options{MaxRevisions: goldenMaxRevisions})
	if err != nil {
		t.Fatal(err)
	}
	fillGoldenStore(t, s)
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	got, want := dumpStore(t, dir), dumpStore(t, copyGoldenStore(t))
	if !slices.Equal(got, want) {
		t.Errorf("got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

// TestGoldenStepOrder checks the order in which a store calls Options.Failpoint, which is the order of its writes.
func TestGoldenStepOrder(t *testing.T) {
	var steps []Step
	s, err := OpenStore(t.TempDir(), Options{Failpoint: func(step Step) error {
		steps = append(steps, step)
		return nil
	}})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	content, err := s.PutContent(strings.NewReader("referenced"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.PutContent(strings.NewReader("unreferenced")); err != nil {
		t.Fatal(err)
	}
	batch := []Change{PushVersion{VersionRef{"q", "1"}, content}, moveAlias("p", "q", "1")}
	if _, err := s.Commit(batch); err != nil {
		t.Fatal(err)
	}
	for _, dryRun := range []bool{true, false} {
		if removed, err := s.CollectGarbage(0, dryRun); err != nil || len(removed) != 1 {
			t.Fatalf("%v, %v", removed, err)
		}
	}
	put := []Step{"blob: create", "blob: write", "blob: sync", "blob: rename", "blob: sync folder"}
	commit := []Step{"state: begin", "state: put", "state: put", "state: commit", "state: acknowledge"}
	want := slices.Concat(put, put, commit, []Step{"gc: remove"})
	if !slices.Equal(steps, want) {
		t.Errorf("steps %q, want %q", steps, want)
	}
}

// TestGoldenPrepare compares a hash of the outcomes of seeded random batches with its recorded value. An outcome is the
// error that rejects the batch, or the number of changes that remain.
func TestGoldenPrepare(t *testing.T) {
	const want = "2b8777ec499a11095eab8fd2d588a482742de00ef129d6630547e632acd0f62e"
	sentinels := []error{ErrInvalidArgument, ErrNotFound, ErrAlreadyExists, ErrInUse, ErrConflict}
	sum := sha256.New()
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 7))
		s := NewState(4)
		for range 200 {
			revision, err := s.Prepare(randomBatch(rng))
			outcome := 0
			for i, sentinel := range sentinels {
				if errors.Is(err, sentinel) {
					outcome = i + 1
				}
			}
			changes := -1
			if revision != nil {
				changes = len(revision.Changes)
				if err := s.Apply(*revision); err != nil {
					t.Fatal(err)
				}
			}
			sum.Write(fmt.Appendln(nil, outcome, changes, s.Revision(), s.Versions(), s.Aliases()))
		}
	}
	if got := hex.EncodeToString(sum.Sum(nil)); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

// randomBatch returns one to three random changes of a few names, some of which are invalid.
func randomBatch(rng *rand.Rand) []Change {
	var batch []Change
	for range 1 + rng.IntN(3) {
		version := VersionRef{[]string{"q", "r", "Q"}[min(rng.IntN(20)/9, 2)], fmt.Sprint(rng.IntN(4))}
		alias := AliasRef{[]string{"p", "o", "p..o"}[min(rng.IntN(20)/9, 2)], []string{"current", "next"}[rng.IntN(2)]}
		switch rng.IntN(8) {
		case 0, 1:
			batch = append(batch, PushVersion{version, Content{Digest{byte(rng.IntN(3) / 2)}, int64(rng.IntN(20) - 1)}})
		case 2, 3:
			batch = append(batch, PushVersion{version, Content{Digest{version.Version[0]}, 5}})
		case 4, 5:
			batch = append(batch, MoveAlias{AliasRef: alias, Target: version})
		case 6:
			expected := VersionRef{"q", fmt.Sprint(rng.IntN(4))}
			batch = append(batch, MoveAlias{AliasRef: alias, Target: version, ExpectedTarget: &expected})
		default:
			if rng.IntN(2) == 0 {
				batch = append(batch, DeleteVersion{version})
			} else {
				batch = append(batch, DeleteAlias{alias})
			}
		}
	}
	return batch
}
