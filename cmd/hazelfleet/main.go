// Command hazelfleet runs the processes of the router fleet: proxies, the agents beside them, and control.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"hazelwheel/internal/nodeconfig"
)

const (
	statusFailed = 1
	statusUsage  = 2
	// reloadEvery is how often the settings file is looked at. It may change without a signal.
	reloadEvery = 2 * time.Second
	// memoryPart is the part of the machine's memory at which the collector works harder.
	memoryPart = 0.5
	// collectAt is the growth of the heap, in parts of a hundred, at which it is collected. Memory is dearer than time here.
	collectAt = 50
)

// What the first argument may be.
const (
	roleProxy   = "proxy"
	roleAgent   = "agent"
	roleControl = "control"
	roleCheck   = "check"
)

const usage = `usage: hazelfleet [--log-level LEVEL] ROLE
  proxy    takes requests from clients and passes them to servers
  agent    keeps a proxy's link to the rest of the fleet, and is control as well on machines whose disk counts
  control  holds the configuration and takes it from the operator
  check    checks the settings file and ends
  check CONFIG [PATCH]
           checks a configuration, and a patch on top of it, and ends
check names all faults at once, each with its line and column, and warns of fields that it doesn't know.
The settings file is named by ` + nodeconfig.EnvFile + `.
`

func main() { os.Exit(run(os.Args[1:])) }

func run(arguments []string) int {
	flags := flag.NewFlagSet("hazelfleet", flag.ContinueOnError)
	level := flags.String("log-level", "info", "what is logged at least: debug, info, warning or error")
	flags.Usage = func() { fmt.Fprint(os.Stderr, usage) }
	if err := flags.Parse(arguments); err != nil {
		return statusOfUsage(err)
	}
	if flags.NArg() == 0 {
		flags.Usage()
		return statusUsage
	}
	role, files := flags.Arg(0), flags.Args()[1:]
	if slices.ContainsFunc(files, asksForHelp) {
		fmt.Print(usage)
		return 0
	}
	if !slices.Contains([]string{roleProxy, roleAgent, roleControl, roleCheck}, role) {
		fmt.Fprintf(os.Stderr, "hazelfleet: there is no %q: proxy, agent, control or check\n", role)
		return statusUsage
	}
	if most := mostFiles(role); len(files) > most {
		fmt.Fprintf(os.Stderr, "hazelfleet: %s: %q is one argument too many\n", role, files[most])
		return statusUsage
	}
	if role == roleCheck {
		return runCheck(files)
	}
	parsed, err := logrus.ParseLevel(*level)
	if err != nil {
		fmt.Fprintln(os.Stderr, "hazelfleet: --log-level:", err)
		return statusUsage
	}
	logrus.SetLevel(parsed)
	// Danger: a SIGHUP that nobody catches ends the process, also while it is still reading its settings.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	settings, err := nodeconfig.Load(nodeconfig.FilePath())
	if err != nil {
		fmt.Fprintln(os.Stderr, "hazelfleet:", err)
		return statusUsage
	}
	if role == roleAgent {
		if err := settings.CheckOperatorAddress(); err != nil {
			fmt.Fprintf(os.Stderr, "hazelfleet: settings: %s: %v\n", nodeconfig.FilePath(), err)
			return statusUsage
		}
	}
	debug.SetGCPercent(collectAt)
	if settings.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(settings.Limits.MemoryMB) * (1 << 20)))
	}
	return start(role, settings, hangups)
}

// statusOfUsage is the status with which to end after flags that could not be read: asking for help is no fault.
func statusOfUsage(err error) int {
	if errors.Is(err, flag.ErrHelp) {
		return 0
	}
	return statusUsage
}

// asksForHelp tells whether an argument behind the role asks for help.
func asksForHelp(argument string) bool {
	return argument == "--help" || argument == "-help" || argument == "-h"
}

// mostFiles is how many files may be named behind a role.
func mostFiles(role string) int {
	if role == roleCheck {
		return 2 // a configuration and a patch
	}
	return 0
}
