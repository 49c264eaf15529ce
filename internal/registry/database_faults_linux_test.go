package registry

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"syscall"
	"testing"
	"unsafe"

	"golang.org/x/sys/unix"

	bolt "go.etcd.io/bbolt"
)

// faultyDatabase injects faults between a database and its file. bbolt has no public hook for that: the unexported hook
// of its tests is set by reflection. Syncs fail because the file descriptor is replaced by one of /dev/null, for which
// fdatasync returns EINVAL.
type faultyDatabase struct {
	t     *testing.T
	db    *bolt.DB
	file  *os.File // of the database
	saved *os.File // a duplicate of file's descriptor
	// onWrite, if not nil, is called for each write, with its number counted from 1. It returns the number of bytes to
	// write and the write's error.
	onWrite func(n int, p []byte, offset int64) (int, error)
	writes  int
}

// newFaultyDatabase opens a store whose database has the hooks but no fault yet.
func newFaultyDatabase(t *testing.T, dir string) (*Store, *faultyDatabase) {
	t.Helper()
	s := mustOpenStore(t, dir, Options{})
	f := &faultyDatabase{t: t, db: s.db}
	hook := reflect.ValueOf(s.db).Elem().FieldByName("ops").FieldByName("writeAt")
	writeAt := (*func([]byte, int64) (int, error))(unsafe.Pointer(hook.UnsafeAddr()))
	original := *writeAt
	fileField := reflect.ValueOf(s.db).Elem().FieldByName("file")
	f.file = *(**os.File)(unsafe.Pointer(fileField.UnsafeAddr()))
	fd, err := unix.Dup(int(f.file.Fd()))
	if err != nil {
		t.Fatal(err)
	}
	f.saved = os.NewFile(uintptr(fd), "saved")
	t.Cleanup(func() { _ = f.saved.Close() })
	*writeAt = func(p []byte, offset int64) (int, error) {
		if f.onWrite == nil {
			return original(p, offset)
		}
		f.writes++
		keep, fault := f.onWrite(f.writes, p, offset)
		n, err := f.saved.WriteAt(p[:keep], offset)
		if err == nil {
			err = fault
		}
		return n, err
	}
	return s, f
}

// breakSync makes all syncs fail until repair is called.
func (f *faultyDatabase) breakSync() {
	null, err := os.OpenFile(os.DevNull, os.O_RDWR, 0)
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = null.Close() }()
	if err := unix.Dup3(int(null.Fd()), int(f.file.Fd()), unix.O_CLOEXEC); err != nil {
		f.t.Fatal(err)
	}
}

// repair ends all faults. It closes the duplicate descriptor, which would otherwise keep the file locked.
func (f *faultyDatabase) repair() {
	f.onWrite, f.writes = nil, 0
	if err := unix.Dup3(int(f.saved.Fd()), int(f.file.Fd()), unix.O_CLOEXEC); err != nil {
		f.t.Fatal(err)
	}
	_ = f.saved.Close()
}

func (f *faultyDatabase) isMetaPage(offset int64) bool { return offset < 2*int64(f.db.Info().PageSize) }

// commitFault returns the onWrite function that causes a fault.
type commitFault func(f *faultyDatabase) func(n int, p []byte, offset int64) (int, error)

// failWrite makes the write with the given number, and all later ones, fail after writing keep bytes.
func failWrite(number int, cause error, keep int) commitFault {
	return func(*faultyDatabase) func(int, []byte, int64) (int, error) {
		return func(n int, p []byte, _ int64) (int, error) {
			if n < number {
				return len(p), nil
			}
			return min(keep, len(p)), cause
		}
	}
}

// failSync makes the sync of the meta page fail, or with meta false that of the data pages.
func failSync(meta bool) commitFault {
	return func(f *faultyDatabase) func(int, []byte, int64) (int, error) {
		return func(_ int, p []byte, offset int64) (int, error) {
			if f.isMetaPage(offset) == meta {
				f.breakSync()
			}
			return len(p), nil
		}
	}
}

// failMetaWrite makes the write of the meta page fail after writing keep bytes.
func failMetaWrite(keep int) commitFault {
	return func(f *faultyDatabase) func(int, []byte, int64) (int, error) {
		return func(_ int, p []byte, offset int64) (int, error) {
			if f.isMetaPage(offset) {
				return min(keep, len(p)), syscall.EIO
			}
			return len(p), nil
		}
	}
}

// TestCommitOnFaultyDisk injects failures into the writes and syncs of a commit. The caller gets a typed error. The
// next commit builds on the durable state, so that no part of the failed batch gets into another revision. The reopened
// store has the same state.
func TestCommitOnFaultyDisk(t *testing.T) {
	for name, test := range map[string]struct {
		fault     commitFault
		cause     error
		wantAfter uint64 // the number of the next revision
	}{
		"no space at the first write":   {failWrite(1, syscall.ENOSPC, 0), syscall.ENOSPC, 2},
		"error in the first write":      {failWrite(1, syscall.EIO, 100), syscall.EIO, 2},
		"error in the second write":     {failWrite(2, syscall.EIO, 1000), syscall.EIO, 2},
		"sync of the pages":             {failSync(false), syscall.EINVAL, 2},
		"meta page not written":         {failMetaWrite(0), syscall.EIO, 2},
		"meta page cut":                 {failMetaWrite(40), syscall.EIO, 2},
		"meta page written, no success": {failMetaWrite(1 << 20), syscall.EIO, 3},
		"sync of the meta page":         {failSync(true), syscall.EINVAL, 3},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			s, f := newFaultyDatabase(t, dir)
			if err := pushContent(s, "1", "text"); err != nil {
				t.Fatal(err)
			}
			f.onWrite = test.fault(f)
			if _, err := s.Commit([]Change{moveAlias("failed", "q", "1")}); !errors.Is(err, ErrStorage) || !errors.Is(err, test.cause) {
				t.Errorf("%v, want %v", err, test.cause)
			}
			f.repair()
			s.View(func(state *State) {
				if state.Revision() != 1 {
					t.Errorf("revision %d is visible but was not acknowledged", state.Revision())
				}
			})
			if got, err := s.Commit([]Change{moveAlias("next", "q", "1")}); err != nil || got != test.wantAfter {
				t.Errorf("next commit: revision %d, %v; want %d", got, err, test.wantAfter)
			}
			checkAliases(t, s, test.wantAfter)
			_ = s.Close()
			s = mustOpenStore(t, dir, Options{})
			checkAliases(t, s, test.wantAfter)
			_ = s.Close()
		})
	}
}

// checkAliases expects the alias of the failed commit only if the next commit made revision 3, because then the failed
// one is revision 2. It also expects every revision to be kept.
func checkAliases(t *testing.T, s *Store, revision uint64) {
	t.Helper()
	s.View(func(state *State) {
		_, failed := state.Alias(AliasRef{"failed", "current"})
		_, next := state.Alias(AliasRef{"next", "current"})
		if state.Revision() != revision || failed != (revision == 3) || !next {
			t.Errorf("revision %d, aliases %v", state.Revision(), state.Aliases())
		}
		revisions, err := state.RevisionsAfter(1)
		if err != nil || len(revisions) != int(revision)-1 {
			t.Errorf("%v, %v", revisions, err)
		}
	})
}

// TestPartiallyWrittenCommit writes a commit's bytes in the order in which the database writes them, and opens the
// store after each changed byte. Its state must be the one before the commit or the one after it.
func TestPartiallyWrittenCommit(t *testing.T) {
	dir := t.TempDir()
	s := mustOpenStore(t, dir, Options{})
	if err := pushContent(s, "1", "text"); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, databaseFile)
	before, _ := os.ReadFile(path)
	pageSize := s.db.Info().PageSize
	if _, err := s.Commit([]Change{moveAlias("failed", "q", "1"), moveAlias("next", "q", "1")}); err != nil {
		t.Fatal(err)
	}
	_ = s.Close()
	after, _ := os.ReadFile(path)
	partial := bytes.Clone(after)
	copy(partial, before)
	order := make([]int, 0, len(after)) // offsets of all bytes, those of the meta pages last
	for i := 2 * pageSize; i < len(after); i++ {
		order = append(order, i)
	}
	for i := range 2 * pageSize {
		order = append(order, i)
	}
	outcomes := map[uint64]int{}
	for _, i := range order {
		if partial[i] == after[i] {
			continue
		}
		partial[i] = after[i]
		outcomes[openPartialCommit(t, dir, partial)]++
	}
	if outcomes[1] == 0 || outcomes[2] == 0 {
		t.Errorf("number of opened stores by revision: %v", outcomes)
	}
	t.Logf("number of opened stores by revision: %v", outcomes)
}

// openPartialCommit replaces the store's database, opens the store and returns its revision.
func openPartialCommit(t *testing.T, dir string, database []byte) uint64 {
	t.Helper()
	if err := os.WriteFile(filepath.Join(dir, databaseFile), database, 0o600); err != nil {
		t.Fatal(err)
	}
	s := mustOpenStore(t, dir, Options{})
	defer func() { _ = s.Close() }()
	var revision uint64
	s.View(func(state *State) {
		revision = state.Revision()
		if aliases := len(state.Aliases()); aliases != 2*int(revision-1) {
			t.Errorf("revision %d with %d aliases", revision, aliases)
		}
	})
	return revision
}
