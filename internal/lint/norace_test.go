//go:build !race

package lint

const raceOn = false
