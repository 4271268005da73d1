// Command lacewingrelay runs a node, which serves language-model prompts and plain
// services, and the operators' commands.
//
// # Usage
//
//	lacewingrelay demo --once
//	lacewingrelay serve --settings node.toml
//	lacewingrelay publish --log 127.0.0.1:7001 site.json
package main

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/lacewingrelay/lacewingrelay/internal/commander"
	"github.com/lacewingrelay/lacewingrelay/internal/demonstrator"
	"github.com/lacewingrelay/lacewingrelay/internal/parser"
	"github.com/lacewingrelay/lacewingrelay/internal/runner"
)

// Exit codes, as documented in the help text.
const (
	exitFailed     = 1
	exitInput      = 2
	exitRejected   = 3
	exitNotApplied = 4
	exitNode       = 5
)

const help = `Serves language-model prompts that return after long gaps, and plain services beside them, under one power ceiling.

Try it:            lacewingrelay demo --once
Run a node:        lacewingrelay serve --settings node.toml
Change the site:   lacewingrelay check site.json && lacewingrelay publish --log 127.0.0.1:7001 site.json
Look at it:        lacewingrelay status --node 127.0.0.1:7300

Exit codes: 0 done, 1 failed, 2 bad input, 3 change rejected, 4 change not in force everywhere in time, 5 node did not answer.`

// command runs a subcommand after its flags have been parsed.
type command func(ctx context.Context) error

func main() {
	app := kingpin.New("lacewingrelay", help)
	app.HelpFlag.Short('h')
	app.UsageWriter(os.Stdout)
	commands := map[string]command{}
	addServe(app, commands)
	addCheck(app, commands)
	addPublish(app, commands)
	addConfig(app, commands)
	addNodeCommands(app, commands)
	addDemo(app, commands)
	selected, err := app.Parse(os.Args[1:])
	if err != nil {
		fail(errors.Mark(err, commander.ErrInput))
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := commands[selected](ctx); err != nil {
		fail(err)
	}
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, "lacewingrelay:", err)
	os.Exit(exitCode(err))
}

func exitCode(err error) int {
	switch {
	case errors.Is(err, commander.ErrInput), errors.Is(err, parser.ErrInvalid):
		return exitInput
	case errors.Is(err, commander.ErrRejected):
		return exitRejected
	case errors.Is(err, commander.ErrNotApplied):
		return exitNotApplied
	case errors.Is(err, commander.ErrNode):
		return exitNode
	}
	return exitFailed
}

// address is a flag value: an IP address with a port.
type address struct{ netip.AddrPort }

// Set implements kingpin.Value.
func (a *address) Set(text string) error {
	parsed, err := netip.ParseAddrPort(text)
	a.AddrPort = parsed
	return err
}

func addServe(app *kingpin.Application, commands map[string]command) {
	serve := app.Command("serve", "Run a node until SIGTERM, which begins a planned stop.")
	path := serve.Flag("settings", "The node's settings in TOML.").Required().String()
	commands[serve.FullCommand()] = func(ctx context.Context) error {
		settings, err := parser.ParseFile(*path)
		if err != nil {
			return err
		}
		node := &runner.Node{Settings: settings, Log: logger(settings, os.Stderr)}
		return node.Run(ctx)
	}
}

func logger(settings parser.Settings, w io.Writer) zerolog.Logger {
	if settings.LogFormat == parser.FormatConsole {
		w = zerolog.ConsoleWriter{Out: w, TimeFormat: time.RFC3339}
	}
	return zerolog.New(w).Level(settings.LogLevel).With().Timestamp().Str("node", settings.Name).Logger()
}

func addCheck(app *kingpin.Application, commands map[string]command) {
	check := app.Command("check", "Check a node's settings (.toml) or a printed configuration (.json).")
	path := check.Arg("file", "The file.").Required().String()
	commands[check.FullCommand()] = func(context.Context) error {
		return (&commander.Check{File: *path, Out: os.Stdout}).Run()
	}
}

func addPublish(app *kingpin.Application, commands map[string]command) {
	publish := app.Command("publish", "Publish a printed configuration and wait for its verdict.")
	path := publish.Arg("file", "The printed configuration.").Required().String()
	log := addressFlag(publish, "log", "Address of the log service.")
	base := publish.Flag("base", "Offset that the file was made from; without it the newest.").Default("-1").Int64()
	prune := publish.Flag("prune", "Delete objects that the file lacks.").Bool()
	wait := publish.Flag("wait", "Wait this long until the change is in force on all live nodes.").Duration()
	var node address
	publish.Flag("node", "Operators' address of any node, for --wait.").SetValue(&node)
	commands[publish.FullCommand()] = func(ctx context.Context) error {
		if *wait > 0 && !node.IsValid() {
			return errors.Wrap(commander.ErrInput, "--wait needs --node")
		}
		run := &commander.Publish{
			File: *path, Log: log.AddrPort, Base: *base, Prune: *prune,
			Wait: *wait, Node: node.AddrPort, Out: os.Stdout,
		}
		return run.Run(ctx)
	}
}

func addressFlag(clause *kingpin.CmdClause, name, help string) *address {
	value := &address{}
	clause.Flag(name, help).Required().SetValue(value)
	return value
}

func addConfig(app *kingpin.Application, commands map[string]command) {
	config := app.Command("config", "Look at the published configuration.")
	show := config.Command("show", "Print the configuration in force, and its offset on standard error.")
	showLog := addressFlag(show, "log", "Address of the log service.")
	commands[show.FullCommand()] = func(ctx context.Context) error {
		return (&commander.ShowConfiguration{Log: showLog.AddrPort, Out: os.Stdout}).Run(ctx)
	}
	history := config.Command("history", "Print all changes with their verdicts.")
	historyLog := addressFlag(history, "log", "Address of the log service.")
	commands[history.FullCommand()] = func(ctx context.Context) error {
		return (&commander.ShowHistory{Log: historyLog.AddrPort, Out: os.Stdout}).Run(ctx)
	}
}

func addNodeCommands(app *kingpin.Application, commands map[string]command) {
	status := app.Command("status", "Show a node, its peers and the endpoints.")
	statusNode := addressFlag(status, "node", "Operators' address of the node.")
	asJSON := status.Flag("json", "Print JSON.").Bool()
	commands[status.FullCommand()] = func(ctx context.Context) error {
		return (&commander.ShowStatus{Node: statusNode.AddrPort, JSON: *asJSON, Out: os.Stdout}).Run(ctx)
	}
	timeline := app.Command("timeline", "Print the merged time line of all nodes.")
	timelineNode := addressFlag(timeline, "node", "Operators' address of any node.")
	request := timeline.Flag("request", "Show one request only.").String()
	kind := timeline.Flag("kind", "Show one kind of event only.").String()
	format := timeline.Flag("format", "text, json or html.").Default("text").Enum("text", "json", "html")
	commands[timeline.FullCommand()] = func(ctx context.Context) error {
		run := &commander.Timeline{Node: timelineNode.AddrPort, Request: *request, Kind: *kind, Format: *format, Out: os.Stdout}
		return run.Run(ctx)
	}
	drain := app.Command("drain", "Begin a node's planned stop.")
	drainNode := addressFlag(drain, "node", "Operators' address of the node.")
	key := drain.Flag("key", "The operators' key.").Envar("LACEWINGRELAY_OPERATOR_KEY").Required().String()
	commands[drain.FullCommand()] = func(ctx context.Context) error {
		return (&commander.Drain{Node: drainNode.AddrPort, Key: *key, Out: os.Stdout}).Run(ctx)
	}
}

func addDemo(app *kingpin.Application, commands map[string]command) {
	demo := app.Command("demo", "Run the main job on embedded stand-ins in one process.")
	once := demo.Flag("once", "End after the demonstration.").Bool()
	htmlPath := demo.Flag("html", "Write the time line to this file as a page.").String()
	commands[demo.FullCommand()] = func(ctx context.Context) error {
		run := &demonstrator.Demo{Out: os.Stdout, KeepRunning: !*once}
		if *htmlPath != "" {
			file, err := os.Create(*htmlPath)
			if err != nil {
				return errors.Mark(err, commander.ErrInput)
			}
			defer file.Close()
			run.HTML = file
		}
		return run.Run(ctx)
	}
}
