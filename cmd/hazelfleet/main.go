// Command hazelfleet runs the processes of the router fleet: proxies, the agents beside them, and control.
//
// The first argument is the role of the process; everything else is in the settings file. The role check validates files and exits. The exit
// status is 0 after a graceful shutdown, 1 if a role failed, and 2 if the command line or a file can't be used.
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

	"github.com/sirupsen/logrus"

	"hazelwheel/internal/nodeconfig"
)

// Exit statuses of the program.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

const (
	// memoryLimitFraction is the soft memory limit of the Go runtime, as a fraction of the memory limit in the settings.
	memoryLimitFraction = 0.5
	// gcPercent is the growth of the heap, in percent, that starts a garbage collection. It is below the runtime's default of 100, since
	// memory is scarcer than processor time here.
	gcPercent = 50
)

// The roles, as they are given in the first argument.
const (
	roleProxy   = "proxy"
	roleAgent   = "agent"
	roleControl = "control"
	roleCheck   = "check"
)

// maxCheckFiles is the number of files that may follow the role check: a configuration and a patch. No other role takes files.
const maxCheckFiles = 2

const usage = `usage: hazelfleet [--log-level LEVEL] ROLE
  proxy    accepts requests from clients and forwards them to servers
  agent    connects a proxy to the rest of the fleet, and is control as well on machines with a counted disk
  control  replicates the configuration and accepts changes from the operator
  check    checks the settings file and ends
  check CONFIG [PATCH]
           checks a configuration, and a patch on top of it, and ends
check names all faults at once, each with its line and column, and warns of unknown fields.
The settings file is named by ` + nodeconfig.EnvFile + `.
`

func main() { os.Exit(run(os.Args[1:])) }

// commandLine holds the parsed arguments of the program.
type commandLine struct {
	role     string
	files    []string // of roleCheck
	logLevel string
}

// run runs the program and returns its exit status.
func run(arguments []string) int {
	line, status, isComplete := parseCommandLine(arguments)
	if !isComplete {
		return status
	}
	if line.role == roleCheck {
		return runCheck(line.files)
	}
	level, err := logrus.ParseLevel(line.logLevel)
	if err != nil {
		fmt.Fprintln(os.Stderr, "hazelfleet: --log-level:", err)
		return exitUsage
	}
	logrus.SetLevel(level)
	// Danger: an uncaught signal ends the process without an exit status, so signals are caught before the settings are read.
	ctx := terminationContext()
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	settings, err := nodeconfig.Load(nodeconfig.FilePath())
	if err != nil {
		fmt.Fprintln(os.Stderr, "hazelfleet:", err)
		return exitUsage
	}
	if line.role == roleAgent {
		if err := settings.CheckOperatorAddress(); err != nil {
			fmt.Fprintf(os.Stderr, "hazelfleet: settings: %s: %v\n", nodeconfig.FilePath(), err)
			return exitUsage
		}
	}
	debug.SetGCPercent(gcPercent)
	if settings.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(settings.Limits.MemoryMB) * (1 << 20)))
	}
	return runRole(ctx, line.role, settings, reloadSignals)
}

// parseCommandLine parses the arguments. If the program has to exit at once, because of a request for help or a usage error, it prints the text
// and returns the exit status, and isComplete is false.
func parseCommandLine(arguments []string) (line commandLine, status int, isComplete bool) {
	flags := flag.NewFlagSet("hazelfleet", flag.ContinueOnError)
	flags.StringVar(&line.logLevel, "log-level", "info", "the lowest level that is logged: debug, info, warning or error")
	flags.Usage = func() { fmt.Fprint(os.Stderr, usage) }
	err := flags.Parse(arguments)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return line, exitOK, false
	case err != nil: // the flag set has printed it
		return line, exitUsage, false
	case flags.NArg() == 0:
		flags.Usage()
		return line, exitUsage, false
	}
	line.role, line.files = flags.Arg(0), flags.Args()[1:]
	if slices.ContainsFunc(line.files, isHelpFlag) {
		fmt.Print(usage)
		return line, exitOK, false
	}
	if !slices.Contains([]string{roleProxy, roleAgent, roleControl, roleCheck}, line.role) {
		fmt.Fprintf(os.Stderr, "hazelfleet: there is no %q: proxy, agent, control or check\n", line.role)
		return line, exitUsage, false
	}
	maxFiles := 0
	if line.role == roleCheck {
		maxFiles = maxCheckFiles
	}
	if len(line.files) > maxFiles {
		fmt.Fprintf(os.Stderr, "hazelfleet: %s: %q is one argument too many\n", line.role, line.files[maxFiles])
		return line, exitUsage, false
	}
	return line, exitOK, true
}

// isHelpFlag reports whether an argument after the role asks for help. The flag set stops at the role and doesn't see it.
func isHelpFlag(argument string) bool {
	return argument == "--help" || argument == "-help" || argument == "-h"
}
