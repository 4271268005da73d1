//go:build review

package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crowdSize is the number of clients of a crowd at each node, as in the project's own tests of crowds.
	crowdSize = 1500
	// crowdLines is the number of header lines of each of their requests, whose head has 15.7 KiB. The
	// configuration allows 16 KiB.
	crowdLines = 2650
	// crowds is the number of crowds, crowdTime how long each stays, and crowdPause the time between them.
	crowds     = 8
	crowdTime  = 4 * time.Second
	crowdPause = 4 * time.Second
	// samplePeriod is the time between looks at the memory of a process.
	samplePeriod = 20 * time.Millisecond
)

// crowdOfHeads lets crowds of clients send whole requests inside the limits at two of three nodes, while
// the workers of their service are slow. Like the platform, it kills a process that exceeds its memory, and
// starts it again. It checks Fault: on a tenth of the machines, two at least, processes end by themselves
// three times.
func crowdOfHeads(ctx context.Context, rec *record, trouble bool) (int, error) {
	shop, err := newShop(ctx, rec, 3)
	if err != nil {
		return 0, err
	}
	defer shop.close()
	for i := range 3 {
		w, err := shop.addWorker(ctx, deskService, shop.zones[i])
		if err != nil {
			return 0, err
		}
		w.work.Store(int64(2 * time.Second))
	}
	ends := map[*node]int{}
	watching, stopWatching := context.WithCancel(ctx)
	var watchers sync.WaitGroup
	var mu sync.Mutex
	highest := 0.0
	for _, n := range shop.nodes {
		watchers.Go(func() {
			for watching.Err() == nil {
				used := n.memoryMb()
				mu.Lock()
				highest = max(highest, used)
				mu.Unlock()
				if used > float64(shop.memoryMb) {
					rec.printf("BROKEN: %s has %.0f MB, its limit is %d: the platform kills it", n.name, used, shop.memoryMb)
					n.kill()
					mu.Lock()
					ends[n]++
					mu.Unlock()
					pause(ctx, 300*time.Millisecond)
					if err := n.start(); err != nil {
						rec.printf("%s: %v", n.name, err)
						return
					}
				}
				pause(ctx, samplePeriod)
			}
		})
	}
	pause(ctx, 3*time.Second)
	for i := range crowds {
		gathered, leave := context.WithTimeout(ctx, crowdTime)
		var crowd sync.WaitGroup
		if trouble {
			rec.printf("crowd %d: %d clients at %s and at %s", i+1, crowdSize, shop.nodes[0].name, shop.nodes[1].name)
			for _, n := range shop.nodes[:2] {
				shop.gather(gathered, &crowd, n)
			}
		}
		<-gathered.Done()
		leave()
		crowd.Wait()
		pause(ctx, crowdPause)
	}
	stopWatching()
	watchers.Wait()
	shop.stop()
	shop.callers.Wait()
	often := 0
	for _, n := range shop.nodes {
		rec.printf("%s ended %d times by its memory", n.name, ends[n])
		if ends[n] >= 3 {
			often++
		}
	}
	rec.printf("ordinary orders: %v; highest memory: %.0f MB; nodes that ended three times: %d", shop.answers.n, highest, often)
	fmt.Printf("ordinary orders %v, highest memory %.0f MB, %d nodes ended three times\n", shop.answers.n, highest, often)
	switch {
	case shop.answers.n["200"] < 300:
		return 0, errors.New("too few orders were served")
	case often >= 2:
		return broken, nil
	default:
		return held, nil
	}
}

// gather lets a crowd of clients send one request each to a node, and wait for the answer until ctx ends.
func (s *shop) gather(ctx context.Context, crowd *sync.WaitGroup, n *node) {
	lines := strings.Repeat("X: y\r\n", crowdLines)
	var sent atomic.Int64
	var mu sync.Mutex
	statuses := map[int]int{}
	context.AfterFunc(ctx, func() {
		mu.Lock()
		defer mu.Unlock()
		s.record.printf("crowd at %s: %d requests sent, answered by status: %v", n.name, sent.Load(), statuses)
	})
	for i := range crowdSize {
		crowd.Go(func() {
			conn, err := net.DialTimeout("tcp", n.at(servicePort), 2*time.Second)
			if err != nil {
				return
			}
			defer conn.Close()
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
			defer stop()
			_, err = fmt.Fprintf(conn, "GET /desk/%d HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: %08x%08x\r\nDeadline-Ms: 10000\r\nCredential: key-1\r\n%s\r\n", i, time.Now().UnixMilli(), i, lines)
			if err != nil {
				return
			}
			sent.Add(1)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err == nil {
				mu.Lock()
				statuses[response.StatusCode]++
				mu.Unlock()
				_ = response.Body.Close()
			}
		})
	}
}
