//go:build review

// Command review-harness plays the cases of the review that are no days of the bench. It starts relay
// nodes as processes of their own on loopback addresses, serves them as their platform, endpoints
// and stores of prompt parts, sends requests as callers, and judges what these have seen.
//
// # Usage
//
//	TROUBLE=1 review-harness CASE RELAY RECORD
//
// The exit status is 1 if the rule of the case was broken, 0 if it held, and 2 if the case could
// not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases maps the names of the cases to the functions that play them.
var cases = map[string]func(s *site) error{
	"freed-while-fetched": freedWhileFetched,
	"isolated-later":      isolatedLater,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-harness CASE RELAY RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

// play plays a case and returns the exit code.
func play(run func(s *site) error, relay, path string) int {
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "review-harness:", err)
		return exitFailed
	}
	defer file.Close()
	directory, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, "review-harness:", err)
		return exitFailed
	}
	defer os.RemoveAll(directory)
	if relay, err = filepath.Abs(relay); err != nil {
		fmt.Fprintln(os.Stderr, "review-harness:", err)
		return exitFailed
	}
	s := &site{relay: relay, directory: directory, record: newRecord(file), trouble: os.Getenv("TROUBLE") != "0"}
	defer s.stop()
	if err := run(s); err != nil {
		s.record.note("case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "review-harness:", err)
		return exitFailed
	}
	if n := s.record.broken(); n > 0 {
		fmt.Printf("rule broken %d times\n", n)
		return exitBroken
	}
	fmt.Println("rule held")
	return exitHeld
}
