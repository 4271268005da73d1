//go:build review

package main

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

var errNotServed = errors.New("requests are not answered before the disruption")

// newEngine returns an engine of a zone. Engines load new weights in the order of their ids.
func newEngine(id, zone string) *engine {
	return &engine{id: id, holder: holder{zone: zone, capacity: 84438, linkMbps: 550000}}
}

func newNode(i int, zone string) *node {
	return &node{name: fmt.Sprintf("front-%s-%d", zone, i), zone: zone, ip: fmt.Sprintf("127.1.0.%d", i)}
}

// team is a tenant of a configuration.
func team(name, key string, isolated bool) map[string]any {
	t := map[string]any{"Name": name, "ApiKeys": []string{key}, "Priority": 1}
	if isolated {
		t["Isolated"] = true
	}
	return t
}

// freedWhileFetched names new weights several times, while transfers from one of two stores take
// eight times as long. A domain has four nodes, one more than follow the stores.
func freedWhileFetched(s *site) error {
	const (
		documents = 30
		pause     = 90 * time.Millisecond
		warmUp    = 120
		slowFor   = 5500 * time.Millisecond
		versions  = 7
		// period is the time between two versions.
		period = 13 * time.Second
	)
	for i, zone := range []string{"kadikoy", "kadikoy", "kadikoy", "kadikoy", "bursa", "bursa", "izmit", "izmit"} {
		s.nodes = append(s.nodes, newNode(i+1, zone))
	}
	for i := range 9 {
		s.engines = append(s.engines, newEngine(fmt.Sprintf("i-%d", i+1), []string{"kadikoy", "bursa", "izmit"}[i%3]))
	}
	slowStore := &holder{name: "hafiza-b", address: "127.72.0.2", zone: "bursa", capacity: 828206, linkMbps: 34000, firstTime: 6 * time.Millisecond}
	s.stores = []*holder{slowStore, {name: "hafiza-a", address: "127.72.0.1", zone: "izmit", capacity: 110427, linkMbps: 84000}}
	if err := s.deploy(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	s.configure(1, []map[string]any{team("jeye930", "key-a", false)})
	if err := s.awaitReady(); err != nil {
		return err
	}
	var group sync.WaitGroup
	var served atomic.Int64
	send := func(i int) {
		group.Add(1)
		go func() {
			defer group.Done()
			d := document{id: fmt.Sprintf("5c1e%04x", i*7%documents), tokens: 20000}
			if s.ask(s.nodes[i%4], "key-a", d) == 200 {
				served.Add(1)
			}
		}()
		time.Sleep(pause)
	}
	for i := range warmUp {
		send(i)
	}
	if served.Load() < warmUp/2 {
		return errNotServed
	}
	for version := int64(2); version <= versions; version++ {
		if s.trouble {
			s.record.note("transfers from %s take 8 times as long for %s", slowStore.name, slowFor)
			slowStore.setSlow(8)
			time.AfterFunc(slowFor, func() { slowStore.setSlow(1) })
		}
		s.nameVersion(version)
		for i := range int(period / pause) {
			send(i)
		}
	}
	group.Wait()
	return nil
}

// isolatedLater isolates a team whose requests have made parts that others may share by then.
func isolatedLater(s *site) error {
	const documents = 6
	s.nodes = []*node{newNode(1, "kadikoy"), newNode(2, "bursa"), newNode(3, "izmit")}
	s.engines = []*engine{newEngine("i-a1", "kadikoy"), newEngine("i-a2", "bursa"), newEngine("i-a3", "izmit")}
	s.stores = []*holder{{name: "hafiza-b", address: "127.72.0.2", zone: "bursa", capacity: 828206, linkMbps: 34000, firstTime: 6 * time.Millisecond}}
	if err := s.deploy(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	s.configure(1, []map[string]any{team("jeye930", "key-a", false), team("bozi300", "key-b", false)})
	if err := s.awaitReady(); err != nil {
		return err
	}
	ask := func(key string) error {
		for i := range documents {
			if s.ask(s.nodes[i%len(s.nodes)], key, document{id: fmt.Sprintf("5c1e%04x", i), tokens: 8610}) != 200 {
				return errNotServed
			}
		}
		return nil
	}
	if err := ask("key-a"); err != nil {
		return err
	}
	if s.trouble {
		s.configure(4, []map[string]any{team("jeye930", "key-a", true), team("bozi300", "key-b", false)})
	}
	// Requests are judged that are sent later than the configuration must be in force.
	time.Sleep(2 * applyLimit)
	return ask("key-b")
}
