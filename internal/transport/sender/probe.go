package sender

import (
	"context"
	"net/netip"
	"syscall"

	"github.com/cockroachdb/errors"
)

// RefusesConnections opens a connection to an address and closes it. It reports whether the
// host refused it, as it does if no process listens there. A host that doesn't respond in time
// does not refuse, nor one that this node has no path to.
func (s *Sender) RefusesConnections(ctx context.Context, address netip.AddrPort) bool {
	raw, err := s.open(ctx, address)
	if err == nil {
		// Nothing was sent.
		_ = raw.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
