// Package peers holds the links between sidecars: frames (package frames) over TCP, within limits on descriptors, memory and bytes. The
// Handler decides which peers to dial and what the frames contain.
//
// A Transport belongs to the event loop of its netio.EventLoop; all methods of Transport and Link are for that loop, and the Handler is called
// on it. A link is up once both ends have sent a frames.Hello of the same fleet. The end that dialed sends its hello first, so that a
// proxy between two sidecars can identify it.
package peers
