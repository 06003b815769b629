// Command toyserver plays three servers and the discovery service that lists them, for the example
// configuration. Each server answers with its own name after a tenth of a second.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net/http"
	"time"
)

const discovery = "127.0.0.1:8500"

type endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"`
}

var endpoints = []endpoint{
	{"s-00000001", "127.0.0.1:3001", "amman-north", "large", 0, "SERVING", 1, 0},
	{"s-00000002", "127.0.0.1:3002", "amman-south", "medium", 0, "SERVING", 1, 0},
	{"s-00000003", "127.0.0.1:3003", "zarqa", "small", 0, "SERVING", 1, 0},
}

func main() {
	for _, e := range endpoints {
		go func() { log.Fatal(http.ListenAndServe(e.Address, server(e.Name))) }()
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", list)
	log.Printf("discovery at %s lists %d servers", discovery, len(endpoints))
	log.Fatal(http.ListenAndServe(discovery, mux))
}

// server answers requests and probes.
func server(name string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status/load", func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, "util=0.10,eps=0,queue=0\n")
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
		log.Printf("%s: %s %s, request %s", name, r.Method, r.URL, r.Header.Get("Request-Id"))
		fmt.Fprintf(w, "%s took %d bytes\n", name, len(body))
	})
	return mux
}

// list answers with the list, and goes on with an empty line every 2 s where a watch is asked for.
func list(w http.ResponseWriter, r *http.Request) {
	out := json.NewEncoder(w)
	if err := out.Encode(map[string]any{"index": 1, "snapshot": true, "endpoints": endpoints}); err != nil {
		return
	}
	for r.FormValue("follow") == "1" {
		http.NewResponseController(w).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(2 * time.Second):
			io.WriteString(w, "\n")
		}
	}
}
