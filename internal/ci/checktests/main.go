// Command checktests runs the tests and passes over the failures of those that KNOWN-RED.txt lists, and of no others:
//
//	go run ./internal/ci/checktests go test -json ./...
//
// It prints what go test prints without -json, then what it has passed over, and ends with status 1 if anything else failed.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/exec"
	"os/signal"
	"syscall"

	"hazelwheel/internal/ci/knownred"
)

const (
	statusFailed = 1
	statusUsage  = 2
)

func main() { os.Exit(check(os.Args[1:], os.Stdout, os.Stderr)) }

// check runs a command that prints the events of go test -json, and returns the status with which to end.
func check(command []string, out, errs io.Writer) int {
	if len(command) == 0 {
		fmt.Fprintln(errs, "usage: checktests go test -json ...")
		return statusUsage
	}
	entries, err := readList()
	if err != nil {
		fmt.Fprintln(errs, err)
		return statusFailed
	}
	run := knownred.NewRun(entries, out)
	exitStatus, err := play(command, run, errs)
	if err != nil {
		fmt.Fprintln(errs, "checktests:", err)
		return statusFailed
	}
	verdict := run.Verdict(exitStatus)
	report(verdict, out)
	if !verdict.OK() {
		return statusFailed
	}
	return 0
}

// readList reads the list in the working directory. A list that is not there is empty.
func readList() ([]knownred.Entry, error) {
	text, err := os.ReadFile(knownred.FileName)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return knownred.Parse(string(text))
}

// play runs the command, hands its lines to the run, and returns its exit status; -1 if a signal ended it.
func play(command []string, run *knownred.Run, errs io.Writer) (int, error) {
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Stderr = errs
	events, err := cmd.StdoutPipe()
	if err != nil {
		return 0, err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGINT, syscall.SIGTERM)
	defer signal.Stop(signals)
	if err := cmd.Start(); err != nil {
		return 0, err
	}
	over := make(chan struct{})
	defer close(over)
	go passOn(signals, over, cmd.Process, errs)
	readErr := readLines(events, run.Add)
	if readErr != nil {
		_, _ = io.Copy(io.Discard, events) // so that the command can end
	}
	err = cmd.Wait()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		return 0, err
	}
	return cmd.ProcessState.ExitCode(), readErr
}

// passOn says that a signal came, and ends the command with it, so that what was run until then is still judged. Danger: a run that is ended
// with its terminal or its caller would else end without a word, as if its last line were still to come.
func passOn(signals <-chan os.Signal, over <-chan struct{}, command *os.Process, errs io.Writer) {
	for {
		select {
		case <-over:
			return
		case came := <-signals:
			fmt.Fprintf(errs, "checktests: %v: the tests are ended before all were run\n", came)
			_ = command.Signal(syscall.SIGTERM) // it may have ended by itself
		}
	}
}

// readLines calls add with each line, however long.
func readLines(from io.Reader, add func(text []byte)) error {
	lines := bufio.NewReader(from)
	for {
		text, err := lines.ReadBytes('\n')
		if len(text) > 0 {
			add(text)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func report(v *knownred.Verdict, out io.Writer) {
	for _, text := range v.PassedOver {
		fmt.Fprintln(out, "known red:", text)
	}
	for _, text := range v.Passed {
		fmt.Fprintln(out, "known red:", text)
	}
	for _, text := range v.Problems {
		fmt.Fprintln(out, "tests failed:", text)
	}
}
