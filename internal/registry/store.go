package registry

import (
	"errors"
	"os"
	"path/filepath"
	"sync"
	"time"

	bolt "go.etcd.io/bbolt"

	"github.com/topazfront/topazfront/internal/durable"
)

const (
	defaultMaxRevisions   = 1000
	defaultMaxContentSize = 1 << 30

	// databaseLockTimeout bounds the wait for another process that has the database open.
	databaseLockTimeout = time.Second

	directoryMode    = 0o755
	databaseFileMode = 0o600
)

// Names within a store's directory.
const (
	blobsDirectory     = "blobs" // contents, by digest
	temporaryDirectory = "tmp"   // contents that are being written
	databaseFile       = "state.db"
)

// Options configure a Store.
type Options struct {
	MaxRevisions   int   // revisions kept for those who watch; 0 means 1000
	MaxContentSize int64 // bytes of a plug-in, before compression; 0 means 1 GiB
	// Failpoint is nil, or is called before each step that changes the disk. Its error ends the operation there, as
	// a crash would. Tests use it.
	Failpoint func(step Step) error

	fileSystem       durable.FileSystem // of contents; nil: the system's own
	openDatabaseFile openFileFunc       // nil: os.OpenFile
}

// openFileFunc has the signature of os.OpenFile.
type openFileFunc func(path string, flag int, mode os.FileMode) (*os.File, error)

// withDefaults returns the options with the default of each one that is not set.
func (o Options) withDefaults() Options {
	if o.MaxRevisions == 0 {
		o.MaxRevisions = defaultMaxRevisions
	}
	if o.MaxContentSize == 0 {
		o.MaxContentSize = defaultMaxContentSize
	}
	if o.fileSystem == nil {
		o.fileSystem = durable.OS
	}
	if o.openDatabaseFile == nil {
		o.openDatabaseFile = os.OpenFile
	}
	return o
}

// Step names a step of an operation at which Options.Failpoint is called.
type Step string

// The steps, in the order of a push; StepRemoveBlob belongs to garbage collection.
const (
	StepCreateTempFile    Step = "blob: create"
	StepWriteBlob         Step = "blob: write"
	StepSyncBlob          Step = "blob: sync"
	StepRenameBlob        Step = "blob: rename"
	StepSyncDirectories   Step = "blob: sync folder"
	StepBeginTransaction  Step = "state: begin"
	StepWriteChange       Step = "state: put"
	StepCommitTransaction Step = "state: commit"
	StepAcknowledge       Step = "state: acknowledge"
	StepRemoveBlob        Step = "gc: remove"
)

// Store keeps a registry in a directory: contents as files named by their digests, all else in an embedded
// database whose commits are durable. A change is acknowledged once it is on disk; after a crash at any step the
// state is the one before a change or the one after it. One process has a directory open at a time.
//
// An operation that fails with ErrStorage can be repeated, and the store goes on once the directory works again. A sync
// that failed is never taken as made up for by a later one: what it was to make durable is written again before.
//
// All methods but Close may be called concurrently.
type Store struct {
	dir     string
	options Options
	db      *bolt.DB

	openedAt  time.Time
	publishMu sync.Mutex // serializes the renames of contents with the syncs of their directories

	mu            sync.RWMutex // guards what follows
	state         *State
	storedAt      map[Digest]time.Time // of contents stored since the store was opened, and not removed since
	readers       map[Digest]int       // number of open BlobReaders by content, without zeros
	undurable     map[Digest]bool      // contents whose names may not be durable, as a sync failed
	changed       chan struct{}        // closed at the next revision, and replaced
	commitOutcomeUnknown bool                 // a commit failed: recoverState reads what became of it
}

// OpenStore opens the store in a directory, which is created where it does not exist. Temporary files that a crash
// left behind are removed.
func OpenStore(dir string, options Options) (*Store, error) {
	s := &Store{
		dir:       dir,
		options:   options.withDefaults(),
		openedAt:  time.Now(),
		storedAt:  map[Digest]time.Time{},
		readers:   map[Digest]int{},
		undurable: map[Digest]bool{},
		changed:   make(chan struct{}),
	}
	for _, name := range []string{blobsDirectory, temporaryDirectory} {
		if err := s.options.fileSystem.MkdirAll(filepath.Join(dir, name), directoryMode); err != nil {
			return nil, storageError(err)
		}
	}
	created, err := s.createDatabase()
	if err != nil {
		return nil, err
	}
	if err := s.openDatabase(); err != nil {
		return nil, err
	}
	if err := s.recoverDirectory(); err != nil {
		if created { // its name may not be durable; nothing was acknowledged in it
			_ = os.Remove(s.databasePath())
		}
		_ = s.db.Close()
		return nil, err
	}
	return s, nil
}

// recoverDirectory makes the names that are there durable, reads the state and removes what a crash left half-written. The
// database is open, and so no other process changes the directory.
func (s *Store) recoverDirectory() error {
	if err := s.syncDirectories(); err != nil {
		return storageError(err)
	}
	if err := s.rewriteMetaPages(); err != nil {
		return storageError(err)
	}
	if err := s.loadState(); err != nil {
		return err
	}
	if err := s.removeTemporaryFiles(); err != nil {
		return storageError(err)
	}
	return nil
}

// syncDirectories makes the names of the store, of its database and of its directories durable.
func (s *Store) syncDirectories() error {
	for _, directory := range []string{filepath.Dir(filepath.Clean(s.dir)), s.dir, filepath.Join(s.dir, blobsDirectory)} {
		if err := s.options.fileSystem.SyncDirectory(directory); err != nil {
			return err
		}
	}
	return nil
}

// removeTemporaryFiles removes what a crash left half-written.
func (s *Store) removeTemporaryFiles() error {
	dir := filepath.Join(s.dir, temporaryDirectory)
	entries, err := os.ReadDir(dir)
	for _, entry := range entries {
		err = errors.Join(err, s.options.fileSystem.Remove(filepath.Join(dir, entry.Name())))
	}
	return err
}

// Close closes the database. The store must not be used afterwards.
func (s *Store) Close() error { return s.db.Close() }

// View calls f with the state under the store's lock. f must neither change nor keep the state, nor call methods of
// the store.
func (s *Store) View(f func(*State)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	f(s.state)
}

// Changed returns a channel that is closed when a revision after the present one is committed.
func (s *Store) Changed() <-chan struct{} {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.changed
}

// failpoint calls Options.Failpoint, where it is set.
func (s *Store) failpoint(step Step) error {
	if s.options.Failpoint == nil {
		return nil
	}
	return s.options.Failpoint(step)
}
