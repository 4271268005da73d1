// Command suurdeeg is an example: it prints the configuration of Suurdeeg Labs,
// byte-identical to the output of suurdeeg.py.
//
// # Usage
//
//	go run ./examples/suurdeeg > suurdeeg.json
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/lacewingrelay/lacewingrelay/pkg/declarer"
)

func main() { Site().MustPrint(os.Stdout) }

// Site returns Suurdeeg's configuration.
func Site() *declarer.Site {
	site := declarer.New()
	shares := map[string]float64{}
	for i, name := range []string{"gp-braam", "gp-midrand", "gp-hatfield", "gp-germiston"} {
		hosts := 2
		if i == 0 {
			hosts = 1
		}
		shares[name] = 1000
		site.Add(declarer.Domain{Name: name, Region: "gauteng", Hosts: hosts})
	}
	site.Add(
		declarer.Ceiling{Name: "suurdeeg", Watts: 4000, Shares: shares},
		declarer.Priority{Name: "chat", Rank: 0, Deadline: 3 * time.Second},
		declarer.Priority{Name: "lookups", Rank: 1, Deadline: time.Second},
		declarer.Priority{Name: "orders", Rank: 1, Deadline: 5 * time.Second},
		declarer.Priority{Name: "tagging", Rank: 9, Deadline: 10 * time.Minute},
		declarer.Service{
			Name: "oven-brain", Type: declarer.ServiceModel, Priority: "chat", Objective: declarer.ObjectiveFirstToken,
			Concurrency: 8, IdleWatts: 60, RunWatts: 25, Timeout: 10 * time.Second,
		},
		declarer.Service{Name: "crumb-shop", Type: declarer.ServicePlain, Priority: "orders", Concurrency: 32, RunWatts: 1, Timeout: 5 * time.Second},
		declarer.Version{Name: "oven-1", Model: "oven", Weights: "oven-brain-1"},
		declarer.Model{Name: "oven", Service: "oven-brain", Version: "oven-1"},
		declarer.Store{Name: "guide-cache", Domain: "gp-braam", Bytes: 256 << 30, LinkBytes: 1 << 30},
		declarer.Store{Name: "guide-cache-two", Domain: "gp-midrand", Bytes: 256 << 30, LinkBytes: 1 << 30},
		declarer.Retention{Name: declarer.RetentionName, Keep: 48 * time.Hour, Log: 7 * 24 * time.Hour},
	)
	// The teams' keys are placeholders; replace them.
	for i := range 10 {
		name := fmt.Sprintf("route-%d", i+1)
		site.Add(declarer.Team{Name: name, KeyHash: declarer.KeyHash("change-me-" + name), Rate: 12.5, Burst: 30, Concurrency: 24})
	}
	return site
}
