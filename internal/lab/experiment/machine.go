package experiment

import (
	"bufio"
	"crypto/sha256"
	"debug/buildinfo"
	"encoding/hex"
	"io"
	"os"
	"runtime"
	"strings"

	"golang.org/x/sys/unix"
)

// Machine is where an experiment ran.
type Machine struct {
	CPU      string `json:"cpu"`
	Cores    int    `json:"cores"` // that the laboratory may use
	MemoryMB uint64 `json:"memory_mb"`
	Kernel   string `json:"kernel"`
	Go       string `json:"go"`
	LoadAvg  string `json:"load_average"` // when it began: others' work is in all figures
}

// thisMachine describes it, as far as it can be read.
func thisMachine() Machine {
	m := Machine{CPU: "unknown", Cores: runtime.NumCPU(), Go: runtime.Version()}
	if f, err := os.Open("/proc/cpuinfo"); err == nil {
		defer func() { _ = f.Close() }() // read only
		for lines := bufio.NewScanner(f); lines.Scan(); {
			if name, value, ok := strings.Cut(lines.Text(), ":"); ok && strings.TrimSpace(name) == "model name" {
				m.CPU = strings.TrimSpace(value)
				break
			}
		}
	}
	var name unix.Utsname
	if unix.Uname(&name) == nil {
		m.Kernel = unix.ByteSliceToString(name.Sysname[:]) + " " + unix.ByteSliceToString(name.Release[:])
	}
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) == nil {
		m.MemoryMB = info.Totalram * uint64(info.Unit) >> 20
	}
	if raw, err := os.ReadFile("/proc/loadavg"); err == nil {
		m.LoadAvg = strings.Join(strings.Fields(string(raw))[:3], " ")
	}
	return m
}

// versionOf reads which program a file is.
func versionOf(balancer, path string) (Version, error) {
	v := Version{Balancer: balancer, Path: path}
	f, err := os.Open(path)
	if err != nil {
		return v, err
	}
	defer func() { _ = f.Close() }() // read only
	sum := sha256.New()
	if _, err := io.Copy(sum, f); err != nil {
		return v, err
	}
	v.SHA256 = hex.EncodeToString(sum.Sum(nil))
	if info, err := buildinfo.ReadFile(path); err == nil {
		v.Build = info.GoVersion + " " + info.Main.Path + " " + info.Main.Version
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" || s.Key == "vcs.modified" {
				v.Build += " " + s.Value
			}
		}
	}
	return v, nil
}
