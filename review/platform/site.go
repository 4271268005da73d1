//go:build review

package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	model       = "daka510000"
	engineTitle = "huvo11a"
	// heartbeat is the time between two entries of an endpoint.
	heartbeat = 1200 * time.Millisecond
	// applyLimit is the time after which a configuration is in force, and drawn from the bounds
	// of the small sites, as all settings below.
	applyLimit = 2 * time.Second
	// readyLimit is how long the nodes may take to become ready, and quietTime the time between
	// the start of the machines and that of the traffic.
	readyLimit = 20 * time.Second
	quietTime  = 10 * time.Second
)

var errNotReady = errors.New("nodes are not ready in time")

// node is a relay node, in a process of its own.
type node struct {
	name    string
	zone    string
	ip      string
	process *exec.Cmd
}

// site is a small deployment.
type site struct {
	relay     string
	directory string
	record    *record
	trouble   bool

	log     *logStore
	nodes   []*node
	engines []*engine
	stores  []*holder
	// holders are all engines and stores, by address.
	holders map[string]*holder
	// ports are those of callers, health checks and control, and the first of the free ones.
	callerPort, healthPort, controlPort, peerPort int
	storePort                                     int
	stopping                                      chan struct{}

	mu        sync.Mutex
	isolation map[string]bool
}

// deploy starts the platform's log store, the endpoints and the nodes.
func (s *site) deploy() error {
	s.log, s.holders, s.stopping, s.isolation = newLogStore(), map[string]*holder{}, make(chan struct{}), map[string]bool{}
	ports, err := freePorts(6)
	if err != nil {
		return err
	}
	s.callerPort, s.healthPort, s.controlPort, s.peerPort, s.storePort = ports[0], ports[1], ports[2], ports[3], ports[4]
	if err := serve(fmt.Sprintf("127.200.1.7:%d", s.storePort), s.log); err != nil {
		return err
	}
	for _, h := range s.stores {
		h.record, h.model = s.record, model
		h.init()
		h.address = fmt.Sprintf("%s:%d", h.address, ports[5])
		s.holders[h.address] = h
		if err := serve(h.address, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if !h.serve(w, r) {
				w.WriteHeader(http.StatusNotFound)
			}
		})); err != nil {
			return err
		}
	}
	for i, e := range s.engines {
		e.site, e.record, e.model, e.evicts, e.service, e.version = s, s.record, model, true, engineTitle, 1
		e.slots = make(chan struct{}, 64)
		e.init()
		e.name = e.id
		e.address = fmt.Sprintf("127.64.0.%d:%d", i+1, ports[5])
		s.holders[e.address] = &e.holder
		if err := serve(e.address, e); err != nil {
			return err
		}
		go s.renew(e)
	}
	return s.startNodes()
}

// serve serves an address until the process ends.
func serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() { _ = (&http.Server{Handler: handler}).Serve(listener) }()
	return nil
}

// freePorts returns ports that are free on one loopback address, and so most likely on the others.
func freePorts(n int) ([]int, error) {
	var ports []int
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// renew writes an engine's entry now and then.
func (s *site) renew(e *engine) {
	for {
		s.announce(e)
		select {
		case <-time.After(heartbeat):
		case <-s.stopping:
			return
		}
	}
}

func (s *site) announce(e *engine) { s.log.put("keyed.servers", e.id, e.entry()) }

func (s *site) startNodes() error {
	var seeds []string
	for _, n := range s.nodes[:min(len(s.nodes), 3)] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", n.ip, s.controlPort))
	}
	for _, n := range s.nodes {
		path := filepath.Join(s.directory, n.name+".conf")
		if err := os.WriteFile(path, []byte(s.settings(n, seeds)), 0o600); err != nil {
			return err
		}
		output, err := os.Create(filepath.Join(s.directory, n.name+".log"))
		if err != nil {
			return err
		}
		n.process = exec.Command(s.relay, "relay")
		n.process.Env = append(os.Environ(), "LACEWINGRELAY_CONFIG="+path)
		n.process.Stdout, n.process.Stderr = output, output
		if err := n.process.Start(); err != nil {
			return err
		}
		s.record.note("%s starts", n.name)
	}
	return nil
}

func (s *site) settings(n *node, seeds []string) string {
	return strings.Join([]string{
		"NodeName=" + n.name, "Role=relay", "MachineClass=front", "Serves=front,control", "Ip=" + n.ip, "Zone=" + n.zone,
		"Region=marmara", "Zones.kadikoy=marmara", "Zones.bursa=marmara", "Zones.izmit=marmara",
		fmt.Sprintf("Listen.Front=%s:%d", n.ip, s.callerPort), fmt.Sprintf("Listen.Ready=%s:%d", n.ip, s.healthPort),
		fmt.Sprintf("Listen.Control=%s:%d", n.ip, s.controlPort), fmt.Sprintf("InternalPortRange=%d,%d", s.peerPort, s.peerPort),
		"SeedNodes=" + strings.Join(seeds, ","), "Bootstrap=true", "FaultCounted=false", "Limits.CpuShare=0.4", "Limits.CpuCores=1",
		"Limits.MemoryMb=284", "Limits.MaxFds=4100", "Limits.LinkMbps=1000.0", "Limits.DiskMb=0", "Discovery=platform", "EntryMode=vip",
		"HeartbeatMs=1200", "FaultTolerance.Machines=1", "FaultTolerance.Zones=1", "FaultTolerance.Regions=0",
		"Bounds.ContactMs=3000", "Bounds.AckMs=4000", "Bounds.DrainMs=2000", "Bounds.GraceS=8", "Bounds.LossSlackMs=200",
		"Bounds.ConfigApplyMs=2000", "Bounds.RollbackSlackMs=250", "Bounds.MaxStretchMs=5000", "Bounds.RetryBudgetRatio=0.2",
		"Bounds.BudgetWindowS=10", "Bounds.RetryBudgetSlack=54", "Bounds.RecoveryS=12", "Bounds.TransitMs=120", "Bounds.ReuseWindowS=20",
		"Bounds.FencingEnforced=false", "Bounds.LeaseMs=3000", "Bounds.ThawMs=300", "Bounds.VersionMs=10000", "Bounds.VersionAllMs=14000",
		fmt.Sprintf("Platform.Address=127.200.1.7:%d", s.storePort), "Platform.form=log",
	}, "\n") + "\n"
}

// configure writes a configuration.
func (s *site) configure(version int64, teams []map[string]any) {
	services := []map[string]any{{
		"Name": engineTitle, "HealthPath": "/health", "MaxConnections": 360, "Protocol": "h1", "Tls": false,
		"Engine": map[string]any{
			"Slots": 64, "KvCapacityTokens": 84438, "KvTokenBytes": 18432, "LinkMbps": 550000.0, "Managed": true, "Stride": tokensPerEvent,
			"MaxInflight": 12, "Models": []map[string]any{{"Name": model}},
		},
	}}
	for _, h := range s.stores {
		services = append(services, map[string]any{
			"Name": h.name, "KvStoreAddr": h.address, "Zone": h.zone, "KvCapacityTokens": h.capacity, "LinkMbps": h.linkMbps,
			"MaxInflight": 12, "Managed": true, "first_ms": float64(h.firstTime.Milliseconds()),
		})
	}
	s.mu.Lock()
	for _, team := range teams {
		s.isolation[team["Name"].(string)] = team["Isolated"] == true
	}
	s.mu.Unlock()
	s.log.put("keyed.op", "config", map[string]any{
		"Version": version, "Services": services, "Tenants": teams,
		"Routes": []map[string]any{{
			"Name": "r-dossier", "Host": "nylo40.example", "PathPrefix": "/kafi500/", "Type": "stream", "TimeoutMs": 15000, "TargetLatencyMs": 1000,
			"Priority": 1, "Service": engineTitle, "MaxAttempts": 2, "AllowAnonymous": false, "SessionAffinity": true, "Resumable": true,
			"GapTargetMs": 300,
		}},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	s.record.note("configuration %d is acknowledged: teams %v", version, teams)
}

// isolated reports whether the newest configuration isolates a team.
func (s *site) isolated(team string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isolation[team]
}

// nameVersion names new weights.
func (s *site) nameVersion(version int64) {
	s.log.put("keyed.op", "version/"+model, map[string]any{"Model": model, "Version": version})
	s.record.note("version %d of %s is named", version, model)
}

// awaitReady waits until all nodes are ready and have been so for the rest of quietTime.
func (s *site) awaitReady() error {
	limit := time.Now().Add(readyLimit)
	for _, n := range s.nodes {
		for {
			response, err := http.Get(fmt.Sprintf("http://%s:%d/ready", n.ip, s.healthPort))
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(limit) {
				return errNotReady
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(quietTime - time.Since(s.record.began))
	return nil
}

// stop ends all processes that the site has started.
func (s *site) stop() {
	if s.stopping != nil {
		close(s.stopping)
	}
	for _, n := range s.nodes {
		if n.process != nil && n.process.Process != nil {
			_ = n.process.Process.Signal(syscall.SIGKILL)
			_ = n.process.Wait()
		}
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(s.directory))
	}
}
