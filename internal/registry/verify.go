package registry

import "io"

// Verify reads the content of every version and returns the errors by version. progress, if not nil, is called after
// each version.
func (s *Store) Verify(progress func(done, total int)) map[VersionRef]error {
	contents := map[VersionRef]Content{}
	s.View(func(state *State) {
		for _, ref := range state.Versions() {
			contents[ref], _ = state.Version(ref)
		}
	})
	failures, done := map[VersionRef]error{}, 0
	for ref, content := range contents {
		if err := s.verifyContent(content); err != nil {
			failures[ref] = err
		}
		if done++; progress != nil {
			progress(done, len(contents))
		}
	}
	return failures
}

// verifyContent reads content to its end, because BlobReader checks the digest there.
func (s *Store) verifyContent(content Content) error {
	r, err := s.OpenContent(content)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, r)
	_ = r.Close()
	return err
}
