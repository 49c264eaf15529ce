package soak

import (
	"errors"
	"fmt"
	"net"
)

// The loopback addresses of a run are 127.block.host.number. Host 0 holds the listener that locks the block. Host h
// holds the address of router h-1 (number 250) and those at which this router reaches its discovery server and the
// workers.
const (
	firstBlock      = 64
	lastBlock       = 126
	port            = 4100
	routerNumber    = 250
	discoveryNumber = 200 // a server that moves takes the next number
	maxRouters      = 254
	maxWorkers      = discoveryNumber - 1
)

// addressBlock is a block of loopback addresses that is reserved for one run on this machine.
type addressBlock struct {
	block int
	lock  net.Listener // held while the block is in use
}

// reserveBlock reserves the first free block.
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

// discovery returns the address of a router's discovery server after a number of moves.
func (b *addressBlock) discovery(router, moves int) string {
	return b.address(router, discoveryNumber+moves)
}
