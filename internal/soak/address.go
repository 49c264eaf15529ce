package soak

import (
	"errors"
	"fmt"
	"net"
)

// The loopback addresses of a run are 127.block.host.number: host 0 is the lock of the block, host h the addresses at which
// router h-1 is reached (number 250) and reaches its discovery server and the workers.
const (
	firstBlock      = 64
	lastBlock       = 126
	port            = 4100
	routerNumber    = 250
	discoveryNumber = 200 // and those after it, for servers that have moved
	maxRouters      = 254
	maxWorkers      = discoveryNumber - 1
)

// addressBlock is loopback addresses that no other run on the machine uses.
type addressBlock struct {
	block int
	lock  net.Listener // held while the block is in use
}

// reserveBlock reserves the first block that is free.
func reserveBlock() (*addressBlock, error) {
	for block := firstBlock; block <= lastBlock; block++ {
		if lock, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", block, port)); err == nil {
			return &addressBlock{block, lock}, nil
		}
	}
	return nil, errors.New("soak: all blocks of loopback addresses are in use")
}

func (b *addressBlock) release() { _ = b.lock.Close() }

func (b *addressBlock) address(router, number int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", b.block, router+1, number, port)
}

func (b *addressBlock) worker(router, worker int) string { return b.address(router, worker+1) }
func (b *addressBlock) router(router int) string         { return b.address(router, routerNumber) }

// discovery returns the address of a router's discovery server after it has moved so many times.
func (b *addressBlock) discovery(router, moves int) string {
	return b.address(router, discoveryNumber+moves)
}
