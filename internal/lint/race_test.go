//go:build race

package lint

const raceOn = true
