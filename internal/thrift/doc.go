// Package thrift reads and writes framed Thrift messages in the binary protocol, strict and old, and in the compact protocol. It does no
// I/O. Values are read in place: names, strings and messages refer to the bytes that were received, and reading or forwarding a message
// allocates nothing. Which messages are valid, and the values in them, agree with the Apache Thrift library, against which the tests
// compare; the specifications are its thrift-binary-protocol and thrift-compact-protocol documents.
package thrift
