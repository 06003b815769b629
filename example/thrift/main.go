// Command thrift shows the sidecar between a Thrift client and Thrift boxes, all in one process on loopback: two boxes, a list of
// them, the sidecar, and a client that calls through it in both encodings.
package main

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"time"

	"hazelwheel/internal/featureconfig"
	"hazelwheel/internal/process"
	"hazelwheel/internal/sidecarconfig"
	"hazelwheel/internal/thrift"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "thrift:", err)
		os.Exit(1)
	}
}

type object = map[string]any

func run() error {
	var boxes []object
	for i := range 2 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		name := fmt.Sprintf("s-%08x", i+1)
		boxes = append(boxes, object{"name": name, "address": l.Addr().String(), "zone": "amman", "status": "SERVING", "weight": 1})
		go serve(l, name)
	}
	list, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(list, http.HandlerFunc(watch)) }()

	cfg, on, err := configuration(list.Addr().String(), boxes)
	if err != nil {
		return err
	}
	sidecar, err := process.New(cfg, on, slog.New(slog.NewTextHandler(os.Stdout, nil)))
	if err != nil {
		return err
	}
	ended := make(chan error, 1)
	go func() { ended <- sidecar.Run(nil, nil, nil) }()
	err = client(on.Thrift.Listen)
	sidecar.Do(sidecar.Drain)
	if e := <-ended; err == nil {
		err = e
	}
	fmt.Printf("the sidecar's counters: %s", sidecar.Counters())
	return err
}

// configuration returns what the platform and the operators tell the sidecar.
func configuration(discovery string, boxes []object) (cfg sidecarconfig.Config, on featureconfig.Features, err error) {
	var free [2]string
	for i := range free {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return cfg, on, err
		}
		free[i] = l.Addr().String()
		l.Close()
	}
	raw, err := json.Marshal(object{"name": "n0", "listen": free[0], "discovery": discovery, "seed": "8c1f30d27a5be964",
		"known": object{"index": 1, "snapshot": true, "endpoints": boxes},
		"settings": object{"dcs": []string{"amman"}, "discovery": "on_request", "replicasOfMe": 1, "roundS": 0.005,
			"classes": []object{{"name": "latest-reading", "effect": "free", "objectiveS": 1, "giveUpS": 3, "importance": 1}},
			"limits":  object{"cancel": true, "sendCap": 3, "maxRetryAfterS": 1, "connIdleS": 60, "connectTimeoutS": 1},
			"report":  object{"how": "off"}}})
	if err == nil {
		cfg, err = sidecarconfig.Parse(raw)
	}
	if err != nil {
		return cfg, on, err
	}
	raw, err = json.Marshal(object{"thrift": object{"listen": free[1], "classes": []object{{"class": "latest-reading",
		"methods": []string{"latestReading", "Readings:latestReading"}, "id": "1", "patience_ms": "2"}}}})
	if err == nil {
		on, err = featureconfig.Parse(raw, &cfg)
	}
	return cfg, on, err
}

// watch answers the sidecar's watch: nothing changes.
func watch(w http.ResponseWriter, r *http.Request) {
	for r.Context().Err() == nil {
		fmt.Fprintln(w)
		w.(http.Flusher).Flush()
		select {
		case <-time.After(2 * time.Second):
		case <-r.Context().Done():
		}
	}
}

// receive reads one message.
func receive(c io.Reader) (thrift.Message, error) {
	var head [4]byte
	if _, err := io.ReadFull(c, head[:]); err != nil {
		return thrift.Message{}, err
	}
	payload := make([]byte, min(binary.BigEndian.Uint32(head[:]), 64<<10))
	if _, err := io.ReadFull(c, payload); err != nil {
		return thrift.Message{}, err
	}
	return thrift.ParseMessage(payload)
}

// serve is a box: it answers each call with its name and the sensor that it was asked for.
func serve(l net.Listener, name string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			for {
				m, err := receive(c)
				var found [thrift.MaxPaths]thrift.Value
				if err != nil || m.Find([]thrift.Path{{3}}, &found) != nil {
					return
				}
				fmt.Printf("  box %s gets %s, %s, for sensor %d\n", name, m.Name, m.Encoding, found[0].Int)
				var w thrift.Writer
				w.BeginMessage(nil, m.Encoding, thrift.Reply, "latestReading", m.Seq)
				w.FieldHeader(thrift.String, 0)
				w.String(fmt.Sprintf("17.25 C at sensor %d, says %s", found[0].Int, name))
				if _, err := c.Write(w.EndMessage()); err != nil {
					return
				}
			}
		}()
	}
}

// client calls through the sidecar.
func client(address string) error {
	var c net.Conn
	var err error
	for range 100 { // until the sidecar listens
		if c, err = net.Dial("tcp", address); err == nil {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	defer c.Close()
	for i, enc := range []thrift.Encoding{thrift.Binary, thrift.Compact, thrift.Binary, thrift.Compact} {
		method := []string{"latestReading", "Readings:latestReading", "latestReading", "no-such-method"}[i]
		var w thrift.Writer
		w.BeginMessage(nil, enc, thrift.Call, method, int32(i))
		w.FieldHeader(thrift.String, 1)
		w.String(fmt.Sprintf("call-%d", i))
		w.FieldHeader(thrift.I32, 2)
		w.I32(1000)
		w.FieldHeader(thrift.I32, 3)
		w.I32(int32(420 + i))
		if _, err := c.Write(w.EndMessage()); err != nil {
			return err
		}
		m, err := receive(c)
		if err != nil {
			return err
		}
		if m.Kind == thrift.Exception {
			kind, text, err := m.DecodeException()
			fmt.Printf("client: %s, %s: TApplicationException %d, %s\n", method, enc, kind, text)
			if err != nil {
				return err
			}
			continue
		}
		var found [thrift.MaxPaths]thrift.Value
		if err := m.Find([]thrift.Path{{0}}, &found); err != nil {
			return err
		}
		fmt.Printf("client: %s, %s: %s\n", method, enc, found[0].Bytes)
	}
	return nil
}
