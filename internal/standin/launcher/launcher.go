// Package launcher implements the standin command, which runs one stand-in in its
// own process.
//
// # Usage
//
//	standin log --listen 127.0.0.1:7001
//	standin engine --listen 127.0.0.1:7010 --name usta-llm-1 --service usta-llm --domain kadikoy --hosts 127.0.0.1:7002
package launcher

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lacewingrelay/lacewingrelay/internal/standin/appender"
	"github.com/lacewingrelay/lacewingrelay/internal/standin/generator"
	"github.com/lacewingrelay/lacewingrelay/internal/standin/lister"
	"github.com/lacewingrelay/lacewingrelay/internal/standin/responder"
	"github.com/lacewingrelay/lacewingrelay/internal/standin/starter"
	"github.com/lacewingrelay/lacewingrelay/internal/standin/storer"
)

// options holds the values of the flags of all stand-ins.
type options struct {
	listen  string
	hosts   string
	name    string
	service string
	domain  string

	hostLag       time.Duration
	logRetention  int
	workTime      time.Duration
	storeCapacity int64
	storeLinkRate int64
	engine        generator.Server
}

// Main parses the command line and runs the stand-in that it names.
func Main() {
	var o options
	app := kingpin.New("standin", "Stand-ins of the platform for trials and tests. Faults are switched with PUT /_faults.")
	app.HelpFlag.Short('h')
	app.Flag("listen", "Address to listen on.").Required().StringVar(&o.listen)
	app.Flag("hosts", "Address of the host list to be entered in.").StringVar(&o.hosts)
	app.Flag("name", "Name on the host list.").StringVar(&o.name)
	app.Flag("service", "Service on the host list.").StringVar(&o.service)
	app.Flag("domain", "Failure domain on the host list.").StringVar(&o.domain)
	logs := app.Command("log", "The log service.")
	logs.Flag("retention", "Records that a stream keeps; 0 for all.").IntVar(&o.logRetention)
	hosts := app.Command("hosts", "The host list.")
	hosts.Flag("lag", "Time until a change is seen.").Default("500ms").DurationVar(&o.hostLag)
	engine := app.Command("engine", "A model engine.")
	engineFlags(engine, &o.engine)
	store := app.Command("store", "A store host.")
	store.Flag("capacity", "Bytes that fit.").Default("67108864").Int64Var(&o.storeCapacity)
	store.Flag("link", "Bytes per second of the link; 0 for no limit.").Int64Var(&o.storeLinkRate)
	service := app.Command("service", "A worker of a plain service.")
	service.Flag("work", "Time that a request takes.").Default("5ms").DurationVar(&o.workTime)
	command := kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := run(command, &o); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func engineFlags(engine *kingpin.CmdClause, s *generator.Server) {
	engine.Flag("weights", "Weights that are loaded at the start.").Default("w1").StringVar(&s.LoadedWeights)
	engine.Flag("cache-blocks", "Blocks that fit the prefix cache.").Default("64").IntVar(&s.CacheBlocks)
	engine.Flag("block-bytes", "Size of an exported block.").Default("65536").IntVar(&s.BlockBytes)
	engine.Flag("prefill-rate", "Prompt tokens per second.").Default("20000").Float64Var(&s.PrefillRate)
	engine.Flag("token-interval", "Time between tokens.").Default("10ms").DurationVar(&s.TokenInterval)
	engine.Flag("report-lag", "Age of load reports and cache events.").Default("200ms").DurationVar(&s.ReportLag)
	engine.Flag("drop-events", "Lose every n-th cache event; 0 for none.").IntVar(&s.DropEvery)
	engine.Flag("fencing", "Refuse orders with an old fencing number.").BoolVar(&s.Fencing)
	engine.Flag("load-time", "Time that loading weights takes.").Default("1s").DurationVar(&s.LoadTime)
	engine.Flag("restart-time", "Time that the engine is down after a crash.").Default("2s").DurationVar(&s.RestartTime)
}

func run(command string, o *options) error {
	address, err := netip.ParseAddrPort(o.listen)
	if err != nil {
		return err
	}
	server, err := starter.Start(address, handler(command, o))
	if err != nil {
		return err
	}
	o.engine.OnCrash = server.Crash
	if o.hosts != "" {
		if err := register(o, server.Address()); err != nil {
			return err
		}
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	<-stop
	server.Close()
	return nil
}

func handler(command string, o *options) http.Handler {
	switch command {
	case "log":
		return &appender.Server{Retention: o.logRetention}
	case "hosts":
		return &lister.Server{Lag: o.hostLag}
	case "engine":
		o.engine.Name = o.name
		return &o.engine
	case "store":
		return &storer.Server{Capacity: o.storeCapacity, LinkRate: o.storeLinkRate}
	default:
		return &responder.Server{Name: o.name, WorkTime: o.workTime}
	}
}

// register adds the stand-in to the host list.
func register(o *options, address netip.AddrPort) error {
	body, err := json.Marshal(map[string]string{
		"name": o.name, "service": o.service, "domain": o.domain, "address": address.String(), "state": string(lister.StateLive),
	})
	if err != nil {
		return err
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+o.hosts+"/v1/hosts/"+o.name, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}
