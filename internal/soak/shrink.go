package soak

// Shrink removes faults from a schedule that fails, one after the other, for as long as the rest fails too, and returns the
// smallest schedule that failed. It makes at most runs runs. What depends on the machine's timing may not fail again, so the
// result may keep faults that have no part in the failure.
func Shrink(failed Schedule, runs int, fails func(Schedule) bool) Schedule {
	smallest := failed
	for i := len(smallest.Faults) - 1; i >= 0 && runs > 0; i-- {
		candidate := smallest
		candidate.Faults = append(append([]Fault(nil), smallest.Faults[:i]...), smallest.Faults[i+1:]...)
		runs--
		if fails(candidate) {
			smallest = candidate
		}
	}
	return smallest
}
