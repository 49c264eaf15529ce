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

// nodeConfigVariable is the environment variable that has the test binary run a router, by the configuration file that it
// names, in place of the tests.
const nodeConfigVariable = "SOAK_TEST_CONFIG"

func TestMain(m *testing.M) {
	path := os.Getenv(nodeConfigVariable)
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
	const exitAtOnce = "GORACE=atexit_sleep_ms=0" // the race detector else sleeps for a second at the end
	command.Env = append(os.Environ(), nodeConfigVariable+"="+configPath, exitAtOnce)
	return command
}

// requirePassed plays a schedule and fails the test with the timeline of its first violation.
func requirePassed(t *testing.T, s Schedule) {
	t.Helper()
	playing <- struct{}{}
	defer func() { <-playing }()
	report, err := Run(s, Options{NodeCommand: nodeCommand})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d calls, %.4f served, slack %v", report.Calls, report.ServedShare, report.Slack)
	const most = 8 // lines of each kind
	for i, failure := range report.Failures {
		if i == most {
			t.Errorf("and %d more", len(report.Failures)-most)
			break
		}
		t.Error(failure)
	}
	for _, line := range report.Timeline {
		t.Log(line)
	}
}

// usualSchedule is a small fleet without faults.
func usualSchedule() Schedule {
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

// playing limits how many schedules are played at once: on a machine that is busy, the routers would wait for a processor.
var playing = make(chan struct{}, 3)
