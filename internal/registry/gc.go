package registry

import (
	"io/fs"
	"path/filepath"
	"strings"
	"time"
)

// CollectGarbage removes content that no version refers to and no BlobReader reads. It returns the digests of the
// removed content or, with dryRun, of the content that it would remove. Content stored less than gracePeriod ago is
// kept, because a PushVersion may be about to refer to it. Content stored before the store was opened counts as stored
// at that time. File times are not used, because they are wall clock times and the wall clock may have been set since.
func (s *Store) CollectGarbage(gracePeriod time.Duration, dryRun bool) ([]Digest, error) {
	referenced := s.referencedDigests()
	var removed []Digest
	visit := func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		digest, err := ParseDigest(strings.TrimSuffix(entry.Name(), blobSuffix))
		if err != nil {
			return nil // not a content file, so it is kept
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

// recordStoreTime starts the grace period of content that is about to be published.
func (s *Store) recordStoreTime(digest Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storedAt[digest] = time.Now()
}

// storedBefore reports whether content was stored at least gracePeriod ago.
func (s *Store) storedBefore(digest Digest, gracePeriod time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	storedAt, known := s.storedAt[digest]
	if !known {
		storedAt = s.openedAt
	}
	return time.Since(storedAt) >= gracePeriod
}

// referencedDigests returns the digests that versions refer to.
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

// removeUnused removes a content's file, unless the content has become referenced or has a reader. With dryRun it only
// reports whether it would. The lock prevents a Commit from referring to the content, and a reader from opening it,
// during the removal.
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

// isReferenced reports whether any version refers to a digest. The caller holds s.mu.
func (s *Store) isReferenced(digest Digest) bool {
	for _, content := range s.state.versions {
		if content.Digest == digest {
			return true
		}
	}
	return false
}
