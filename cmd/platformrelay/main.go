// Command platformrelay runs a relay node on the platform.
//
// # Usage
//
//	LACEWINGRELAY_CONFIG=/etc/lacewingrelay/settings.conf platformrelay relay
//	platformrelay check settings.conf
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rs/zerolog"

	"github.com/lacewingrelay/lacewingrelay/internal/transport/spooler"
	"github.com/lacewingrelay/lacewingrelay/platform"
)

// Exit codes.
const (
	exitFailed = 1
	exitInput  = 2
)

func main() {
	app := kingpin.New("platformrelay", "Runs a relay node on the platform.")
	app.HelpFlag.Short('h')
	relay := app.Command("relay", "Run a node until SIGTERM, which begins a planned stop.")
	path := relay.Flag("settings", "The settings file.").Envar(platform.SettingsVariable).Required().String()
	check := app.Command("check", "Check a settings file.")
	file := check.Arg("file", "The settings file.").Required().String()
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case relay.FullCommand():
		exitOnError(run(*path), exitFailed)
	case check.FullCommand():
		_, err := platform.ReadSettings(*file)
		exitOnError(err, exitInput)
	}
}

// logLinesPerSecond is the sustained rate limit of log lines. It is several
// times the rate at which a busy node logs its requests. Lines beyond it are
// dropped and counted.
const logLinesPerSecond = 400

func run(path string) error {
	// Signals that come during the start must not end the process.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	settings, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	logWriter, stopLog := startLog()
	defer stopLog()
	program := &platform.Program{
		Settings: settings,
		Read:     func() (platform.Settings, error) { return platform.ReadSettings(path) },
		Reload:   reload,
		Log:      zerolog.New(logWriter).With().Timestamp().Str("node", settings.Name).Logger(),
	}
	return program.Run(ctx)
}

// startLog starts an asynchronous log writer. It returns the writer, and a function
// that stops it after the queued lines have been written.
func startLog() (io.Writer, func()) {
	logWriter := &spooler.Spooler{Out: os.Stdout, LinesPerSecond: logLinesPerSecond}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		logWriter.Run(ctx)
		close(done)
	}()
	return logWriter, func() {
		stop()
		<-done
	}
}

func exitOnError(err error, code int) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "platformrelay:", err)
		os.Exit(code)
	}
}
