// Package nodeconfig reads and validates the settings file of a fleet process, a YAML file that the operators write. The
// struct fields are the reference of its keys; a key that this version doesn't know is reported and ignored.
package nodeconfig
