package registry

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	bolt "go.etcd.io/bbolt"
)

// Commit commits a batch of changes as one revision and returns the revision's number once it is durable. For a batch
// without effect it returns the number of the current revision. The content of each PushVersion must have been stored
// with PutContent before.
//
// After an error that wraps ErrStorage it is unknown whether the revision is durable; it is either complete or absent.
// The state stays unchanged until a later Commit can read the database, or until the store is opened again; then the
// state shows which was the case. The same batch can be committed again: changes that were made have no effect, except
// that a deletion may fail with ErrNotFound.
//
// If Options.Failpoint returns an error at StepAcknowledge, Commit returns that error although the revision is durable.
func (s *Store) Commit(batch []Change) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.commitOutcomeUnknown {
		if err := s.recoverState(); err != nil {
			return 0, err
		}
	}
	revision, err := s.state.Prepare(batch)
	if err != nil || revision == nil {
		return s.state.Revision(), err
	}
	if err := s.checkContents(revision); err != nil {
		return 0, err
	}
	if err := s.failpoint(StepBeginTransaction); err != nil {
		return 0, err
	}
	err = s.db.Update(func(tx *bolt.Tx) error {
		if err := s.writeRevision(tx, revision); err != nil {
			return err
		}
		return s.failpoint(StepCommitTransaction)
	})
	if err != nil {
		s.commitOutcomeUnknown = true
		return 0, fmt.Errorf("registry: revision %d not acknowledged: %w", revision.Number, storageError(err))
	}
	if err := s.state.Apply(*revision); err != nil {
		s.commitOutcomeUnknown = true
		return 0, fmt.Errorf("registry: revision %d was committed but could not be applied: %w", revision.Number, err)
	}
	s.notifyWatchers()
	if err := s.failpoint(StepAcknowledge); err != nil { // the revision is durable, although the caller gets an error
		return 0, err
	}
	return revision.Number, nil
}

// recoverState reopens the database after a failed commit, makes its content durable and reads the state from it. The
// caller holds s.mu.
func (s *Store) recoverState() error {
	_ = s.db.Close() // the reopened database replaces it even if closing fails
	if err := s.openDatabase(); err != nil {
		return err
	}
	if err := s.rewriteMetaPages(); err != nil {
		return storageError(err)
	}
	state, err := s.readState()
	if err != nil {
		return storageError(err)
	}
	s.commitOutcomeUnknown = false
	if state.Revision() != s.state.Revision() {
		s.state = state
		s.notifyWatchers()
	}
	return nil
}

// notifyWatchers closes and replaces the channel that Changed returns. The caller holds s.mu.
func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// checkContents returns ErrNotFound if the content of a pushed version is not stored, and ErrStorage if it may not be
// durable. The caller holds s.mu.
func (s *Store) checkContents(revision *Revision) error {
	directories := map[string]bool{}
	for _, change := range revision.Changes {
		push, ok := change.(PushVersion)
		if !ok {
			continue
		}
		path := s.blobPath(push.Digest)
		_, err := os.Stat(path)
		switch {
		case errors.Is(err, fs.ErrNotExist):
			return fmt.Errorf("%w: content %s of %s", ErrNotFound, push.Digest, push.VersionRef)
		case err != nil:
			return fmt.Errorf("content %s of %s: %w", push.Digest, push.VersionRef, storageError(err))
		case s.undurable[push.Digest]:
			return fmt.Errorf("%w: content %s of %s must be stored again", ErrStorage, push.Digest, push.VersionRef)
		}
		directories[filepath.Dir(path)] = true
	}
	return s.syncContents(revision, directories)
}

// syncContents syncs the directories of pushed contents, because an earlier process may have been killed between the
// rename of a content's file and the sync. The caller holds s.mu.
func (s *Store) syncContents(revision *Revision, directories map[string]bool) error {
	for directory := range directories {
		if err := s.options.fileSystem.SyncDirectory(directory); err != nil {
			for _, change := range revision.Changes {
				if push, ok := change.(PushVersion); ok {
					s.undurable[push.Digest] = true
				}
			}
			return storageError(err)
		}
	}
	return nil
}
