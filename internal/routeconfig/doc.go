// Package routeconfig reads and validates the operator's configuration of routes, services and tenants, and compiles it to the
// Table that proxies route by. The configuration is a JSON document of the message configpb.Config; it is stored and digested as the
// operator sent it. A Patch changes named items of a document and leaves fields that this version doesn't know unchanged.
//
// Parse returns the first problem of a document, as control processes report it. Validate returns all problems with their
// lines, for operators who check a file.
package routeconfig
