package proxy

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
)

// The header fields of the protocol between proxies, clients and servers.
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
	headerTenantID       = "Hazelwheel-Tenant-Id"
	headerAuthenticate   = "Www-Authenticate"
	stagePrefill         = "prefill"
)

// hopByHopHeaders concern a single connection and are not forwarded.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect"}

// isHopByHop reports whether a field of a message must not be forwarded.
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

// headerField is a field that the proxy sets.
type headerField struct{ name, value string }

// reservedHeaders are the fields that only proxies set on requests to servers. Danger: with a client's value in one of them, a server would reject
// the request as misdirected, or execute it in the wrong stage or for another tenant.
var reservedHeaders = []string{headerServingStage, headerKVFrom, headerExpectInstance, headerExpectVersion, headerPriority, headerDeadline,
	headerTenantID}

// isForwarded reports whether a client's field is forwarded in addition to the fields that the proxy sets.
func isForwarded(name string, header http.Header, set []headerField) bool {
	return !isHopByHop(name, header) && !slices.Contains(reservedHeaders, name) &&
		!slices.ContainsFunc(set, func(f headerField) bool { return f.name == name })
}

// encode returns the request as it is sent to a server: the given fields replace the client's, and the tenant's name and the remaining time until
// the deadline are added.
func (req *proxyRequest) encode(set ...headerField) []byte {
	r, body := req.incoming, req.body
	target := r.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = r.URL.RequestURI()
	}
	var out strings.Builder
	out.Grow(len(body) + 1024)
	out.WriteString(r.Method + " " + target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	set = append(set, headerField{headerDeadline, strconv.FormatInt(max(req.remaining().Milliseconds(), 1), 10)})
	if req.tenant != nil {
		set = append(set, headerField{headerTenantID, req.tenant.Name})
	}
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

// copyResponseHeader copies the fields of a server's response, other than hop-by-hop fields, to the client's response.
func copyResponseHeader(w http.ResponseWriter, response *http.Response) {
	header := w.Header()
	for name, values := range response.Header {
		if !isHopByHop(name, response.Header) {
			header[name] = values
		}
	}
	// Danger: net/http would add these fields if the server has not sent them.
	for _, name := range []string{"Content-Type", "Date"} {
		if _, isSet := header[name]; !isSet {
			header[name] = nil
		}
	}
}

// parseServerLoad parses the load that a response reports in the form "running,waiting,slots". It returns false if the response reports none.
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
