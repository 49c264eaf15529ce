package registry

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	bolt "go.etcd.io/bbolt"
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
// All methods but Close may be called concurrently.
type Store struct {
	dir     string
	options Options
	db      *bolt.DB

	openedAt time.Time

	mu       sync.RWMutex // guards what follows
	state    *State
	storedAt map[Digest]time.Time // of contents stored since the store was opened, and not removed since
	readers  map[Digest]int       // number of open BlobReaders by content, without zeros
	changed  chan struct{}        // closed at the next revision, and replaced
	fatalErr error                // the database is ahead of the state: no commit is accepted any more
}

// OpenStore opens the store in a directory, which is created where it does not exist. Temporary files that a crash
// left behind are removed.
func OpenStore(dir string, options Options) (*Store, error) {
	if options.MaxRevisions == 0 {
		options.MaxRevisions = defaultMaxRevisions
	}
	if options.MaxContentSize == 0 {
		options.MaxContentSize = defaultMaxContentSize
	}
	for _, name := range []string{blobsDirectory, temporaryDirectory} {
		if err := os.MkdirAll(filepath.Join(dir, name), directoryMode); err != nil {
			return nil, fmt.Errorf("registry: %w", err)
		}
	}
	path := filepath.Join(dir, databaseFile)
	db, err := bolt.Open(path, databaseFileMode, &bolt.Options{Timeout: databaseLockTimeout})
	if err != nil {
		return nil, fmt.Errorf("registry: %s: %w", path, err)
	}
	s := &Store{dir: dir, options: options, db: db, openedAt: time.Now(), storedAt: map[Digest]time.Time{},
		readers: map[Digest]int{}, changed: make(chan struct{})}
	if err := s.load(); err != nil {
		_ = db.Close()
		return nil, err
	}
	if err := s.removeTemporaryFiles(); err != nil {
		_ = db.Close()
		return nil, fmt.Errorf("registry: %w", err)
	}
	return s, nil
}

// removeTemporaryFiles removes what a crash left half-written.
func (s *Store) removeTemporaryFiles() error {
	dir := filepath.Join(s.dir, temporaryDirectory)
	entries, err := os.ReadDir(dir)
	for _, entry := range entries {
		err = errors.Join(err, os.Remove(filepath.Join(dir, entry.Name())))
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
