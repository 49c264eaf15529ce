package soak

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"github.com/topazfront/topazfront/internal/httprouter"
)

// routerConfigVariable is an environment variable with the path of a configuration file. If it is set, the test
// binary runs a router with this configuration in place of the tests.
const routerConfigVariable = "SOAK_TEST_CONFIG"

func TestMain(m *testing.M) {
	path := os.Getenv(routerConfigVariable)
	if path == "" {
		os.Exit(m.Run())
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	if err := httprouter.Run(ctx, path, slog.New(slog.NewTextHandler(os.Stderr, nil))); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1) //nolint:gocritic // nothing is left to clean up
	}
}

// nodeCommand runs the test binary as a router.
func nodeCommand(configPath string) *exec.Cmd {
	command := exec.Command(os.Args[0])
	const exitAtOnce = "GORACE=atexit_sleep_ms=0" // otherwise the race detector sleeps for a second on exit
	command.Env = append(os.Environ(), routerConfigVariable+"="+configPath, exitAtOnce)
	return command
}

// requirePassed runs a schedule. If the run does not pass, the test fails and logs the timeline of the first violation.
func requirePassed(t *testing.T, s Schedule) {
	t.Helper()
	runSlots <- struct{}{}
	defer func() { <-runSlots }()
	report, err := Run(s, Options{NodeCommand: nodeCommand})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d calls, %.4f served, slack %v", report.Calls, report.ServedShare, report.Slack)
	const maxFailureLines = 8
	for i, failure := range report.Failures {
		if i == maxFailureLines {
			t.Errorf("and %d more", len(report.Failures)-maxFailureLines)
			break
		}
		t.Error(failure)
	}
	for _, line := range report.Timeline {
		t.Log(line)
	}
}

// baseSchedule returns the schedule of a small fleet without faults.
func baseSchedule() Schedule {
	return Schedule{
		Seed:           1,
		Routers:        3,
		Workers:        16,
		CallRate:       60,
		Duration:       8 * time.Second,
		Settings:       Settings{DrainGrace: 500 * time.Millisecond, Deadline: 780 * time.Millisecond, HealthChecksAllowed: true},
		MinServedShare: 0.95,
		FunctionSkew:   1.3,
	}
}

// runSlots limits the number of concurrent runs. With more of them, the routers would have to wait for a processor.
var runSlots = make(chan struct{}, 3)
