package registry

import (
	"fmt"
	"os"

	bolt "go.etcd.io/bbolt"
)

// Commit makes a batch of changes one revision and returns its number once it is durable. A batch without effect
// returns the number of the present revision. The content of each PushVersion must have been stored with PutContent
// before.
//
// An error that Options.Failpoint returns at StepAcknowledge means that the revision is durable all the same.
func (s *Store) Commit(batch []Change) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fatalErr != nil {
		return 0, s.fatalErr
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
		return 0, fmt.Errorf("registry: not committed: %w", err)
	}
	if err := s.state.Apply(*revision); err != nil {
		s.fatalErr = fmt.Errorf("registry: revision %d is on disk and could not be applied: %w", revision.Number, err)
		return 0, s.fatalErr
	}
	close(s.changed)
	s.changed = make(chan struct{})
	if err := s.failpoint(StepAcknowledge); err != nil { // durable, but the caller is not told so
		return 0, err
	}
	return revision.Number, nil
}

// checkContents returns ErrNotFound where the content of a pushed version is not stored.
func (s *Store) checkContents(revision *Revision) error {
	for _, change := range revision.Changes {
		push, ok := change.(PushVersion)
		if !ok {
			continue
		}
		if _, err := os.Stat(s.blobPath(push.Digest)); err != nil {
			return fmt.Errorf("%w: content %s of %s", ErrNotFound, push.Digest, push.VersionRef)
		}
	}
	return nil
}
