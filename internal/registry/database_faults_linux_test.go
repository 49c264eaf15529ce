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

// faultyDatabase puts itself between a database and its file. bbolt has no seam for that, so its hook for tests is set by
// reflection, and a sync fails as the descriptor is another file's meanwhile: fdatasync of /dev/null is EINVAL.
type faultyDatabase struct {
	t     *testing.T
	db    *bolt.DB
	file  *os.File // the database's
	saved *os.File // a second descriptor of the same open file
	// onWrite is called for each write of the commit, counted from 1, and returns how many bytes to write and the error.
	onWrite func(n int, p []byte, offset int64) (int, error)
	writes  int
}

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

// breakSync makes syncs fail until repair.
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

// repair ends all faults. The second descriptor is closed, as it would keep the lock of the file.
func (f *faultyDatabase) repair() {
	f.onWrite, f.writes = nil, 0
	if err := unix.Dup3(int(f.saved.Fd()), int(f.file.Fd()), unix.O_CLOEXEC); err != nil {
		f.t.Fatal(err)
	}
	_ = f.saved.Close()
}

func (f *faultyDatabase) isMetaPage(offset int64) bool { return offset < 2*int64(f.db.Info().PageSize) }

// commitFault returns what is called for each write of a commit.
type commitFault func(f *faultyDatabase) func(n int, p []byte, offset int64) (int, error)

// failWrite makes a write fail after some bytes, and all after it.
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

// failSync makes the sync of the pages fail, or that of the meta page.
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

// failMetaWrite makes the write of the meta page fail after some bytes.
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

// TestCommitOnFaultyDisk fails the writes and the syncs of a commit. The caller gets a typed error; the next commit
// that the disk permits follows on what is durable, so that nothing of the batch that failed is mixed into another
// revision; opened anew, the store is the same.
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
					t.Errorf("revision %d is shown and was not acknowledged", state.Revision())
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

// checkAliases expects the alias of a commit that failed if the next one's revision is the third, and a revision's
// changes in each revision.
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

// TestPartiallyWrittenCommit writes the pages of a commit in the order of a database, up to each byte that differs, and
// opens the store: it is as before the commit, or as after it.
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
	order := make([]int, 0, len(after)) // of the bytes that the commit changed, the meta pages last
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
		t.Errorf("times that a revision was found: %v", outcomes)
	}
	t.Logf("times that a revision was found: %v", outcomes)
}

// openPartialCommit opens the store with that database and returns its revision.
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
