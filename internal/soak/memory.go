package soak

import (
	"fmt"
	"os"
	"regexp"
	"strconv"
	"sync"
	"time"
)

// memorySampleInterval is the time between two readings of a process's memory.
const memorySampleInterval = 50 * time.Millisecond

// privateMemory matches the size of a process's private memory in kB in /proc/PID/status.
var privateMemory = regexp.MustCompile(`RssAnon:\s+(\d+) kB`)

// readPrivateMemory returns the private memory of a process in bytes, or 0 if the process has ended.
func readPrivateMemory(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	match := privateMemory.FindSubmatch(status)
	if match == nil {
		return 0
	}
	kilobytes, _ := strconv.Atoi(string(match[1]))
	return kilobytes << 10
}

// memoryMeter records the highest private memory of the process of each router.
type memoryMeter struct {
	nodes   []*node
	highest []int // bytes, by router; written by measure, read after stop
	ended   chan struct{}
	running sync.WaitGroup
}

func startMemoryMeter(nodes []*node) *memoryMeter {
	m := &memoryMeter{nodes: nodes, highest: make([]int, len(nodes)), ended: make(chan struct{})}
	m.running.Go(m.measure)
	return m
}

func (m *memoryMeter) measure() {
	for {
		for i, n := range m.nodes {
			if pid := n.pid(); pid > 0 {
				m.highest[i] = max(m.highest[i], readPrivateMemory(pid))
			}
		}
		select {
		case <-m.ended:
			return
		case <-time.After(memorySampleInterval):
		}
	}
}

// stop ends the measurement.
func (m *memoryMeter) stop() {
	close(m.ended)
	m.running.Wait()
}

// failures returns one line for each router that has exceeded its limit. The platform would have killed it.
func (m *memoryMeter) failures() (lines []string) {
	for i, highest := range m.highest {
		if memoryLimitChecked && highest > routerMemoryMB<<20 {
			lines = append(lines, fmt.Sprintf("%s held %d MB, its limit is %d MB", routerName(i), highest>>20, routerMemoryMB))
		}
	}
	return lines
}
