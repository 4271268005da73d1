//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/standin/allocator"
	"github.com/lacewingrelay/lacewingrelay/platform/soak/logkeeper"
)

// Ports are the same on all loopback addresses of a run.
const (
	servicePort = 8001
	readyPort   = 8002
	controlPort = 8003
	peerPort    = 8010
)

// Heartbeat is that of DEPLOY.md's example of settings.
const heartbeat = 1200 * time.Millisecond

// site is a small deployment on loopback addresses: the log store, nodes and workers.
type site struct {
	record    *record
	directory string
	block     *allocator.Block
	store     *logkeeper.Store
	nodes     []*node
	zones     []string
	memoryMb  int
	maxFds    int
	hosts     int
}

func newSite(ctx context.Context, rec *record) (*site, error) {
	directory, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	block, err := allocator.NewBlock()
	if err != nil {
		return nil, err
	}
	s := &site{record: rec, directory: directory, block: block, zones: []string{"za", "zb", "zc"}, memoryMb: 134, maxFds: 4100}
	s.store = &logkeeper.Store{}
	go s.store.Run(ctx)
	return s, nil
}

// serve serves a handler at an address of its own until ctx ends.
func (s *site) serve(ctx context.Context, handler http.Handler) (netip.AddrPort, *http.Server, error) {
	address := netip.AddrPortFrom(s.address(), servicePort)
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return netip.AddrPort{}, nil, err
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return address, server, nil
}

// link is a node's link to the log store. While it is cut, connections are reset.
type link struct {
	store http.Handler

	mu  sync.Mutex
	cut chan struct{} // closed while the link is cut
}

func (l *link) set(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if cut {
		close(l.cut)
	} else {
		l.cut = make(chan struct{})
	}
}

// ServeHTTP implements http.Handler.
func (l *link) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	cut := l.cut
	l.mu.Unlock()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	go func() {
		select {
		case <-cut:
			cancel()
		case <-ctx.Done():
		}
	}()
	select {
	case <-cut:
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	default:
		l.store.ServeHTTP(w, r.WithContext(ctx))
	}
}

// address returns a loopback address that nothing else of the site uses.
func (s *site) address() netip.Addr {
	s.hosts++
	return s.block.Address(s.hosts)
}

// close ends all processes of the site and removes its files.
func (s *site) close() {
	for _, n := range s.nodes {
		n.kill()
	}
	_ = os.RemoveAll(s.directory)
	_ = s.block.Close()
}

// operator writes a record of the operator.
func (s *site) operator(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.store.Put(logkeeper.OperatorTopic, key, text)
	s.record.printf("operator writes op/%s: %.160s", key, text)
}

// node is a relay process.
type node struct {
	site     *site
	name     string
	zone     string
	ip       netip.Addr
	settings string
	logPath  string
	// log is the node's link to the log store.
	log *link

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
}

// addNode starts a node in the next zone, with settings like those of DEPLOY.md.
func (s *site) addNode(ctx context.Context) (*node, error) {
	return s.addNodeIn(ctx, s.zones[len(s.nodes)%len(s.zones)])
}

func (s *site) addNodeIn(ctx context.Context, zone string) (*node, error) {
	n := &node{site: s, name: fmt.Sprintf("front-%s-%d", zone, len(s.nodes)+1), zone: zone, ip: s.address()}
	n.settings = filepath.Join(s.directory, n.name+".conf")
	n.logPath = filepath.Join(s.directory, n.name+".log")
	n.log = &link{store: s.store, cut: make(chan struct{})}
	log, _, err := s.serve(ctx, n.log)
	if err != nil {
		return nil, err
	}
	s.nodes = append(s.nodes, n)
	var seeds []string
	for _, other := range s.nodes[:min(len(s.nodes), 3)] {
		seeds = append(seeds, netip.AddrPortFrom(other.ip, controlPort).String())
	}
	lines := []string{
		"NodeName=" + n.name, "Role=relay", "MachineClass=front", "Serves=front,control", "Ip=" + n.ip.String(), "Zone=" + n.zone, "Region=r",
		"Listen.Front=" + n.at(servicePort), "Listen.Ready=" + n.at(readyPort), "Listen.Control=" + n.at(controlPort),
		fmt.Sprintf("InternalPortRange=%d,%d", peerPort, peerPort+15), "SeedNodes=" + strings.Join(seeds, ","), "Bootstrap=true", "FaultCounted=false",
		"Limits.CpuShare=0.4", "Limits.CpuCores=1", fmt.Sprintf("Limits.MemoryMb=%d", s.memoryMb), fmt.Sprintf("Limits.MaxFds=%d", s.maxFds),
		"Limits.LinkMbps=1000.0", "Limits.DiskMb=0", "Discovery=platform", "EntryMode=vip", fmt.Sprintf("HeartbeatMs=%d", heartbeat.Milliseconds()),
		"Contracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,platform",
		"FaultTolerance.Machines=1", "FaultTolerance.Zones=1", "FaultTolerance.Regions=0",
		"Bounds.SeedLagS=3", "Bounds.AddrReuseS=2", "Bounds.ContactMs=3000", "Bounds.AckMs=4000", "Bounds.CatchUpS=4", "Bounds.DrainMs=2000", "Bounds.GraceS=8",
		"Bounds.LossSlackMs=200", "Bounds.ConfigApplyMs=2000", "Bounds.RollbackSlackMs=250", "Bounds.MaxStretchMs=5000", "Bounds.RevokeFailClosed=false",
		"Bounds.RevokeMs=5000", "Bounds.RetryBudgetRatio=0.2", "Bounds.BudgetWindowS=10", "Bounds.RetryBudgetSlack=54", "Bounds.RecoveryS=12",
		"Bounds.TransitMs=120", "Bounds.ReuseWindowS=20", "Bounds.FencingEnforced=false", "Bounds.LeaseMs=3000", "Bounds.ThawMs=300",
		"Bounds.VersionMs=10000", "Bounds.VersionAllMs=14000", "Platform.Address=" + log.String(), "Platform.form=log", "Platform.WritesPerS=400",
		"Platform.ReadsPerS=2000", "Platform.parts=12", "Platform.AppendMs=2.0", "Platform.PartMbPerS=20.0", "Platform.ReadMbPerS=80.0",
		"Platform.RecordBytes=262144", "Platform.CallBytes=2097152", "Platform.keep_s=300", "Platform.PartMb=200", "Platform.TtlMinMs=1000",
	}
	for _, zone := range s.zones {
		lines = append(lines, "Zones."+zone+"=r")
	}
	if err := os.WriteFile(n.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return nil, err
	}
	return n, n.start()
}

func (n *node) at(port uint16) string { return netip.AddrPortFrom(n.ip, port).String() }

// start starts the process of the node, with the command of the deploy file.
func (n *node) start() error {
	output, err := os.OpenFile(n.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	cmd := exec.Command("target/platformrelay", "relay")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LACEWINGRELAY_CONFIG=" + n.settings}
	cmd.Stdout, cmd.Stderr = output, output
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.mu.Lock()
	n.process, n.exited = cmd, exited
	n.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	n.site.record.printf("%s starts", n.name)
	return nil
}

func (n *node) signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.site.record.printf("%s gets signal %s", n.name, sig)
	_ = n.process.Process.Signal(sig)
}

// alive reports whether the process of the node runs.
func (n *node) alive() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

func (n *node) kill() {
	n.mu.Lock()
	process, exited := n.process, n.exited
	n.mu.Unlock()
	if process == nil {
		return
	}
	_ = process.Process.Signal(syscall.SIGCONT)
	_ = process.Process.Kill()
	<-exited
}

// isReady reports whether the node answers 200 at its Ready address within a second.
func (n *node) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + n.at(readyPort) + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until the node is ready.
func (n *node) awaitReady(limit time.Duration) bool {
	for begun := time.Now(); time.Since(begun) < limit; time.Sleep(50 * time.Millisecond) {
		if n.isReady() {
			n.site.record.printf("%s is ready", n.name)
			return true
		}
	}
	return false
}
