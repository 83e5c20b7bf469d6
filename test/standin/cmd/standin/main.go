// Command standin runs the stand-ins of a JSON specification in one process. It is used
// by tests only and is not part of a release.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/magnoliawheel/magnoliawheel/test/standin/spec"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: standin SPEC.json")
		os.Exit(2)
	}
	if err := run(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

// run starts the stand-ins, prints their addresses by name as one JSON object, and
// stops them when it receives SIGTERM or SIGINT.
func run(path string) error {
	s, err := spec.Load(path)
	if err != nil {
		return err
	}
	running, err := s.Start()
	if err != nil {
		return err
	}
	if err := json.NewEncoder(os.Stdout).Encode(running.Addrs()); err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	return running.Close()
}
