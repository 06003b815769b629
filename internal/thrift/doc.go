// Package thrift reads and writes framed Thrift messages in the binary protocol, strict and old, and in the compact protocol. It does no
// I/O. Names, strings and messages refer to the bytes that were received, and reading or forwarding a message allocates no memory. The
// package accepts the same messages as the Apache Thrift library and reads the same values from them; the tests compare the two. The
// specifications are the library's documents thrift-binary-protocol and thrift-compact-protocol.
package thrift
