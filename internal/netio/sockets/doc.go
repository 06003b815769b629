// Package sockets implements netio.EventLoop with real sockets, by one gnet event loop.
//
// gnet can neither pause reading from a connection nor close its listeners while it keeps running, and gives no access to its epoll
// instance. This package does both by epoll_ctl on that instance, which it finds through /proc/self/fdinfo. If that is not available,
// PauseReading returns false, and StopListening logs an error and leaves the listeners open.
package sockets
