package soak

// Shrink removes the faults of a failed schedule one by one, keeps each removal after which the schedule still fails,
// and returns the smallest schedule that failed. It calls fails at most runs times. A failure that depends on the
// timing of the machine may not occur again, so the result may keep faults that do not contribute to the failure.
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
