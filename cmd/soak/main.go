// Command soak runs the stand-ins of a fault soak of the platform's relay.
//
// # Usage
//
//	soak log --listen 127.0.0.1:7001 --retention 500
//	soak endpoint --name plain-1 --listen 127.0.0.1:7002 --service plain --log 127.0.0.1:7001
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
)

func main() {
	app := kingpin.New("soak", "Runs the stand-ins of a fault soak.")
	app.HelpFlag.Short('h')
	verbs := standinVerbs(app)
	verb := kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := verbs[verb](ctx); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}
