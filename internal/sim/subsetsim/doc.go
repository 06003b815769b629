// Package subsetsim weighs the ways in which sidecars choose the boxes that they hold, by the choices alone: no requests, no clock. Each
// sidecar spreads its traffic evenly over what it holds; judged is what that adds up to at each box.
package subsetsim
