package growth

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// ticksPerSecond converts processor times in /proc to seconds. It is 100 on all Linux systems (USER_HZ).
const ticksPerSecond = 100

// Indexes of fields in /proc/PID/stat (see proc(5)). Index 0 is the first field after the name in parentheses.
const (
	statUserTime   = 11
	statSystemTime = 12
)

// processUsage is the resource usage of a process so far.
type processUsage struct {
	cpuSeconds   float64
	peakMemoryMB float64
	descriptors  int // currently open
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

// parseCPUSeconds parses the content of /proc/PID/stat and returns the user and system time of the process.
func parseCPUSeconds(stat string) (float64, error) {
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	if len(fields) <= statSystemTime {
		return 0, fmt.Errorf("growth: process statistics have only %d fields", len(fields))
	}
	user, err := strconv.ParseFloat(fields[statUserTime], 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseFloat(fields[statSystemTime], 64)
	return (user + system) / ticksPerSecond, err
}

// parsePeakMemoryMB parses the content of /proc/PID/status and returns the peak of the resident memory.
func parsePeakMemoryMB(status string) (float64, error) {
	for line := range strings.Lines(status) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 64)
			return kilobytes / 1024, err
		}
	}
	return 0, fmt.Errorf("growth: process status has no VmHWM line")
}
