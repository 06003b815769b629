//go:build race

package main

// memoryMost is the most resident memory, in MB, of a process limited to 64 MB, including the race detector's overhead.
const memoryMost = 200.0
