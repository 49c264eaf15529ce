package registry

import (
	"io/fs"
	"path/filepath"
	"strings"
	"time"
)

// CollectGarbage removes content that no version refers to and nobody reads, and returns what it removed or, with
// dryRun, what it would remove. Content younger than gracePeriod is left alone, since a PushVersion may be about to
// refer to it. Content of before the store was opened counts as old as that: the files' times are by the wall clock,
// which may have been set since.
func (s *Store) CollectGarbage(gracePeriod time.Duration, dryRun bool) ([]Digest, error) {
	referenced := s.referencedDigests()
	var removed []Digest
	visit := func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		digest, err := ParseDigest(strings.TrimSuffix(entry.Name(), blobSuffix))
		if err != nil {
			return nil // a file of another kind is not for this program to remove
		}
		if referenced[digest] || !s.storedBefore(digest, gracePeriod) {
			return nil
		}
		ok, err := s.removeUnused(path, digest, dryRun)
		if ok {
			removed = append(removed, digest)
		}
		return err
	}
	err := filepath.WalkDir(filepath.Join(s.dir, blobsDirectory), visit)
	return removed, err
}

// recordStoreTime begins the grace period of a content that is about to be published.
func (s *Store) recordStoreTime(digest Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storedAt[digest] = time.Now()
}

// storedBefore reports whether a content was stored longer ago than a time.
func (s *Store) storedBefore(digest Digest, gracePeriod time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	storedAt, known := s.storedAt[digest]
	if !known {
		storedAt = s.openedAt
	}
	return time.Since(storedAt) >= gracePeriod
}

// referencedDigests returns the contents that versions refer to.
func (s *Store) referencedDigests() map[Digest]bool {
	referenced := map[Digest]bool{}
	s.View(func(state *State) {
		for _, ref := range state.Versions() {
			content, _ := state.Version(ref)
			referenced[content.Digest] = true
		}
	})
	return referenced
}

// removeUnused removes a content's file, or with dryRun does as if, unless the content is referenced or read by now.
// The lock keeps a Commit from referring to it and a reader from opening it meanwhile.
func (s *Store) removeUnused(path string, digest Digest, dryRun bool) (removed bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readers[digest] > 0 || s.isReferenced(digest) {
		return false, nil
	}
	if dryRun {
		return true, nil
	}
	if err := s.failpoint(StepRemoveBlob); err != nil {
		return false, err
	}
	if err := s.options.fileSystem.Remove(path); err != nil {
		return false, storageError(err)
	}
	delete(s.storedAt, digest)
	delete(s.undurable, digest)
	return true, nil
}

// isReferenced reports whether a version refers to a content. The caller holds s.mu.
func (s *Store) isReferenced(digest Digest) bool {
	for _, content := range s.state.versions {
		if content.Digest == digest {
			return true
		}
	}
	return false
}
