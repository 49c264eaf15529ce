package fakeplatform

import (
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	listenRetryPeriod   = 2 * time.Second
	listenRetryInterval = 5 * time.Millisecond
)

// listen listens on an address that this process may just have stopped listening on. A closed listener keeps its address
// while this process starts another one: the child holds copies of all descriptors until its exec has closed them. So an
// address in use is tried again for listenRetryPeriod.
func listen(address string) (net.Listener, error) {
	deadline := time.Now().Add(listenRetryPeriod)
	for {
		listener, err := net.Listen("tcp", address)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return listener, err
		}
		time.Sleep(listenRetryInterval)
	}
}
