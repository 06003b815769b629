// Package routeconfig holds the operator's configuration: reading and checking it, and the compact table that proxies route by.
package routeconfig
