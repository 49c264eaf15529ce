package config

import (
	"os"
	"path/filepath"
	"time"

	"github.com/fsnotify/fsnotify"
)

// PollInterval is the interval at which a file is read even without a file event, because events can be lost when many
// occur at once.
const PollInterval = time.Second

// follower is the state of one FollowFile. It belongs to that call's goroutine.
type follower struct {
	FileHandler
	path        string
	lastContent string
	readFailed  bool // the last read failed
	rejected    bool // Apply rejected lastContent
}

// FileHandler receives the reads of a file that FollowFile follows.
type FileHandler struct {
	Apply   func(raw []byte) error // is called with the content at the start and after each change
	Reject  func(error)            // is called if the file is unreadable, Apply fails or the file watch fails
	Confirm func(readAt time.Time) // is called after each read that found the content last applied; may be nil
}

// FollowFile reads a file now and after each change, and calls the handler. Content that Apply rejected is not applied
// again until it changes. FollowFile returns when stop is closed.
func FollowFile(path string, stop <-chan struct{}, handler FileHandler) {
	// Some systems allow few watches (inotify(7), max_user_instances). Without a watch the file is still polled, so
	// that changes of a worker list take effect.
	var events chan fsnotify.Event
	var errs chan error
	if watcher, err := fsnotify.NewWatcher(); err == nil {
		defer func() { _ = watcher.Close() }()
		// The directory is watched, because a watch on the file ends when a rename replaces the file.
		if err := watcher.Add(filepath.Dir(path)); err == nil {
			events, errs = watcher.Events, watcher.Errors
		}
	}
	f := &follower{path: path, FileHandler: handler}
	f.read()
	ticker := time.NewTicker(PollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case event := <-events:
			if filepath.Clean(event.Name) == filepath.Clean(path) && !event.Has(fsnotify.Chmod) {
				f.read()
			}
		case err := <-errs:
			handler.Reject(err)
		case <-ticker.C:
			f.read()
		}
	}
}

// read reads the file. It applies the content if it has changed or if the previous read failed.
func (f *follower) read() {
	readAt := time.Now()
	raw, err := os.ReadFile(f.path)
	if err != nil {
		if !f.readFailed { // reported once, not after each poll
			f.Reject(err)
		}
		f.readFailed = true
		return
	}
	if string(raw) != f.lastContent || f.readFailed {
		f.applyContent(raw)
	}
	if f.Confirm != nil && !f.rejected {
		f.Confirm(readAt)
	}
}

// applyContent applies the content and reports an error of Apply to Reject.
func (f *follower) applyContent(raw []byte) {
	f.lastContent = string(raw)
	f.readFailed = false
	err := f.Apply(raw)
	f.rejected = err != nil
	if err != nil {
		f.Reject(err)
	}
}
