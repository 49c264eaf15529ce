package main

import (
	"os/exec"
	"runtime"
	"syscall"
	"unsafe"
)

// startOnOneCore starts a command that runs on one core only, as the platform's routers do. The new process inherits the
// core of the thread that starts it; no other thread of this process is changed.
func startOnOneCore(cmd *exec.Cmd) error {
	started := make(chan error)
	go func() {
		runtime.LockOSThread() // not unlocked: the thread ends with this goroutine
		var mask [128]byte
		size, _, errno := syscall.RawSyscall(syscall.SYS_SCHED_GETAFFINITY, 0, uintptr(len(mask)), uintptr(unsafe.Pointer(&mask[0])))
		var one [128]byte
		for cpu := int(size)*8 - 1; cpu >= 0; cpu-- { // the last core that this process may use
			if mask[cpu/8]&(1<<(cpu%8)) != 0 {
				one[cpu/8] = 1 << (cpu % 8)
				break
			}
		}
		if errno == 0 { // where the system refuses this, the router runs on all cores
			_, _, _ = syscall.RawSyscall(syscall.SYS_SCHED_SETAFFINITY, 0, size, uintptr(unsafe.Pointer(&one[0])))
		}
		started <- cmd.Start()
		<-make(chan struct{}) // Pdeathsig follows this thread: it has to live as long as the process
	}()
	return <-started
}
