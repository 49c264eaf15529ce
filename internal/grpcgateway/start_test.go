package grpcgateway

import (
	"errors"
	"net"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/topazfront/topazfront/internal/config"
)

// TestStartOnOccupiedAddress: a gateway that can't listen reports why, and leaves nothing running.
func TestStartOnOccupiedAddress(t *testing.T) {
	occupied, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = occupied.Close() })
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
