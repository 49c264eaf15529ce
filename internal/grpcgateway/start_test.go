package grpcgateway

import (
	"errors"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/topazfront/topazfront/internal/config"
	"github.com/topazfront/topazfront/internal/testsupport"
)

// TestStartOnOccupiedAddress: a gateway that can't listen reports why, and leaves nothing running.
func TestStartOnOccupiedAddress(t *testing.T) {
	occupied := testsupport.Listen(t)
	workerList := filepath.Join(t.TempDir(), "workers.json")
	if err := config.WriteWorkers(workerList, config.WorkerList{}); err != nil {
		t.Fatal(err)
	}
	cfg := testGatewayConfig(workerList)
	cfg.Listen = occupied.Addr().String()
	gateway, err := Start(cfg, Options{})
	if !errors.Is(err, syscall.EADDRINUSE) {
		t.Errorf("error %v, want that the address is in use", err)
	}
	if gateway != nil {
		t.Error("a gateway comes with the error")
	}
}
