package testsupport

import (
	"bufio"
	"io"
	"os"
	"os/exec"
	"testing"
)

// Child is a child process that runs the test binary.
type Child struct {
	Cmd    *exec.Cmd
	Stdin  io.Closer // closed to make the child exit
	Stdout *bufio.Reader
}

// StartChild runs the test binary in a child process. environment has additional variables ("NAME=value"), by which
// TestMain detects that it runs as a child. The child's stderr is copied to the given writer.
func StartChild(t testing.TB, stderr io.Writer, environment ...string) *Child {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), environment...)
	cmd.Stderr = stderr
	stdin, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	return &Child{Cmd: cmd, Stdin: stdin, Stdout: bufio.NewReader(stdout)}
}
