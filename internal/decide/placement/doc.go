// Package placement decides which server a request goes to: suspicion of servers from the gaps between probe answers, an
// even subset by the proxy's number, a choice between two, and the retry budget. It is pure; time comes as seconds.
package placement
