// Package sockets implements netio.EventLoop on real sockets: one gnet event loop, the system's sockets and its clock.
//
// gnet can neither stop reading a connection nor close its listeners and go on, and gives no access to its epoll instance. Both are done
// by epoll_ctl on that instance, which is found by /proc/self/fdinfo. Where that is not available PauseReading returns false and
// StopListening logs an error and leaves the listeners open.
package sockets
