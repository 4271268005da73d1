//go:build review

// Command driver2 runs the cases of the second review that are scripts: driver2 CASE RECORD. It exits
// with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 it
// does the same without the disruption.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

func main() {
	cases := map[string]func(ctx context.Context, rec *record, trouble bool) (int, error){
		"leaving-after-cut": leavingAfterCut,
		"late-heartbeat":    lateHeartbeat,
		"partial-entries":   partialEntries,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver2 CASE RECORD")
		os.Exit(failed)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code, err := cases[os.Args[1]](ctx, rec, os.Getenv("TROUBLE") != "0")
	if err == nil {
		err = ctx.Err()
	}
	cancel()
	if err != nil {
		rec.printf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = failed
	}
	os.Exit(code)
}
