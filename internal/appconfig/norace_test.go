//go:build !race

package appconfig

const slowness = 1
