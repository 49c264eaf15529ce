package testsupport

import (
	"bufio"
	"io"
	"os"
	"os/exec"
	"testing"
)

// Child is a process of the test binary itself.
type Child struct {
	Cmd    *exec.Cmd
	Stdin  io.Closer // by its end the parent tells the child to end
	Stdout *bufio.Reader
}

// StartChild starts the test binary once more, with further environment variables by which its TestMain knows its role.
// What it writes to stderr goes to the given writer.
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
