package config

import (
	"encoding/json"
	"os"
)

// WriteJSON atomically replaces a file with a value as JSON: a reader sees either the old content or the new. The file
// is not synced, so after a power failure it may have the old content or be empty. Use it for files that are written
// again at each start.
func WriteJSON(path string, value any) error {
	raw, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		return err
	}
	temporary := path + ".new"
	if err := os.WriteFile(temporary, raw, 0o644); err != nil {
		_ = os.Remove(temporary) // it would keep using space on a full disk
		return err
	}
	return os.Rename(temporary, path)
}
