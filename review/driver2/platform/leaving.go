//go:build review

package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Bounds of RULES.md, as in the settings of the site.
const (
	contactTime = 3 * time.Second
	drainTime   = 2 * time.Second
	// arrivalSlack covers the way of an order through its node: it was sent by a client that much
	// earlier at most.
	arrivalSlack = 50 * time.Millisecond
)

const (
	// cutTime is how long a node is cut off from the store, as in the site file, and leaveAfter how
	// long after that a worker leaves.
	cutTime    = 5500 * time.Millisecond
	leaveAfter = 1200 * time.Millisecond
	// extra is how long a worker that leaves serves beyond DrainMs, which is "a little longer".
	extra = 250 * time.Millisecond
)

// leavingAfterCut lets workers leave one after the other soon after a node was cut off from the
// store. The node is in touch again before DrainMs is over. It checks DRAIN: no order reaches a worker
// later than DrainMs after the store has accepted that it is gone.
func leavingAfterCut(ctx context.Context, rec *record, trouble bool) (int, error) {
	shop, err := newShop(ctx, rec, 5)
	if err != nil {
		return 0, err
	}
	defer shop.close()
	for i := range 6 {
		w, cut := shop.workers[i], shop.nodes[i%len(shop.nodes)]
		if trouble {
			rec.printf("%s is cut off from the store", cut.name)
			cut.log.set(true)
		}
		pause(ctx, cutTime)
		if trouble {
			cut.log.set(false)
			rec.printf("%s reaches the store again", cut.name)
		}
		inTouch := time.Now().Add(contactTime)
		pause(ctx, leaveAfter)
		acked := w.leave()
		shop.departures = append(shop.departures, departure{w, acked, inTouch})
		pause(ctx, time.Until(acked.Add(drainTime+extra)))
		w.exit()
		next, err := shop.addWorker(ctx, shopService, w.zone)
		if err != nil {
			return 0, err
		}
		shop.workers = append(shop.workers, next)
		pause(ctx, 2500*time.Millisecond)
	}
	return shop.judge()
}

// Services of the site. Orders go to the first one only.
const (
	shopService = "shop"
	deskService = "desk"
)

// shop is a site with a plain service, whose clients send orders all the time.
type shop struct {
	*site
	workers    []*worker
	departures []departure
	answers    counts
	results    sync.Map
	stop       context.CancelFunc
	callers    sync.WaitGroup
}

// departure is the time at which the store has accepted that a worker leaves.
type departure struct {
	worker *worker
	acked  time.Time
	// inTouch is from when on all nodes are in touch.
	inTouch time.Time
}

func newShop(ctx context.Context, rec *record, workers int) (*shop, error) {
	s, err := newSite(ctx, rec)
	if err != nil {
		return nil, err
	}
	shop := &shop{site: s, answers: counts{n: map[string]int{}}, stop: func() {}}
	if err := shop.open(ctx, workers); err != nil {
		shop.close()
		return nil, err
	}
	return shop, nil
}

func (s *shop) open(ctx context.Context, workers int) error {
	for i := range workers {
		w, err := s.addWorker(ctx, shopService, s.zones[i%len(s.zones)])
		if err != nil {
			return err
		}
		s.workers = append(s.workers, w)
	}
	s.operator("config", map[string]any{
		"Version": 3,
		"Routes": []any{map[string]any{
			"Name": "r-1", "Host": "site.example", "PathPrefix": "/order/", "Type": "unsafe", "TimeoutMs": 3000, "TargetLatencyMs": 300, "Priority": 0,
			"Service": shopService, "MaxAttempts": 1, "AllowAnonymous": false,
		}, map[string]any{
			"Name": "r-2", "Host": "site.example", "PathPrefix": "/desk/", "Type": "safe", "TimeoutMs": 15000, "TargetLatencyMs": 1000, "Priority": 1,
			"Service": deskService, "MaxAttempts": 2, "AllowAnonymous": false,
		}},
		"Services": []any{
			map[string]any{"Name": shopService, "HealthPath": "/health", "MaxConnections": 100},
			map[string]any{"Name": deskService, "HealthPath": "/health", "MaxConnections": 100},
		},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{"Name": "tenant", "ApiKeys": []string{"key-1"}, "Priority": 1}},
	})
	for range 3 {
		if _, err := s.addNode(ctx); err != nil {
			return err
		}
	}
	for _, n := range s.nodes {
		if !n.awaitReady(15 * time.Second) {
			return fmt.Errorf("%s is not ready", n.name)
		}
	}
	pause(ctx, 4*time.Second)
	load, stop := context.WithCancel(ctx)
	s.stop = stop
	for i := range 12 {
		s.callers.Add(1)
		go s.call(load, i)
	}
	pause(ctx, 3*time.Second)
	return nil
}

// call is a client that sends one order after the other, each to another node.
func (s *shop) call(ctx context.Context, client int) {
	defer s.callers.Done()
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%08x%08x", client, n)
		result := order(s.record, s.nodes[(client+n)%len(s.nodes)], id)
		s.results.Store(id, result)
		s.answers.add(result)
		pause(ctx, 100*time.Millisecond)
	}
}

// judge checks DRAIN: no order reaches a worker later than DrainMs after its departure.
func (s *shop) judge() (int, error) {
	s.stop()
	s.callers.Wait()
	late, lost := 0, 0
	for _, d := range s.departures {
		d.worker.mu.Lock()
		for _, a := range d.worker.arrivals {
			after := a.at.Sub(d.acked)
			if after <= drainTime || a.at.Before(d.inTouch.Add(arrivalSlack)) {
				continue
			}
			late++
			if !a.whole {
				lost++
			}
			result, _ := s.results.Load(a.id)
			s.record.printf("BROKEN: order %s reached worker %s %d ms after the store had accepted that it leaves (bound %d ms); ran to its end: %t; the client got %v",
				a.id, d.worker.id, after.Milliseconds(), drainTime.Milliseconds(), a.whole, result)
		}
		d.worker.mu.Unlock()
	}
	s.record.printf("answers: %v; orders that reached a worker too late: %d, of these cut off by its exit: %d", s.answers.n, late, lost)
	fmt.Printf("answers %v, %d orders reached a worker too late, %d of them were cut off by its exit\n", s.answers.n, late, lost)
	switch {
	case s.answers.n["200"] < 500:
		return 0, errors.New("too few orders were served")
	case late > 0:
		return broken, nil
	default:
		return held, nil
	}
}

// lateHeartbeat lets the store carry out one write of a worker late: it comes after the worker has
// reported draining, and once the store has been stable for ContactMs. It checks DRAIN.
func lateHeartbeat(ctx context.Context, rec *record, trouble bool) (int, error) {
	shop, err := newShop(ctx, rec, 5)
	if err != nil {
		return 0, err
	}
	defer shop.close()
	for _, w := range shop.workers[:4] {
		if trouble {
			w.lateBeat(contactTime + 100*time.Millisecond + drainTime + 50*time.Millisecond)
		}
		pause(ctx, contactTime+100*time.Millisecond)
		acked := w.drain()
		shop.departures = append(shop.departures, departure{w, acked, acked})
		pause(ctx, time.Until(acked.Add(drainTime+extra)))
		w.leave()
		w.exit()
		if _, err := shop.addWorker(ctx, shopService, w.zone); err != nil {
			return 0, err
		}
		pause(ctx, 6*time.Second)
	}
	return shop.judge()
}

// order sends an unsafe request over a connection of its own and returns its status.
func order(rec *record, n *node, id string) string {
	conn, err := net.DialTimeout("tcp", n.at(servicePort), time.Second)
	if err != nil {
		return "no connection"
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(3500 * time.Millisecond))
	rec.printf("client sends order %s to %s", id, n.name)
	_, _ = fmt.Fprintf(conn, "POST /order/2f HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 3000\r\nCredential: key-1\r\nContent-Length: 16\r\nConnection: close\r\n\r\n%s", id, id)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		rec.printf("order %s gets no answer: %v", id, err)
		return "no answer"
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	rec.printf("order %s is answered %d %q (error: %v)", id, response.StatusCode, text, err)
	if err != nil {
		return "cut"
	}
	return fmt.Sprint(response.StatusCode)
}

// pause waits, or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// counts counts results.
type counts struct {
	mu sync.Mutex
	n  map[string]int
}

func (c *counts) add(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n[key]++
}
