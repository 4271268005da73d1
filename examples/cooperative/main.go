// Command cooperative is an example: it prints the configuration of Emaye Ustaları
// Kooperatifi, byte-identical to the output of cooperative.py.
//
// # Usage
//
//	go run ./examples/cooperative > cooperative.json
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/lacewingrelay/lacewingrelay/pkg/declarer"
)

func main() { Site().MustPrint(os.Stdout) }

// Site returns the co-operative's configuration.
func Site() *declarer.Site {
	site := declarer.New()
	shares := map[string]float64{"kadikoy": 1600, "bursa": 1200, "izmit": 1200}
	hosts := map[string]int{"kadikoy": 3, "bursa": 2, "izmit": 2}
	for name, n := range hosts {
		site.Add(declarer.Domain{Name: name, Region: "marmara", Hosts: n})
	}
	site.Add(
		declarer.Ceiling{Name: "cooperative", Watts: 4000, Shares: shares},
		declarer.Priority{Name: "verdict", Rank: 0, Deadline: 5 * time.Second},
		declarer.Priority{Name: "orders", Rank: 1, Deadline: 5 * time.Second},
		declarer.Priority{Name: "dossier", Rank: 2, Deadline: time.Minute},
		declarer.Service{
			Name: "usta-llm", Type: declarer.ServiceModel, Priority: "dossier", Objective: declarer.ObjectiveRecompute,
			Fencing: true, Concurrency: 8, IdleWatts: 60, RunWatts: 25, Timeout: 20 * time.Second,
		},
		declarer.Service{Name: "atolye", Type: declarer.ServicePlain, Priority: "orders", Concurrency: 32, RunWatts: 1, Timeout: 5 * time.Second},
		declarer.Version{Name: "usta-1", Model: "usta", Weights: "usta-enamel-1"},
		declarer.Model{Name: "usta", Service: "usta-llm", Version: "usta-1"},
		declarer.Store{Name: "hafiza-a", Domain: "kadikoy", Bytes: 512 << 30, LinkBytes: 1 << 30},
		declarer.Store{Name: "hafiza-b", Domain: "bursa", Bytes: 512 << 30, LinkBytes: 1 << 30},
		declarer.Retention{Name: declarer.RetentionName, Keep: 24 * time.Hour, Log: 7 * 24 * time.Hour},
	)
	// The teams' keys are placeholders; replace them.
	for i := range 10 {
		name := fmt.Sprintf("atelier-%d", i+1)
		site.Add(declarer.Team{Name: name, KeyHash: declarer.KeyHash("change-me-" + name), Rate: 20, Burst: 40, Concurrency: 32})
	}
	return site
}
