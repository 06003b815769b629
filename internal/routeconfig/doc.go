// Package routeconfig reads and validates the operator's configuration of routes and services, and compiles it to the Table
// that proxies route by. The configuration is a JSON document of the message configpb.Config; it is stored and digested as the
// operator sent it. A Patch changes named items of a document and leaves what this version doesn't know as it is.
//
// Parse returns the first problem of a document, as control processes report it; Validate returns all of them with their
// lines, for the operator's check of a file.
package routeconfig
