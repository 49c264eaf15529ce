package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/topazfront/topazfront/internal/config"
	"github.com/topazfront/topazfront/internal/fake/fakeworker"
)

// Properties of the fake workers, their models and their store.
const (
	fakeWorkerKind     = "box"
	fakeWorkerMemoryMB = 4000
	fakeModelClass     = "quote"
	fakeModelMemoryMB  = 200
	fakeConcurrency    = 2
	fakeLoadTime       = 300 * time.Millisecond
	fakeFetchesPerSec  = 50
	fakeMaxFetches     = 100
)

type fakeWorkerCmd struct {
	Workers int      `default:"3" help:"Number of workers."`
	Dir     string   `default:"." type:"existingdir" help:"Folder for the worker list (workers.json) and the gateway's settings (gateway.json)."`
	Model   []string `default:"quote,award" help:"Models that the workers can load."`
	Listen  string   `default:"127.0.0.1:9000" help:"Listen address of the gateway in the written settings."`
}

// Run starts the workers, writes workers.json and gateway.json, and waits until ctx is done.
func (c fakeWorkerCmd) Run(ctx context.Context) error {
	store, deduplicator := fakeworker.NewStore(fakeFetchesPerSec, fakeMaxFetches), fakeworker.NewDeduplicator()
	models := map[string]fakeworker.Model{}
	for _, name := range c.Model {
		models[name] = fakeworker.Model{Name: name, Class: fakeModelClass, MemoryMB: fakeModelMemoryMB,
			ConcurrencyPerInstance: fakeConcurrency, LoadTime: fakeLoadTime}
	}
	var list config.WorkerList
	for i := range c.Workers {
		w, err := fakeworker.Start(fakeworker.Config{
			ID:               fmt.Sprintf("w%d", i),
			Cores:            4,
			Speed:            1,
			MemoryMB:         fakeWorkerMemoryMB,
			QueueLength:      100,
			ConcurrentLoads:  4,
			IdleResidency:    10 * time.Second,
			LoadsOnCacheMiss: true,
			AddsCopies:       true,
			Store:            store,
			Deduplicator:     deduplicator,
			Seed:             uint64(i),
			Models:           models,
			ReportsLoad:      true,
			DefaultLoadTime:  fakeLoadTime,
		})
		if err != nil {
			return err
		}
		defer w.Kill()
		list.Workers = append(list.Workers, config.Worker{ID: w.ID(), Address: w.Addr(), Kind: fakeWorkerKind, State: "on"})
		fmt.Printf("worker %s on %s, models %s\n", w.ID(), w.Addr(), strings.Join(c.Model, ", "))
	}
	if err := config.WriteWorkers(filepath.Join(c.Dir, "workers.json"), list); err != nil {
		return err
	}
	settingsFile, err := c.writeSettings()
	if err != nil {
		return err
	}
	fmt.Printf("now: topazfront serve --config %s\nthen: topazfront call --address %s --model %s --stream --param %s=5\n",
		settingsFile, c.Listen, c.Model[0], fakeworker.ParamMessages)
	<-ctx.Done()
	return nil
}

// writeSettings writes the settings of a gateway for these workers and returns the path of the file.
func (c fakeWorkerCmd) writeSettings() (string, error) {
	settings := map[string]any{
		"listen":  c.Listen,
		"workers": map[string]any{"file": "workers.json"},
		"kinds":   []any{map[string]any{"name": fakeWorkerKind, "memory_mb": fakeWorkerMemoryMB}},
		"classes": []any{map[string]any{"name": fakeModelClass, "aim_ms": 1000, "deadline_ms": 3000, "worth": 1, "effect": "safe"}},
		"default_model": map[string]any{"class": fakeModelClass, "memory_mb": fakeModelMemoryMB, "lanes": fakeConcurrency,
			"load_ms": fakeLoadTime.Milliseconds()},
	}
	raw, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(c.Dir, "gateway.json")
	return path, os.WriteFile(path, append(raw, '\n'), 0o644)
}
