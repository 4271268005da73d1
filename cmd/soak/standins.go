package main

import (
	"context"
	"net/netip"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/lacewingrelay/lacewingrelay/platform"
	"github.com/lacewingrelay/lacewingrelay/platform/soak/launcher"
	"github.com/lacewingrelay/lacewingrelay/platform/soak/logkeeper"
	"github.com/lacewingrelay/lacewingrelay/platform/soak/recorder"
	"github.com/lacewingrelay/lacewingrelay/platform/soak/responder"
)

// loadTime is the usual time in which an engine replaces its weights.
const loadTime = 600 * time.Millisecond

// standinVerbs adds the verbs log and endpoint. It returns what they run, by verb.
func standinVerbs(app *kingpin.Application) map[string]func(ctx context.Context) error {
	log := app.Command("log", "Run a stand-in of the log store until SIGTERM.")
	var listen netip.AddrPort
	store := &logkeeper.Store{Log: newLogger()}
	address(log, "listen", "The address to listen on.", &listen).Required()
	log.Flag("heartbeat", "The time between the writes of an endpoint.").Default("500ms").DurationVar(&store.Heartbeat)

	endpoint := app.Command("endpoint", "Run a stand-in of an endpoint until SIGTERM, which begins a planned end.")
	events := &recorder.Writer{Out: os.Stdout}
	e := &responder.Endpoint{Log: platform.NewLogStore(netip.AddrPort{}), Load: loadTime, Events: events, Logger: newLogger()}
	endpoint.Flag("name", "The name in the record.").Required().StringVar(&e.Name)
	address(endpoint, "listen", "The address to listen on.", &listen).Required()
	address(endpoint, "advertise", "The address in the directory; by default that to listen on.", &e.Advertise)
	endpoint.Flag("service", "The service.").Required().StringVar(&e.Service)
	endpoint.Flag("domain", "The failure domain.").Default("z1").StringVar(&e.Domain)
	endpoint.Flag("slots", "How many requests run at once.").Default("8").IntVar(&e.Slots)
	endpoint.Flag("model", "The model of an engine.").StringVar(&e.Model)
	address(endpoint, "log", "The address of the log store.", &e.Log.Address).Required()
	endpoint.Flag("drain", "How long to serve once the log store has the planned end.").Default("2s").DurationVar(&e.Drain)
	endpoint.Flag("heartbeat", "The time between writes of the entry.").Default("500ms").DurationVar(&e.Heartbeat)
	endpoint.Flag("seed", "Determines how long requests take.").Default("1").Uint64Var(&e.Seed)

	return map[string]func(ctx context.Context) error{
		log.FullCommand(): func(ctx context.Context) error { return launcher.RunLog(ctx, listen, store) },
		endpoint.FullCommand(): func(ctx context.Context) error {
			events.Source = e.Name
			return launcher.RunEndpoint(ctx, listen, e)
		},
	}
}

func newLogger() zerolog.Logger { return zerolog.New(os.Stderr).With().Timestamp().Logger() }

// addressValue parses an IP address with a port.
type addressValue struct{ out *netip.AddrPort }

// Set implements kingpin.Value.
func (v addressValue) Set(text string) (err error) {
	*v.out, err = netip.ParseAddrPort(text)
	return errors.Wrap(err, "address")
}

// String implements kingpin.Value.
func (v addressValue) String() string { return v.out.String() }

func address(command *kingpin.CmdClause, name, help string, out *netip.AddrPort) *kingpin.FlagClause {
	flag := command.Flag(name, help)
	flag.SetValue(addressValue{out})
	return flag
}
