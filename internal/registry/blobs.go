package registry

import (
	"crypto/sha256"
	"fmt"
	"hash"
	"io"
	"os"
	"path/filepath"

	"github.com/klauspost/compress/zstd"
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
// grace period, until a PushVersion refers to it. ErrContentTooLarge rejects content above Options.MaxContentSize.
func (s *Store) PutContent(r io.Reader) (Content, error) {
	if err := s.failpoint(StepCreateTempFile); err != nil {
		return Content{}, err
	}
	file, err := os.CreateTemp(filepath.Join(s.dir, temporaryDirectory), "put-")
	if err != nil {
		return Content{}, fmt.Errorf("registry: %w", err)
	}
	content, err := s.writeBlob(file, r)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		s.noteStored(content.Digest)
		err = s.publishBlob(file.Name(), content.Digest)
	}
	if err != nil {
		_ = os.Remove(file.Name())
		return Content{}, err
	}
	return content, nil
}

// writeBlob compresses r into a file and syncs it.
func (s *Store) writeBlob(file *os.File, r io.Reader) (Content, error) {
	encoder, err := zstd.NewWriter(file, zstd.WithEncoderLevel(zstd.SpeedDefault), zstd.WithEncoderConcurrency(1))
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
		err = file.Sync()
	}
	content := Content{Size: hasher.size}
	hasher.hash.Sum(content.Digest[:0])
	return content, err
}

// publishBlob gives a finished temporary file its final name. The directories are synced too, since the name is
// durable only with them.
func (s *Store) publishBlob(temporaryPath string, digest Digest) error {
	if err := s.failpoint(StepRenameBlob); err != nil {
		return err
	}
	path := s.blobPath(digest)
	if err := os.MkdirAll(filepath.Dir(path), directoryMode); err != nil {
		return fmt.Errorf("registry: %w", err)
	}
	if err := os.Rename(temporaryPath, path); err != nil {
		return fmt.Errorf("registry: %w", err)
	}
	if err := s.failpoint(StepSyncDirectories); err != nil {
		return err
	}
	for _, dir := range []string{filepath.Dir(path), filepath.Join(s.dir, blobsDirectory)} {
		if err := syncDirectory(dir); err != nil {
			return fmt.Errorf("registry: %w", err)
		}
	}
	return nil
}

func syncDirectory(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	err = dir.Sync()
	_ = dir.Close()
	return err
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
