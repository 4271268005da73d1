// Command loadgen generates open-loop load from a seed and prints the latencies
// and outcomes that callers see. Its evict command compares eviction policies
// on a synthetic trace instead.
//
// # Usage
//
//	loadgen rounds --workload cooperative
//	loadgen overhead --node 127.0.0.1:7100 --operators 127.0.0.1:7300 --engine 127.0.0.1:7010
//	loadgen evict --seed 1
package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lacewingrelay/lacewingrelay/internal/benchmarker"
)

func main() {
	app := kingpin.New("loadgen", "Seeded open-loop load with histograms.")
	app.HelpFlag.Short('h')
	rounds := app.Command("rounds", "Serve the same load in several ways on embedded stand-ins.")
	var loadRounds benchmarker.Rounds
	rounds.Flag("workload", "cooperative or suurdeeg.").Default("cooperative").StringVar(&loadRounds.Workload)
	rounds.Flag("seed", "Seed of the arrivals.").Default("1").Uint64Var(&loadRounds.Seed)
	rounds.Flag("span", "Length of the load.").Default("40s").DurationVar(&loadRounds.Span)
	rounds.Flag("factor", "Factor on all rates.").Default("1").Float64Var(&loadRounds.Factor)
	rounds.Flag("nodes", "Entry nodes.").Default("3").IntVar(&loadRounds.Nodes)
	rounds.Flag("engines", "Model engines.").Default("9").IntVar(&loadRounds.Engines)
	rounds.Flag("ceiling", "Power ceiling in watts; 0 for none.").Default("3000").Float64Var(&loadRounds.Ceiling)
	rounds.Flag("deadline", "Longest wait of a chat request; 0 for ten seconds.").DurationVar(&loadRounds.Deadline)
	rounds.Flag("only", "Run only the round of this name.").StringVar(&loadRounds.Only)
	overhead := app.Command("overhead", "Pair the same load through a node and straight to an engine.")
	var overheadTrial benchmarker.Overhead
	var node, operators, engine string
	overhead.Flag("node", "Callers' address of the node.").Required().StringVar(&node)
	overhead.Flag("operators", "Operators' address of the node.").Required().StringVar(&operators)
	overhead.Flag("engine", "Address of the engine.").Required().StringVar(&engine)
	overhead.Flag("rate", "Requests per second on each way.").Default("600").Float64Var(&overheadTrial.Rate)
	overhead.Flag("tokens", "Tokens of an answer.").Default("16").IntVar(&overheadTrial.Tokens)
	overhead.Flag("span", "Length of the load.").Default("10s").DurationVar(&overheadTrial.Span)
	overhead.Flag("streams", "Open streams for the measure of memory.").Default("1000").IntVar(&overheadTrial.Streams)
	evict := app.Command("evict", "Compare eviction policies on one synthetic trace of returning prompts.")
	var evictionTrial benchmarker.EvictionTrial
	evict.Flag("seed", "Seed of the trace.").Default("1").Uint64Var(&evictionTrial.Seed)
	evict.Flag("chats", "Number of conversations.").Default("20000").IntVar(&evictionTrial.Conversations)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var err error
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case rounds.FullCommand():
		loadRounds.Out = os.Stdout
		err = loadRounds.Run(ctx)
	case evict.FullCommand():
		evictionTrial.Out = os.Stdout
		evictionTrial.Run()
	case overhead.FullCommand():
		overheadTrial.Out = os.Stdout
		err = parseAddresses(map[string]*netip.AddrPort{node: &overheadTrial.Node, operators: &overheadTrial.Operators, engine: &overheadTrial.Engine})
		if err == nil {
			err = overheadTrial.Run(ctx)
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "loadgen:", err)
		os.Exit(1)
	}
}

func parseAddresses(addresses map[string]*netip.AddrPort) error {
	for text, target := range addresses {
		parsed, err := netip.ParseAddrPort(text)
		if err != nil {
			return err
		}
		*target = parsed
	}
	return nil
}
