package dispatch

import (
	"os"
	"os/exec"
	"regexp"
	"testing"
)

// fusedInstruction matches a fused multiply-add in the assembly listing of arm64.
var fusedInstruction = regexp.MustCompile(`(?m)^.*\bFN?M(ADD|SUB)[DS]\b.*$`)

// TestArithmeticIsNotFused compiles the state machines for arm64, where the compiler may fuse x*y + z, which rounds
// differently. An explicit conversion, float64(x*y), forbids it. It guards against decisions that depend on the
// architecture of the router.
func TestArithmeticIsNotFused(t *testing.T) {
	build := exec.CommandContext(t.Context(), "go", "build", "-gcflags=-S", ".", "../internal/gossip")
	build.Env = append(os.Environ(), "GOARCH=arm64", "CGO_ENABLED=0", "GOFLAGS=")
	listing, err := build.CombinedOutput()
	if err != nil {
		t.Fatalf("go build: %v\n%s", err, listing)
	}
	if len(listing) == 0 {
		t.Fatal("the compiler printed no listing")
	}
	for _, line := range fusedInstruction.FindAll(listing, -1) {
		t.Errorf("fused: %s", line)
	}
}
