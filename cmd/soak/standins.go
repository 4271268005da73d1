package main

import (
	"context"
	"net/netip"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/lacewingrelay/lacewingrelay/platform/soak/launcher"
)

// standinVerbs adds the verbs log and endpoint. It returns what they run, by verb.
func standinVerbs(app *kingpin.Application) map[string]func(ctx context.Context) error {
	log := app.Command("log", "Run a stand-in of the log store until SIGTERM.")
	logOptions := launcher.LogOptions{Logger: newLogger()}
	address(log, "listen", "The address to listen on.", &logOptions.Listen).Required()
	log.Flag("retention", "How many records of a topic are kept for reads; 0 for all.").Default("0").IntVar(&logOptions.Retention)
	log.Flag("heartbeat", "The time between the writes of an endpoint.").Default("500ms").DurationVar(&logOptions.Heartbeat)

	endpoint := app.Command("endpoint", "Run a stand-in of an endpoint until SIGTERM, which begins a planned end.")
	options := launcher.EndpointOptions{Out: os.Stdout, Logger: newLogger()}
	endpoint.Flag("name", "The name in the record.").Required().StringVar(&options.Name)
	address(endpoint, "listen", "The address to listen on.", &options.Listen).Required()
	address(endpoint, "advertise", "The address in the directory; by default that to listen on.", &options.Advertise)
	endpoint.Flag("service", "The service.").Required().StringVar(&options.Service)
	endpoint.Flag("domain", "The failure domain.").Default("z1").StringVar(&options.Domain)
	endpoint.Flag("slots", "How many requests run at once.").Default("8").IntVar(&options.Slots)
	endpoint.Flag("model", "The model of an engine.").StringVar(&options.Model)
	address(endpoint, "log", "The address of the log store.", &options.Log).Required()
	endpoint.Flag("drain", "How long to serve once the log store has the planned end.").Default("2s").DurationVar(&options.Drain)
	endpoint.Flag("heartbeat", "The time between writes of the entry.").Default("500ms").DurationVar(&options.Heartbeat)
	endpoint.Flag("seed", "Determines how long requests take.").Default("1").Uint64Var(&options.Seed)

	return map[string]func(ctx context.Context) error{
		log.FullCommand():      func(ctx context.Context) error { return launcher.RunLog(ctx, logOptions) },
		endpoint.FullCommand(): func(ctx context.Context) error { return launcher.RunEndpoint(ctx, options) },
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
