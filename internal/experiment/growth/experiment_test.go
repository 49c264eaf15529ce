package growth

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/topazfront/topazfront/internal/httprouter"
)

// nodeConfigVariable is an environment variable. If it is set, the test binary runs a router with the configuration
// file that it names, and no tests.
const nodeConfigVariable = "GROWTH_TEST_CONFIG"

func TestMain(m *testing.M) {
	if path := os.Getenv(nodeConfigVariable); path != "" {
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
		defer stop()
		if err := httprouter.Run(ctx, path, slog.New(slog.NewJSONHandler(os.Stderr, nil))); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// testOptions returns the options of an experiment that takes a few seconds.
func testOptions() Options {
	return Options{
		UsualSizes: []int{60}, Sizes: []int{960}, Disruptions: []Disruption{Calm, Surge, Outage}, Nodes: 1,
		Duration: 3 * time.Second, CallsPerSecond: 20, Functions: 50, MemoryMB: 64, Cores: 1, Descriptors: 512, Seed: 1,
		NodeCommand: func(configPath string) *exec.Cmd {
			command := exec.Command(os.Args[0])
			command.Env = append(os.Environ(), nodeConfigVariable+"="+configPath)
			return command
		},
	}
}

// loadIndependentCriteria are the names of the criteria that don't depend on the load of the machine.
var loadIndependentCriteria = map[string]bool{"descriptors": true, "connections made": true, "list bytes": true}

// TestGrowth compares 960 workers with 60. Processor time, peak memory and the share of served calls depend on the load
// of the machine, so the test logs them but doesn't check them against their allowances.
func TestGrowth(t *testing.T) {
	report, err := Run(t.Context(), testOptions())
	if err != nil {
		t.Fatal(err)
	}
	var table bytes.Buffer
	if err := report.Print(&table); err != nil {
		t.Fatal(err)
	}
	t.Logf("\n%s", table.String())
	if want := len(criteria) * 3; len(report.Verdicts) != want || len(report.Measurements) != 6 {
		t.Fatalf("%d verdicts, want %d; %d measurements", len(report.Verdicts), want, len(report.Measurements))
	}
	for _, v := range report.Verdicts {
		if loadIndependentCriteria[v.Criterion] && !v.Passed {
			t.Errorf("%s: %s: %v, at most %v allowed", v.Disruption, v.Criterion, v.Figure, v.Allowed)
		}
	}
	for _, m := range report.Measurements {
		if m.Figures.ShareServed == 0 || m.Figures.Connections == 0 || m.Figures.CPUSeconds == 0 {
			t.Errorf("%d workers, %s: %+v", m.Workers, m.Disruption, m.Figures)
		}
	}
	path := filepath.Join(t.TempDir(), "growth.svg")
	if err := report.WritePlot(path); err != nil {
		t.Fatal(err)
	}
	if svg, err := os.ReadFile(path); err != nil || !strings.Contains(string(svg), "list bytes") {
		t.Errorf("plot of %d bytes has no title of a criterion: %v", len(svg), err)
	}
}

func TestInvalidOptions(t *testing.T) {
	for name, change := range map[string]func(*Options){
		"no usual size":  func(o *Options) { o.UsualSizes = nil },
		"size of zero":   func(o *Options) { o.Sizes = []int{0} },
		"no run":         func(o *Options) { o.Disruptions = nil },
		"no router":      func(o *Options) { o.Nodes = 0 },
		"one function":   func(o *Options) { o.Functions = 1 },
		"no calls":       func(o *Options) { o.CallsPerSecond = 0 },
		"no time":        func(o *Options) { o.Duration = 0 },
		"no command":     func(o *Options) { o.NodeCommand = nil },
		"router missing": func(o *Options) { o.NodeCommand = func(string) *exec.Cmd { return exec.Command("/nonexistent") } },
	} {
		t.Run(name, func(t *testing.T) {
			options := testOptions()
			change(&options)
			if _, err := Run(t.Context(), options); err == nil {
				t.Error("got no error, want one")
			}
		})
	}
}
