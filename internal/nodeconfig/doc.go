// Package nodeconfig reads and checks the settings file of a fleet process. Fields that it doesn't know are ignored.
package nodeconfig
