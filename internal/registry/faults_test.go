package registry

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/topazfront/topazfront/internal/testsupport/faultyfs"
)

// pushContent stores content and commits it as a version of "q".
func pushContent(s *Store, version, text string) error {
	content, err := s.PutContent(strings.NewReader(text))
	if err != nil {
		return err
	}
	_, err = s.Commit([]Change{PushVersion{VersionRef{"q", version}, content}})
	return err
}

// checkVersions expects a store to have exactly the given versions of "q", all readable.
func checkVersions(t *testing.T, s *Store, want ...string) {
	t.Helper()
	s.View(func(state *State) {
		var got []string
		for _, ref := range state.Versions() {
			got = append(got, ref.Version)
		}
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("versions %v, want %v", got, want)
		}
	})
	if failures := s.Verify(nil); len(failures) > 0 {
		t.Error(failures)
	}
}

// TestPushOnFaultyDisk makes each call to the file system fail in turn, and each write of content after each byte. The
// caller gets a typed error with the cause, the store works again once the disk does, and the reopened store has
// exactly the acknowledged versions.
func TestPushOnFaultyDisk(t *testing.T) {
	text := strings.Repeat("plug-in ", 3)
	disk := &faultyfs.FS{}
	s := mustOpenStore(t, t.TempDir(), Options{fileSystem: disk})
	disk.Repair()
	if err := pushContent(s, "2", text); err != nil {
		t.Fatal(err)
	}
	_ = s.Close()
	for i, operation := range disk.Calls() {
		variants := 1
		if operation == faultyfs.Write {
			variants = len(text) + 20 // upper bound on the size of the compressed content with its frame
		}
		for written := range variants {
			cause := []error{syscall.ENOSPC, syscall.EIO}[written%2]
			dir := t.TempDir()
			s := mustOpenStore(t, dir, Options{fileSystem: disk})
			if err := pushContent(s, "1", "acknowledged"); err != nil {
				t.Fatal(err)
			}
			disk.Break(i+1, cause, written)
			if err := pushContent(s, "2", text); !errors.Is(err, ErrStorage) || !errors.Is(err, cause) {
				t.Errorf("%s, call %d: %v", operation, i+1, err)
			}
			disk.Repair()
			checkVersions(t, s, "1")
			if err := pushContent(s, "3", text); err != nil {
				t.Errorf("after %s, call %d: %v", operation, i+1, err)
			}
			_ = s.Close()
			s = mustOpenStore(t, dir, Options{})
			checkVersions(t, s, "1", "3")
			if left, _ := os.ReadDir(filepath.Join(dir, temporaryDirectory)); len(left) > 0 {
				t.Errorf("%s, call %d: temporary files left behind: %v", operation, i+1, left)
			}
			_ = s.Close()
		}
	}
}

// TestUndurableContentIsNotReferenced checks that a version cannot refer to content whose directory could not be synced
// until the content is stored again, although its file is visible.
func TestUndurableContentIsNotReferenced(t *testing.T) {
	disk := &faultyfs.FS{}
	s := mustOpenStore(t, t.TempDir(), Options{fileSystem: disk})
	defer func() { _ = s.Close() }()
	content, err := s.PutContent(strings.NewReader("text"))
	if err != nil {
		t.Fatal(err)
	}
	push := []Change{PushVersion{VersionRef{"q", "1"}, content}}
	disk.BreakOnce(1, syscall.EIO, 0)
	if _, err := s.Commit(push); !errors.Is(err, syscall.EIO) || disk.Calls()[0] != faultyfs.SyncDirectory {
		t.Errorf("%v, after %v", err, disk.Calls())
	}
	if _, err := s.Commit(push); !errors.Is(err, ErrStorage) {
		t.Errorf("a later successful sync hid the failed one: %v", err)
	}
	if err := pushContent(s, "1", "text"); err != nil {
		t.Errorf("stored again: %v", err)
	}
}

// TestOpenOnFaultyDisk makes each call to the file system fail while a store is opened. Once the disk works, the store
// can be opened and used.
func TestOpenOnFaultyDisk(t *testing.T) {
	disk := &faultyfs.FS{}
	healthy := mustOpenStore(t, t.TempDir(), Options{fileSystem: disk})
	_ = healthy.Close()
	for i, operation := range disk.Calls() {
		dir := t.TempDir()
		disk.Break(i+1, syscall.ENOSPC, 0)
		s, err := OpenStore(dir, Options{fileSystem: disk})
		if err == nil && operation == faultyfs.Remove { // of the database's temporary file; the next open removes it
			_ = s.Close()
		} else if !errors.Is(err, ErrStorage) || !errors.Is(err, syscall.ENOSPC) {
			t.Errorf("%s: %v", operation, err)
		}
		disk.Repair()
		s = mustOpenStore(t, dir, Options{fileSystem: disk})
		if err := pushContent(s, "1", "text"); err != nil {
			t.Errorf("after %s: %v", operation, err)
		}
		checkVersions(t, s, "1")
		_ = s.Close()
	}
}

// TestKillDuringDatabaseCreation truncates the new database to many lengths, as if the process were killed. The next
// open creates the database again.
func TestKillDuringDatabaseCreation(t *testing.T) {
	dir := t.TempDir()
	_ = mustOpenStore(t, dir, Options{}).Close()
	whole, err := os.ReadFile(filepath.Join(dir, databaseFile))
	if err != nil {
		t.Fatal(err)
	}
	errKilled := errors.New("killed")
	for length := 0; length < len(whole); length += 1023 {
		dir := t.TempDir()
		_, err := OpenStore(dir, Options{openDatabaseFile: func(path string, _ int, mode os.FileMode) (*os.File, error) {
			if err := os.WriteFile(path, whole[:length], mode); err != nil {
				return nil, err
			}
			return nil, errKilled
		}})
		if !errors.Is(err, errKilled) {
			t.Fatal(err)
		}
		s, err := OpenStore(dir, Options{})
		if err != nil {
			t.Fatalf("after %d bytes: %v", length, err)
		}
		_ = s.Close()
	}
}

// TestDatabaseIsReopenedAfterFailure checks that the store reopens a database that has failed, for example because the
// operating system refused a memory mapping, as soon as it can be opened.
func TestDatabaseIsReopenedAfterFailure(t *testing.T) {
	broken := false
	s := mustOpenStore(t, t.TempDir(), Options{openDatabaseFile: func(path string, flag int, mode os.FileMode) (*os.File, error) {
		if broken {
			return nil, syscall.EIO
		}
		return os.OpenFile(path, flag, mode)
	}})
	defer func() { _ = s.Close() }()
	if err := pushContent(s, "1", "text"); err != nil {
		t.Fatal(err)
	}
	_ = s.db.Close()
	for _, broken = range []bool{false, true, true} {
		if err := pushContent(s, "2", "text"); !errors.Is(err, ErrStorage) || broken && !errors.Is(err, syscall.EIO) {
			t.Errorf("broken %v: %v", broken, err)
		}
		checkVersions(t, s, "1")
	}
	broken = false
	if err := pushContent(s, "2", "text"); err != nil {
		t.Error(err)
	}
	checkVersions(t, s, "1", "2")
}
