package config

import (
	"encoding/json"
	"os"
)

// WriteJSON replaces a file's content by a value as JSON, atomically: a reader sees the old content or the new.
func WriteJSON(path string, value any) error {
	raw, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		return err
	}
	temporary := path + ".new"
	if err := os.WriteFile(temporary, raw, 0o644); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}
