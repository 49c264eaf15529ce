//go:build race

package soak

// memoryLimitChecked is false with the race detector, whose own memory is several times that of the router.
const memoryLimitChecked = false
