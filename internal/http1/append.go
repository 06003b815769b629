package http1

import "strconv"

// AppendFields appends field lines to dst.
func AppendFields(dst []byte, h Header) []byte {
	for _, f := range h {
		dst = append(append(append(append(dst, f.Name...), ": "...), f.Value...), "\r\n"...)
	}
	return dst
}

// AppendHeader appends field lines, a Content-Length field unless length is negative, and the empty line that ends the head.
func AppendHeader(dst []byte, h Header, length int) []byte {
	return appendHeadEnd(AppendFields(dst, h), length)
}

// appendHeadEnd appends Content-Length, unless length is negative, and the empty line that ends the head.
func appendHeadEnd(dst []byte, length int) []byte {
	if length >= 0 {
		dst = append(dst, "Content-Length: "...)
		dst = append(strconv.AppendInt(dst, int64(length), 10), "\r\n"...)
	}
	return append(dst, "\r\n"...)
}

// AppendRequest appends a request. A GET without a body has no Content-Length.
func AppendRequest(dst []byte, method, target string, h Header, body []byte) []byte {
	return AppendRequestEnd(AppendFields(AppendRequestLine(dst, method, target), h), method, body)
}

// AppendRequestLine appends a request line; field lines may follow.
func AppendRequestLine(dst []byte, method, target string) []byte {
	return append(append(append(append(dst, method...), ' '), target...), " HTTP/1.1\r\n"...)
}

// AppendRequestEnd appends the part of a request after its field lines: Content-Length, the empty line and the body. A GET without a
// body has no Content-Length.
func AppendRequestEnd(dst []byte, method string, body []byte) []byte {
	length := len(body)
	if length == 0 && method == "GET" {
		length = -1
	}
	return append(appendHeadEnd(dst, length), body...)
}

// AppendResponse appends a response with an empty reason phrase.
func AppendResponse(dst []byte, status int, h Header, body []byte) []byte {
	return append(AppendResponseHead(dst, status, h, len(body)), body...)
}

// AppendResponseHead appends a response's head. If length is negative, h must contain the field that delimits the body.
func AppendResponseHead(dst []byte, status int, h Header, length int) []byte {
	dst = strconv.AppendInt(append(dst, "HTTP/1.1 "...), int64(status), 10)
	return AppendHeader(append(dst, " \r\n"...), h, length)
}

// ChunkedField is the header field of a message with a chunked body.
var ChunkedField = Field{Name: "Transfer-Encoding", Value: "chunked"}

// AppendChunk appends data as one chunk. Empty data appends nothing: an empty chunk would end the body.
func AppendChunk(dst, data []byte) []byte {
	if len(data) == 0 {
		return dst
	}
	dst = append(strconv.AppendInt(dst, int64(len(data)), 16), "\r\n"...)
	return append(append(dst, data...), "\r\n"...)
}

// AppendLastChunk appends the last chunk, which ends a chunked body, without trailers.
func AppendLastChunk(dst []byte) []byte { return append(dst, "0\r\n\r\n"...) }
