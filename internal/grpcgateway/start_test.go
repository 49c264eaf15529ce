package grpcgateway

import (
	"errors"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/topazfront/topazfront/internal/config"
	"github.com/topazfront/topazfront/internal/testsupport"
)

// TestStartOnOccupiedAddress checks that Start returns the error and no gateway if it can't listen on its address.
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
		t.Errorf("error %v, want EADDRINUSE", err)
	}
	if gateway != nil {
		t.Error("Start returned a gateway together with the error")
	}
}
