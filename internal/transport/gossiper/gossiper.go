// Package gossiper sends and receives the nodes' heartbeat datagrams over UDP,
// on gnet event loops.
//
// Datagrams that fail authentication are counted and dropped. Authentic ones may
// be late, duplicated or reordered; package peertracker handles that.
//
// # Usage
//
//	g := &gossiper.Gossiper{Address: address, Packer: packer, Receive: handle}
//	go g.Run(ctx)
//	err := g.Send(peer, message)
package gossiper

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/panjf2000/gnet/v2"

	"github.com/lacewingrelay/lacewingrelay/internal/protocol/packer"
)

// ErrNotRunning is returned by Send before Run has started and after it has
// stopped.
var ErrNotRunning = errors.New("gossiper is not running")

// stopTimeout limits the time to stop the event loops.
const stopTimeout = 2 * time.Second

// Counts are totals since the Gossiper was created.
type Counts struct {
	SentBytes     uint64
	ReceivedBytes uint64
	// Refused is the number of datagrams that could not be authenticated or
	// decoded.
	Refused uint64
}

// Gossiper exchanges heartbeats with peers. Its exported fields are set before
// Run.
type Gossiper struct {
	Address netip.AddrPort
	Packer  packer.Packer
	// Receive is called on an event loop and must not block.
	Receive func(message packer.Message)
	// OnPanic is called with the value and the sender of a message on which Receive
	// panicked. The message is dropped, and the node goes on. If OnPanic is nil, the panic
	// ends the process.
	OnPanic func(value any, sender string)

	gnet.BuiltinEventEngine
	sentBytes, receivedBytes, refusedDatagrams atomic.Uint64

	mu     sync.Mutex
	client *gnet.Client
	conns  map[netip.AddrPort]gnet.Conn
	engine gnet.Engine
}

// Counts returns the current totals.
func (g *Gossiper) Counts() Counts {
	return Counts{
		SentBytes:     g.sentBytes.Load(),
		ReceivedBytes: g.receivedBytes.Load(),
		Refused:       g.refusedDatagrams.Load(),
	}
}

// Run receives datagrams and enables Send until ctx is done.
func (g *Gossiper) Run(ctx context.Context) error {
	if err := g.startClient(); err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, g.stop)
	defer stop()
	err := gnet.Run(g, "udp://"+g.Address.String(), gnet.WithLogger(discardLogger{}))
	return errors.Wrapf(err, "receive gossip on %s", g.Address)
}

func (g *Gossiper) startClient() error {
	client, err := gnet.NewClient(&clientEvents{gossiper: g}, gnet.WithLogger(discardLogger{}))
	if err != nil {
		return errors.Wrap(err, "create gossip client")
	}
	if err := client.Start(); err != nil {
		return errors.Wrap(err, "start gossip client")
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.client = client
	g.conns = map[netip.AddrPort]gnet.Conn{}
	return nil
}

func (g *Gossiper) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	g.mu.Lock()
	client, engine := g.client, g.engine
	g.client = nil
	g.mu.Unlock()
	_ = client.Stop()
	_ = engine.Stop(ctx)
}

// OnBoot implements gnet.EventHandler.
func (g *Gossiper) OnBoot(engine gnet.Engine) gnet.Action {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.engine = engine
	return gnet.None
}

// OnTraffic implements gnet.EventHandler.
func (g *Gossiper) OnTraffic(c gnet.Conn) gnet.Action {
	datagram, err := c.Next(-1)
	if err != nil {
		return gnet.None
	}
	g.receivedBytes.Add(uint64(len(datagram)))
	message, err := g.Packer.Unpack(datagram)
	if err != nil {
		g.refusedDatagrams.Add(1)
		return gnet.None
	}
	g.receive(message)
	return gnet.None
}

func (g *Gossiper) receive(message packer.Message) {
	if g.OnPanic != nil {
		defer func() {
			if value := recover(); value != nil {
				g.refusedDatagrams.Add(1)
				g.OnPanic(value, message.Sender.Name)
			}
		}()
	}
	g.Receive(message)
}

// Send sends a message to peers. It does not wait for them to receive the datagram, and
// a datagram lost on the way is not an error. It returns the first error, after it has
// sent the message to all others.
func (g *Gossiper) Send(to []netip.AddrPort, message packer.Message) error {
	datagram, err := g.Packer.Pack(message)
	if err != nil {
		return err
	}
	var failed error
	for _, peer := range to {
		if err := g.write(peer, datagram); err != nil && failed == nil {
			failed = err
		}
	}
	return failed
}

func (g *Gossiper) write(to netip.AddrPort, datagram []byte) error {
	conn, err := g.conn(to)
	if err != nil {
		return err
	}
	g.sentBytes.Add(uint64(len(datagram)))
	return conn.AsyncWrite(datagram, nil)
}

func (g *Gossiper) conn(to netip.AddrPort) (gnet.Conn, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.client == nil {
		return nil, ErrNotRunning
	}
	if conn, ok := g.conns[to]; ok {
		return conn, nil
	}
	conn, err := g.client.DialContext("udp", to.String(), to)
	if err != nil {
		return nil, errors.Wrapf(err, "open gossip connection to %s", to)
	}
	g.conns[to] = conn
	return conn, nil
}

// clientEvents handles the events of client connections. It discards received
// data and removes closed connections from the gossiper's conns.
type clientEvents struct {
	gnet.BuiltinEventEngine
	gossiper *Gossiper
}

// OnTraffic implements gnet.EventHandler. It discards all data, because peers send
// to the listening socket only.
func (e *clientEvents) OnTraffic(c gnet.Conn) gnet.Action {
	_, _ = c.Discard(-1)
	return gnet.None
}

// OnClose implements gnet.EventHandler. It removes the connection in another
// goroutine, so that the event loop never waits for the lock, which conn holds
// while it opens a connection.
func (e *clientEvents) OnClose(c gnet.Conn, _ error) gnet.Action {
	to, ok := c.Context().(netip.AddrPort)
	if !ok {
		return gnet.None
	}
	go e.gossiper.removeConn(to, c)
	return gnet.None
}

func (g *Gossiper) removeConn(to netip.AddrPort, conn gnet.Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.conns[to] == conn {
		delete(g.conns, to)
	}
}
