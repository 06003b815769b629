//go:build !race

package main

// memoryMost is the most resident memory, in MB, of a process limited to 64 MB.
const memoryMost = 64.0
