// Command soak runs fault soaks of the platform's relay, and the endpoints that they use.
//
// # Usage
//
//	soak run --seed 7 --length 60s --relay ./platformrelay --directory /tmp/soak
//	soak run --seed 1 --runs 50 --relay ./platformrelay --directory /tmp/soak
//	soak plan --seed 7
//	soak check /tmp/soak/seed-7
package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/lacewingrelay/lacewingrelay/platform"
	"github.com/lacewingrelay/lacewingrelay/platform/soak/planner"
	"github.com/lacewingrelay/lacewingrelay/platform/soak/recorder"
	"github.com/lacewingrelay/lacewingrelay/platform/soak/responder"
	"github.com/lacewingrelay/lacewingrelay/platform/soak/runner"
)

const (
	// slots is how many requests an endpoint runs at once.
	slots = 8
	// loadTime is the usual time in which an engine replaces its weights.
	loadTime = 600 * time.Millisecond
)

func main() {
	app := kingpin.New("soak", "Runs fault soaks of the relay.")
	app.HelpFlag.Short('h')

	s := &soak{shape: planner.DefaultShape}
	s.shape.Services = slices.Clone(s.shape.Services)
	run := app.Command("run", "Run a soak, and check its record.")
	plan := app.Command("plan", "Print the plan of a seed.")
	for _, verb := range []*kingpin.CmdClause{run, plan} {
		verb.Flag("seed", "The seed.").Default("1").Uint64Var(&s.seed)
		verb.Flag("length", "How long clients send requests.").Default("60s").DurationVar(&s.length)
		verb.Flag("nodes", "The number of nodes.").Default(fmt.Sprint(s.shape.Nodes)).IntVar(&s.shape.Nodes)
		for i := range s.shape.Services {
			service := &s.shape.Services[i]
			help := fmt.Sprintf("The number of endpoints of service %s.", service.Name)
			verb.Flag(service.Name, help).Default(fmt.Sprint(service.Endpoints)).IntVar(&service.Endpoints)
		}
	}
	run.Flag("runs", "The number of runs, each with the seed after that of the one before.").Default("1").Uint64Var(&s.runs)
	run.Flag("plan", "A file with the plan to use instead of that of the seed.").ExistingFileVar(&s.plan)
	run.Flag("clients", "The number of clients.").Default("100").IntVar(&s.clients)
	run.Flag("relay", "The program platformrelay.").Required().ExistingFileVar(&s.relay)
	run.Flag("directory", "Where each run gets a directory of its own, which must not exist yet.").Required().StringVar(&s.directory)

	check := app.Command("check", "Check the record of a run.")
	checked := check.Arg("directory", "The run's directory.").Required().String()

	endpoint := app.Command("endpoint", "Run an endpoint of a soak until SIGTERM, which begins a planned end.").Hidden()
	var listen netip.AddrPort
	e := &responder.Endpoint{Log: platform.NewLogStore(netip.AddrPort{}), Logger: zerolog.New(os.Stderr).With().Timestamp().Logger()}
	endpoint.Flag("name", "The name in the record.").Required().StringVar(&e.Name)
	endpoint.Flag("listen", "The address to listen on.").Required().SetText(&listen)
	endpoint.Flag("advertise", "The address in the directory.").Required().SetText(&e.Advertise)
	endpoint.Flag("service", "The service.").Required().StringVar(&e.Service)
	endpoint.Flag("domain", "The failure domain.").Required().StringVar(&e.Domain)
	endpoint.Flag("model", "The model of an engine.").StringVar(&e.Model)
	endpoint.Flag("brittle", "Be brittle at times.").BoolVar(&e.Brittle)
	endpoint.Flag("limits", "Limit the requests at times.").BoolVar(&e.Limits)
	endpoint.Flag("log", "The address of the log store.").Required().SetText(&e.Log.Address)

	verb := kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var err error
	switch verb {
	case run.FullCommand():
		err = s.run(ctx)
	case plan.FullCommand():
		fmt.Print(planner.Format(planner.Plan(s.seed, s.shape, s.length)))
	case check.FullCommand():
		var findings int
		if findings, err = checkRecord(*checked); findings > 0 {
			err = errors.New("the record breaks rules")
		}
	case endpoint.FullCommand():
		err = runEndpoint(ctx, listen, e, os.Stdout)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

// runEndpoint serves as an endpoint until ctx ends, and then until it has left. It writes its
// events to a writer.
func runEndpoint(ctx context.Context, listen netip.AddrPort, e *responder.Endpoint, events io.Writer) error {
	e.Slots, e.Load, e.Drain, e.Heartbeat = slots, loadTime, runner.DrainLimit, runner.Heartbeat
	e.Events = &recorder.Writer{Out: events, Source: e.Name}
	listener, err := net.Listen("tcp", listen.String())
	if err != nil {
		return errors.Wrap(err, "endpoint")
	}
	return e.Run(ctx, listener)
}
