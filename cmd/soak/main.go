// Command soak runs fault soaks of the platform's relay, and the stand-ins that they use.
//
// # Usage
//
//	soak run --seed 7 --length 60s --relay ./platformrelay --directory /tmp/soak
//	soak run --seeds 1-50 --relay ./platformrelay --directory /tmp/soak
//	soak plan --seed 7
//	soak check /tmp/soak/seed-7
//	soak log --listen 127.0.0.1:7001
//	soak endpoint --name plain-1 --listen 127.0.0.1:7002 --service plain --log 127.0.0.1:7001
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"
)

// Exit codes.
const (
	exitFailed = 1
	exitInput  = 2
)

// errInput marks errors of the command line and of the files that it names.
var errInput = errors.New("bad input")

func main() {
	app := kingpin.New("soak", "Runs fault soaks of the relay.")
	app.HelpFlag.Short('h')
	verbs := standinVerbs(app)
	addSoakVerbs(app, verbs)
	verb, err := app.Parse(os.Args[1:])
	if err != nil {
		exit(errors.Mark(err, errInput))
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := verbs[verb](ctx); err != nil {
		exit(err)
	}
}

func exit(err error) {
	fmt.Fprintln(os.Stderr, "soak:", err)
	if errors.Is(err, errInput) {
		os.Exit(exitInput)
	}
	os.Exit(exitFailed)
}
