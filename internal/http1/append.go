package http1

import "strconv"

// AppendFields appends header fields.
func AppendFields(dst []byte, h Header) []byte {
	for _, f := range h {
		dst = append(append(append(append(dst, f.Name...), ": "...), f.Value...), "\r\n"...)
	}
	return dst
}

// AppendHeader appends header fields and the empty line after them, with the length of a body.
func AppendHeader(dst []byte, h Header, length int) []byte {
	return appendHeadEnd(AppendFields(dst, h), length)
}

// appendEnd appends the length of a body, if it is not negative, and the empty line.
func appendHeadEnd(dst []byte, length int) []byte {
	if length >= 0 {
		dst = append(dst, "Content-Length: "...)
		dst = append(strconv.AppendInt(dst, int64(length), 10), "\r\n"...)
	}
	return append(dst, "\r\n"...)
}

// AppendRequest appends a request. Without a body its length is not written.
func AppendRequest(dst []byte, method, target string, h Header, body []byte) []byte {
	return AppendRequestEnd(AppendFields(AppendRequestLine(dst, method, target), h), method, body)
}

// AppendFirst appends a request's first line; header fields follow.
func AppendRequestLine(dst []byte, method, target string) []byte {
	return append(append(append(append(dst, method...), ' '), target...), " HTTP/1.1\r\n"...)
}

// AppendRest appends what follows the header fields of a request.
func AppendRequestEnd(dst []byte, method string, body []byte) []byte {
	length := len(body)
	if length == 0 && method == "GET" {
		length = -1
	}
	return append(appendHeadEnd(dst, length), body...)
}

// AppendResponse appends a response; its reason phrase is left empty.
func AppendResponse(dst []byte, status int, h Header, body []byte) []byte {
	return append(AppendResponseHead(dst, status, h, len(body)), body...)
}

// AppendResponseHead appends what comes before a response's body. Without a length, which is negative then, the header must
// tell how the body ends.
func AppendResponseHead(dst []byte, status int, h Header, length int) []byte {
	dst = strconv.AppendInt(append(dst, "HTTP/1.1 "...), int64(status), 10)
	return AppendHeader(append(dst, " \r\n"...), h, length)
}

// Chunked is the field that says that a body comes in chunks.
var ChunkedField = Field{Name: "Transfer-Encoding", Value: "chunked"}

// AppendChunk appends a part of a body as a chunk; an empty part is none.
func AppendChunk(dst, data []byte) []byte {
	if len(data) == 0 {
		return dst
	}
	dst = append(strconv.AppendInt(dst, int64(len(data)), 16), "\r\n"...)
	return append(append(dst, data...), "\r\n"...)
}

// AppendLastChunk appends the end of a body in chunks.
func AppendLastChunk(dst []byte) []byte { return append(dst, "0\r\n\r\n"...) }
