package proxy

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// The fields of the fleet's protocol.
const (
	headerRequestID      = "Hazelwheel-Request-Id"
	headerDeadline       = "Hazelwheel-Deadline-Ms"
	headerExpectInstance = "Hazelwheel-Expect-Instance"
	headerExpectVersion  = "Expect-Version"
	headerInstanceID     = "Hazelwheel-Instance-Id"
	headerNotExecuted    = "Hazelwheel-Not-Executed"
	headerStamp          = "Hazelwheel-Response-Stamp"
	headerServerLoad     = "Hazelwheel-Server-Load"
	headerTokenCounts    = "Hazelwheel-Token-Counts"
	headerPrefixHash     = "Hazelwheel-Prefix-Hash"
	headerServingStage   = "Hazelwheel-Serving-Stage"
	headerKVFrom         = "Kv-From"
	headerPriority       = "Priority"
	headerLastEventID    = "Last-Event-Id"
	stagePrefill         = "prefill"
)

// connectionFields concern one connection only.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect"}

// perHop tells whether a field must not be passed on.
func isHopByHop(name string, header http.Header) bool {
	if slices.Contains(hopByHopHeaders, name) {
		return true
	}
	for _, line := range header["Connection"] {
		for listed := range strings.SplitSeq(line, ",") {
			if strings.EqualFold(strings.TrimSpace(listed), name) {
				return true
			}
		}
	}
	return false
}

// field is one that the proxy sets.
type headerField struct{ name, value string }

// systemFields are those that only the system sets on requests to servers, which go by them. Danger: a server to which a client's
// word comes in one of them turns the request away as misdirected, or takes it for what it is not.
var reservedHeaders = []string{headerServingStage, headerKVFrom, headerExpectInstance, headerExpectVersion, headerPriority, headerDeadline}

// passedOn tells whether a client's field goes along to servers, beside those that are set.
func isForwarded(name string, header http.Header, set []headerField) bool {
	return !isHopByHop(name, header) && !slices.Contains(reservedHeaders, name) &&
		!slices.ContainsFunc(set, func(f headerField) bool { return f.name == name })
}

// encodeRequest writes a client's request as it goes to a server, with fields set in place of the client's.
func encodeRequest(r *http.Request, body []byte, remaining time.Duration, set ...headerField) []byte {
	target := r.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = r.URL.RequestURI()
	}
	var out strings.Builder
	out.Grow(len(body) + 1024)
	out.WriteString(r.Method + " " + target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	set = append(set, headerField{headerDeadline, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10)})
	for name, values := range r.Header {
		if !isForwarded(name, r.Header, set) {
			continue
		}
		for _, value := range values {
			out.WriteString(name + ": " + value + "\r\n")
		}
	}
	for _, f := range set {
		if f.value != "" {
			out.WriteString(f.name + ": " + f.value + "\r\n")
		}
	}
	if len(body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		out.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n")
	}
	out.WriteString("\r\n")
	out.Write(body)
	return []byte(out.String())
}

// passHead copies the fields of a server's answer that are for the client.
func copyResponseHeader(w http.ResponseWriter, response *http.Response) {
	header := w.Header()
	for name, values := range response.Header {
		if !isHopByHop(name, response.Header) {
			header[name] = values
		}
	}
	// Danger: net/http would add what the server has not sent.
	for _, name := range []string{"Content-Type", "Date"} {
		if _, isSet := header[name]; !isSet {
			header[name] = nil
		}
	}
}

// serverLoad reads "running,waiting,slots".
func parseServerLoad(header http.Header) (running, waiting int, ok bool) {
	figures := strings.Split(header.Get(headerServerLoad), ",")
	if len(figures) != 3 {
		return 0, 0, false
	}
	running, err := strconv.Atoi(strings.TrimSpace(figures[0]))
	if err != nil {
		return 0, 0, false
	}
	waiting, err = strconv.Atoi(strings.TrimSpace(figures[1]))
	return running, waiting, err == nil
}
