package config

import (
	"encoding/json"
	"os"
)

// WriteJSON replaces a file's content by a value as JSON, atomically: a reader sees the old content or the new. It is for
// what is written anew at each start, and not synced: after a loss of power the file may be as before, or empty.
func WriteJSON(path string, value any) error {
	raw, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		return err
	}
	temporary := path + ".new"
	if err := os.WriteFile(temporary, raw, 0o644); err != nil {
		_ = os.Remove(temporary) // on a full disk it would keep the space
		return err
	}
	return os.Rename(temporary, path)
}
