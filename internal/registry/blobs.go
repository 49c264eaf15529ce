package registry

import (
	"crypto/sha256"
	"hash"
	"io"
	"path/filepath"

	"github.com/klauspost/compress/zstd"

	"github.com/topazfront/topazfront/internal/durable"
)

// blobSuffix ends the name of a content's file, which is compressed with zstd.
const blobSuffix = ".zst"

// blobPath returns the path of a content's file. A digest's text has only hexadecimal digits, so that the path stays
// within the store's directory.
func (s *Store) blobPath(digest Digest) string {
	name := digest.String()
	return filepath.Join(s.dir, blobsDirectory, name[:2], name+blobSuffix)
}

// PutContent stores content compressed and returns its digest and size. It is durable when PutContent returns;
// content that is stored already is stored again under the same name. Garbage collection may remove it, after a
// grace period, until a PushVersion refers to it. ErrContentTooLarge rejects content above Options.MaxContentSize; after
// ErrStorage the content must be stored again before a version can refer to it.
func (s *Store) PutContent(r io.Reader) (Content, error) {
	if err := s.failpoint(StepCreateTempFile); err != nil {
		return Content{}, err
	}
	file, err := s.options.fileSystem.CreateTemp(filepath.Join(s.dir, temporaryDirectory), "put-")
	if err != nil {
		return Content{}, storageError(err)
	}
	content, err := s.writeBlob(file, r)
	if closeErr := file.Close(); err == nil && closeErr != nil {
		err = storageError(closeErr)
	}
	if err == nil {
		s.recordStoreTime(content.Digest)
		err = s.publishBlob(file.Name(), content.Digest)
	}
	if err != nil {
		_ = s.options.fileSystem.Remove(file.Name())
		return Content{}, err
	}
	return content, nil
}

// writeBlob compresses r into a file and syncs it.
func (s *Store) writeBlob(file durable.File, r io.Reader) (Content, error) {
	encoder, err := zstd.NewWriter(storageWriter{file}, zstd.WithEncoderLevel(zstd.SpeedDefault), zstd.WithEncoderConcurrency(1))
	if err != nil {
		return Content{}, err
	}
	hasher := &boundedHasher{hash: sha256.New(), limit: s.options.MaxContentSize, next: encoder}
	if _, err = io.Copy(hasher, r); err == nil {
		err = s.failpoint(StepWriteBlob)
	}
	if closeErr := encoder.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = s.failpoint(StepSyncBlob)
	}
	if err == nil {
		if syncErr := file.Sync(); syncErr != nil {
			err = storageError(syncErr)
		}
	}
	content := Content{Size: hasher.size}
	hasher.hash.Sum(content.Digest[:0])
	return content, err
}

// publishBlob gives a finished temporary file its final name. Where that fails the content is undurable until it is
// stored again.
func (s *Store) publishBlob(temporaryPath string, digest Digest) error {
	if err := s.failpoint(StepRenameBlob); err != nil {
		return err
	}
	s.publishMu.Lock()
	defer s.publishMu.Unlock()
	err := s.renameBlob(temporaryPath, s.blobPath(digest))
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.undurable[digest] = true
		return err
	}
	delete(s.undurable, digest)
	return nil
}

// renameBlob renames a content's file and syncs the directories, since the name is durable only with them.
func (s *Store) renameBlob(temporaryPath, path string) error {
	fileSystem := s.options.fileSystem
	if err := fileSystem.MkdirAll(filepath.Dir(path), directoryMode); err != nil {
		return storageError(err)
	}
	if err := fileSystem.Rename(temporaryPath, path); err != nil {
		return storageError(err)
	}
	if err := s.failpoint(StepSyncDirectories); err != nil {
		return err
	}
	for _, dir := range []string{filepath.Dir(path), filepath.Join(s.dir, blobsDirectory)} {
		if err := fileSystem.SyncDirectory(dir); err != nil {
			return storageError(err)
		}
	}
	return nil
}

// storageWriter tells errors of the disk from those of the content's reader.
type storageWriter struct{ file durable.File }

// Write implements io.Writer.
func (w storageWriter) Write(p []byte) (int, error) {
	n, err := w.file.Write(p)
	if err != nil {
		err = storageError(err)
	}
	return n, err
}

// boundedHasher passes what is written on to next and hashes it. It fails with ErrContentTooLarge above its limit.
type boundedHasher struct {
	hash  hash.Hash
	size  int64 // bytes written
	limit int64 // bytes allowed
	next  io.Writer
}

// Write implements io.Writer.
func (h *boundedHasher) Write(p []byte) (int, error) {
	if h.size += int64(len(p)); h.size > h.limit {
		return 0, ErrContentTooLarge
	}
	h.hash.Write(p)
	return h.next.Write(p)
}
