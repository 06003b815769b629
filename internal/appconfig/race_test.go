//go:build race

package appconfig

const slowness = 10 // under the race detector
