package registry

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	bolt "go.etcd.io/bbolt"
)

// Commit makes a batch of changes one revision and returns its number once it is durable. A batch without effect
// returns the number of the present revision. The content of each PushVersion must have been stored with PutContent
// before.
//
// An error that wraps ErrStorage leaves open whether the revision is durable: it is whole or absent. The state is as
// before until the next Commit that the disk permits, or until the store is opened anew, either of which shows which.
// The same batch can be committed again: what has been done has no effect, but that a deletion may get ErrNotFound.
//
// An error that Options.Failpoint returns at StepAcknowledge means that the revision is durable all the same.
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
		return 0, fmt.Errorf("registry: revision %d is on disk and could not be applied: %w", revision.Number, err)
	}
	s.notifyWatchers()
	if err := s.failpoint(StepAcknowledge); err != nil { // durable, but the caller is not told so
		return 0, err
	}
	return revision.Number, nil
}

// recoverState opens the database anew after a commit that failed, makes durable what it holds, and takes that as the
// state. s.mu is held.
func (s *Store) recoverState() error {
	_ = s.db.Close() // what it could not do is left to the next
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

// notifyWatchers closes the channel that Changed returns, and replaces it. s.mu is held.
func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// checkContents returns ErrNotFound where the content of a pushed version is not stored, and ErrStorage where it may
// not be durable. s.mu is held.
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

// syncContents syncs the directories of pushed contents: an earlier process may have been killed between the rename of a
// content and the sync. s.mu is held.
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
