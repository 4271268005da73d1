package messenger

import (
	"context"
	"net/netip"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/protocol/digester"
	"github.com/lacewingrelay/lacewingrelay/internal/protocol/packer"
	"github.com/lacewingrelay/lacewingrelay/internal/protocol/wire"
	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
)

// ErrDirectoryMismatch means that the parts which a peer sent, with those that this node knows, are not the
// directory of the peer.
var ErrDirectoryMismatch = errors.New("directory of parts differs from the peer's")

// PartDirectory is a copy of the directory of prompt parts.
type PartDirectory struct {
	// Stream and Next are those of the first datagram with changes that are not in the copy.
	Stream uint64
	Next   uint64
	// Holders lists all holders, also those without parts.
	Holders []PartHolder
}

// PartHolder is the content of one holder. Reserved is the memory taken by incomplete
// parts, in tokens.
type PartHolder struct {
	Holder   netip.AddrPort
	Reserved int
	Groups   []peertracker.PartGroup
}

// partGroups returns the parts of all holders.
func partGroups(holders []PartHolder) []peertracker.PartGroup {
	var groups []peertracker.PartGroup
	for _, holder := range holders {
		groups = append(groups, holder.Groups...)
	}
	return groups
}

// Parts implements wire.Relay.
func (s *relayServer) Parts(_ context.Context, request *wire.PartsRequest) (*wire.PartsReply, error) {
	directory := s.node.Parts()
	reply := &wire.PartsReply{Stream: directory.Stream, Next: directory.Next}
	selected := func(groups []peertracker.PartGroup) []peertracker.PartGroup { return groups }
	if n := len(request.Buckets); n > 0 && n <= digester.MaxBuckets {
		digest := digester.Sum(partGroups(directory.Holders), n)
		differing := digest.Differing(request.Buckets)
		reply.Total = &digest.Total
		for i, differs := range differing {
			if differs {
				reply.Differing = append(reply.Differing, uint32(i))
			}
		}
		selected = func(groups []peertracker.PartGroup) []peertracker.PartGroup {
			return digester.Select(groups, differing, true)
		}
	}
	for _, holder := range directory.Holders {
		encoded := &wire.PartHolder{Holder: holder.Holder.String(), Reserved: int64(holder.Reserved)}
		for _, group := range selected(holder.Groups) {
			encoded.Groups = append(encoded.Groups, packer.EncodePartGroup(group))
		}
		reply.Holders = append(reply.Holders, encoded)
	}
	return reply, nil
}

// Parts fetches a peer's directory of prompt parts. Only what differs from the known holders is
// sent, if the peer can tell. It returns ErrDirectoryMismatch if the result is not the peer's directory.
func (c *Client) Parts(ctx context.Context, peer netip.AddrPort, known []PartHolder) (PartDirectory, error) {
	request, groups := &wire.PartsRequest{}, partGroups(known)
	if len(groups) > 0 {
		request.Buckets = digester.Sum(groups, digester.Buckets(groups)).Buckets
	}
	reply, err := wire.NewRelayProtobufClient("http://"+peer.String(), c.http).Parts(ctx, request)
	if err != nil {
		return PartDirectory{}, errors.Wrapf(err, "fetch the directory of parts from %s", peer)
	}
	directory, err := decodeDirectory(reply)
	if err != nil {
		return PartDirectory{}, errors.Wrapf(err, "directory of parts from %s", peer)
	}
	if reply.Total == nil {
		// The peer sent everything: it knows no digests, or got none.
		return directory, nil
	}
	differing := make([]bool, len(request.Buckets))
	for _, i := range reply.Differing {
		if int(i) >= len(differing) {
			return PartDirectory{}, errors.Wrapf(ErrDirectoryMismatch, "bucket %d of %d at %s", i, len(differing), peer)
		}
		differing[i] = true
	}
	if len(groups) > 0 {
		directory.add(digester.Select(groups, differing, false))
	}
	if total := digester.Sum(partGroups(directory.Holders), 1).Total; total != *reply.Total {
		return PartDirectory{}, errors.Wrapf(ErrDirectoryMismatch, "digest %x, at %s %x", total, peer, *reply.Total)
	}
	return directory, nil
}

// add adds parts of those holders that are in the directory.
func (d *PartDirectory) add(groups []peertracker.PartGroup) {
	for _, group := range groups {
		i := slices.IndexFunc(d.Holders, func(holder PartHolder) bool { return holder.Holder == group.Holder })
		if i >= 0 {
			d.Holders[i].Groups = append(d.Holders[i].Groups, group)
		}
	}
}

func decodeDirectory(reply *wire.PartsReply) (PartDirectory, error) {
	directory := PartDirectory{Stream: reply.Stream, Next: reply.Next}
	for _, holder := range reply.Holders {
		address, err := netip.ParseAddrPort(holder.Holder)
		if err != nil {
			return PartDirectory{}, errors.Wrap(err, "holder")
		}
		decoded := PartHolder{Holder: address, Reserved: int(holder.Reserved)}
		for _, group := range holder.Groups {
			parts, err := packer.DecodePartGroup(group)
			if err != nil {
				return PartDirectory{}, err
			}
			decoded.Groups = append(decoded.Groups, parts)
		}
		directory.Holders = append(directory.Holders, decoded)
	}
	return directory, nil
}
