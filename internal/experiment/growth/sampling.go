package growth

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// ticksPerSecond is the unit of processor times in /proc. It is 100 on all Linux systems (USER_HZ).
const ticksPerSecond = 100

// Fields of /proc/PID/stat (proc(5)), counted from 0 behind the name in parentheses.
const (
	statUserTime   = 11
	statSystemTime = 12
)

// processUsage is what a process has used so far.
type processUsage struct {
	cpuSeconds   float64
	peakMemoryMB float64
	descriptors  int // open now
}

// readUsage reads the usage of a process.
func readUsage(pid int) (processUsage, error) {
	dir := fmt.Sprintf("/proc/%d/", pid)
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return processUsage{}, err
	}
	status, err := os.ReadFile(dir + "status")
	if err != nil {
		return processUsage{}, err
	}
	files, err := os.ReadDir(dir + "fd")
	if err != nil {
		return processUsage{}, err
	}
	usage := processUsage{descriptors: len(files)}
	if usage.cpuSeconds, err = parseCPUSeconds(string(stat)); err != nil {
		return processUsage{}, err
	}
	usage.peakMemoryMB, err = parsePeakMemoryMB(string(status))
	return usage, err
}

// parseCPUSeconds returns the processor time in the text of /proc/PID/stat.
func parseCPUSeconds(stat string) (float64, error) {
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	if len(fields) <= statSystemTime {
		return 0, fmt.Errorf("growth: process statistics with %d fields", len(fields))
	}
	user, err := strconv.ParseFloat(fields[statUserTime], 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseFloat(fields[statSystemTime], 64)
	return (user + system) / ticksPerSecond, err
}

// parsePeakMemoryMB returns the peak of the resident memory in the text of /proc/PID/status.
func parsePeakMemoryMB(status string) (float64, error) {
	for line := range strings.Lines(status) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 64)
			return kilobytes / 1024, err
		}
	}
	return 0, fmt.Errorf("growth: process status without VmHWM")
}
