package main

import (
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"

	"github.com/topazfront/topazfront/internal/config"
	"github.com/topazfront/topazfront/internal/durable"
	"github.com/topazfront/topazfront/internal/gossip/agent"
)

type gossipKeygenCmd struct {
	ID   string `required:"" help:"ID of the router that the key is for."`
	Key  string `required:"" help:"Name of the key, such as the month in which it was generated."`
	File string `required:"" type:"path" help:"File for the private key; an existing file is replaced only with --overwrite."`

	Overwrite bool `aliases:"over" help:"Replace an existing file atomically."`
}

// Run writes the private key and prints the public one.
func (c *gossipKeygenCmd) Run() error {
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return err
	}
	raw, err := config.FormatKey(agent.Key{Name: c.Key, Private: private})
	if err != nil {
		return err
	}
	if _, err := config.ParseKey(c.File, raw); err != nil { // the name of the key is invalid
		return err
	}
	if _, err := os.Stat(c.File); !errors.Is(err, fs.ErrNotExist) && !c.Overwrite {
		if err != nil { // the file may exist, so it is not replaced
			return err
		}
		return fmt.Errorf("%s already exists; use --overwrite to replace it", c.File)
	}
	if err := durable.ReplaceFile(durable.OS, c.File, raw, 0o600); err != nil {
		return err
	}
	line, err := json.Marshal(config.Member{ID: c.ID, Keys: []config.MemberKey{{ID: c.Key,
		PublicKey: base64.StdEncoding.EncodeToString(public)}}})
	if err != nil {
		return err
	}
	fmt.Println(string(line))
	return nil
}
