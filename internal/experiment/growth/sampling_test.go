package growth

import (
	"os"
	"testing"
)

func TestParseUsage(t *testing.T) {
	if got, err := parseCPUSeconds("17 (a) b) S 1 2 3 4 5 6 7 8 9 10 150 25 0 0 20 0"); got != 1.75 || err != nil {
		t.Errorf("processor time %v, error %v", got, err)
	}
	if got, err := parsePeakMemoryMB("Name:\tx\nVmPeak:\t  9 kB\nVmHWM:\t   2560 kB\n"); got != 2.5 || err != nil {
		t.Errorf("memory %v, error %v", got, err)
	}
	for _, text := range []string{"", "17 (a) S 1 2 3", "VmHWM: many kB\n"} {
		if _, err := parseCPUSeconds(text); err == nil {
			t.Errorf("no error for the processor time in %q", text)
		}
		if _, err := parsePeakMemoryMB(text); err == nil {
			t.Errorf("no error for the memory in %q", text)
		}
	}
	if usage, err := readUsage(os.Getpid()); err != nil || usage.peakMemoryMB <= 0 || usage.descriptors < 3 {
		t.Errorf("usage %+v, error %v", usage, err)
	}
}
