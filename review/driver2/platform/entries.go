//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// partialEntries lets another writer write entries under the keys of workers of one service that lack
// most fields and name the other service. It checks ROUTE: no order is run by a worker of a service
// to which no configuration has sent it.
func partialEntries(ctx context.Context, rec *record, trouble bool) (int, error) {
	shop, err := newShop(ctx, rec, 3)
	if err != nil {
		return 0, err
	}
	defer shop.close()
	var desk []*worker
	for i := range 3 {
		w, err := shop.addWorker(ctx, deskService, shop.zones[i])
		if err != nil {
			return 0, err
		}
		desk = append(desk, w)
	}
	pause(ctx, 3*time.Second)
	for i := range 6 {
		if trouble {
			desk[i%len(desk)].partialEntry(shopService)
		}
		pause(ctx, 3*time.Second)
	}
	shop.stop()
	shop.callers.Wait()
	wrong := 0
	for _, w := range desk {
		w.mu.Lock()
		for _, a := range w.arrivals {
			wrong++
			result, _ := shop.results.Load(a.id)
			rec.printf("BROKEN: order %s was run by worker %s of service %s; the client got %v", a.id, w.id, w.service, result)
		}
		w.mu.Unlock()
	}
	rec.printf("answers: %v; orders run by the wrong service: %d", shop.answers.n, wrong)
	fmt.Printf("answers %v, %d orders run by the wrong service\n", shop.answers.n, wrong)
	switch {
	case shop.answers.n["200"] < 300:
		return 0, errors.New("too few orders were served")
	case wrong > 0:
		return broken, nil
	default:
		return held, nil
	}
}
