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

	// databaseLockTimeout bounds the wait for the lock of a database that another process has open.
	databaseLockTimeout = time.Second

	directoryMode    = 0o755
	databaseFileMode = 0o600
)

// Names within a store's directory.
const (
	blobsDirectory     = "blobs" // contents, named by digest
	temporaryDirectory = "tmp"   // files that are being written
	databaseFile       = "state.db"
)

// Options configures a Store.
type Options struct {
	MaxRevisions   int   // revisions kept for watchers; 0 means 1000
	MaxContentSize int64 // in bytes, before compression; 0 means 1 GiB
	// Failpoint, if not nil, is called before each step that changes the disk. An error that it returns ends the
	// operation at that step, as a crash would. It is for tests.
	Failpoint func(step Step) error

	fileSystem       durable.FileSystem // for contents; nil means durable.OS
	openDatabaseFile openFileFunc       // nil means os.OpenFile
}

// openFileFunc has the signature of os.OpenFile.
type openFileFunc func(path string, flag int, mode os.FileMode) (*os.File, error)

// withDefaults returns the options with unset ones replaced by their defaults.
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

// Step identifies a step of an operation at which Options.Failpoint is called.
type Step string

// The steps, in the order in which a version is stored and committed. StepRemoveBlob is a step of garbage collection.
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

// Store persists a registry in a directory: contents in files named by their digests, everything else in an embedded
// database whose commits are durable. A change is acknowledged once it is on disk. After a crash at any step, the state
// is either the one before a change or the one after it. Only one process can have a directory open at a time.
//
// An operation that fails with ErrStorage can be retried; the store works again once the disk does. A later successful
// sync does not make up for a failed one, because the failed sync may have discarded the data: the data is written
// again before it is synced again.
//
// All methods except Close may be called concurrently.
type Store struct {
	dir     string
	options Options
	db      *bolt.DB

	openedAt  time.Time
	publishMu sync.Mutex // makes a content's rename and the syncs of its directories one critical section

	mu                   sync.RWMutex // guards the fields below
	state                *State
	storedAt             map[Digest]time.Time // for contents stored since the store was opened and not removed
	readers              map[Digest]int       // number of open BlobReaders by content; has no zero counts
	undurable            map[Digest]bool      // contents that may not be durable, because a rename or sync failed
	changed              chan struct{}        // closed and replaced at the next revision
	commitOutcomeUnknown bool                 // a commit failed; recoverState finds out whether it is durable
}

// OpenStore opens the store in a directory, and creates the directory if it does not exist. It removes temporary files
// that a crash left behind.
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
		if created { // its name may not be durable, and it has no acknowledged changes
			_ = os.Remove(s.databasePath())
		}
		_ = s.db.Close()
		return nil, err
	}
	return s, nil
}

// recoverDirectory makes the existing directory entries durable, reads the state and removes temporary files. The open
// database's lock prevents other processes from changing the directory.
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

// syncDirectories makes the directory entries of the store, its database and its subdirectories durable.
func (s *Store) syncDirectories() error {
	for _, directory := range []string{filepath.Dir(filepath.Clean(s.dir)), s.dir, filepath.Join(s.dir, blobsDirectory)} {
		if err := s.options.fileSystem.SyncDirectory(directory); err != nil {
			return err
		}
	}
	return nil
}

// removeTemporaryFiles removes partially written files that a crash left behind.
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

// View calls f with the state while holding the store's lock. f must not change or retain the state, or call methods of
// the store.
func (s *Store) View(f func(*State)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	f(s.state)
}

// Changed returns a channel that is closed when the next revision is committed.
func (s *Store) Changed() <-chan struct{} {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.changed
}

// failpoint calls Options.Failpoint if it is set.
func (s *Store) failpoint(step Step) error {
	if s.options.Failpoint == nil {
		return nil
	}
	return s.options.Failpoint(step)
}
