//go:build !race

package soak

// memoryLimitChecked is whether the limit of a router's memory is checked.
const memoryLimitChecked = true
