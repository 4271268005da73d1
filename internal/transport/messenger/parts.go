package messenger

import (
	"context"
	"net/netip"

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

// Parts implements wire.Relay.
func (s *relayServer) Parts(_ context.Context, request *wire.PartsRequest) (*wire.PartsReply, error) {
	directory := s.node.Parts()
	reply := &wire.PartsReply{Stream: directory.Stream, Next: directory.Next}
	known := map[string][]uint32{}
	for _, holder := range request.Known {
		if n := len(holder.Buckets); n > 0 && n <= digester.MaxBuckets {
			known[holder.Holder] = holder.Buckets
		}
	}
	for _, holder := range directory.Holders {
		encoded, groups := &wire.PartHolder{Holder: holder.Holder.String(), Reserved: int64(holder.Reserved)}, holder.Groups
		if buckets, ok := known[encoded.Holder]; ok {
			digest := digester.Sum(groups, len(buckets))
			differing := digest.Differing(buckets)
			groups, encoded.Total = digester.Select(groups, differing, true), &digest.Total
			for i, differs := range differing {
				if differs {
					encoded.Differing = append(encoded.Differing, uint32(i))
				}
			}
		}
		for _, group := range groups {
			encoded.Groups = append(encoded.Groups, packer.EncodePartGroup(group))
		}
		reply.Holders = append(reply.Holders, encoded)
	}
	return reply, nil
}

// Parts fetches a peer's directory of prompt parts. Of the known holders, only the parts that differ are
// sent, if the peer can tell. It returns ErrDirectoryMismatch if the result is not the peer's directory.
func (c *Client) Parts(ctx context.Context, peer netip.AddrPort, known []PartHolder) (PartDirectory, error) {
	request, groups := &wire.PartsRequest{}, map[netip.AddrPort][]peertracker.PartGroup{}
	for _, holder := range known {
		groups[holder.Holder] = holder.Groups
		request.Known = append(request.Known, &wire.KnownHolder{
			Holder: holder.Holder.String(), Buckets: digester.Sum(holder.Groups, digester.Buckets(holder.Groups)).Buckets,
		})
	}
	reply, err := wire.NewRelayProtobufClient("http://"+peer.String(), c.http).Parts(ctx, request)
	if err != nil {
		return PartDirectory{}, errors.Wrapf(err, "fetch the directory of parts from %s", peer)
	}
	directory := PartDirectory{Stream: reply.Stream, Next: reply.Next}
	for _, encoded := range reply.Holders {
		holder, err := decodeHolder(encoded)
		if err == nil && encoded.Total != nil {
			err = holder.complete(encoded, groups[holder.Holder])
		}
		if err != nil {
			return PartDirectory{}, errors.Wrapf(err, "directory of parts from %s: holder %s", peer, encoded.Holder)
		}
		directory.Holders = append(directory.Holders, holder)
	}
	return directory, nil
}

// complete adds the known parts of the buckets that do not differ.
func (h *PartHolder) complete(encoded *wire.PartHolder, known []peertracker.PartGroup) error {
	differing := make([]bool, digester.Buckets(known))
	for _, i := range encoded.Differing {
		if int(i) >= len(differing) {
			return errors.Wrapf(ErrDirectoryMismatch, "bucket %d of %d", i, len(differing))
		}
		differing[i] = true
	}
	h.Groups = append(h.Groups, digester.Select(known, differing, false)...)
	if total := digester.Sum(h.Groups, 1).Total; total != *encoded.Total {
		return errors.Wrapf(ErrDirectoryMismatch, "digest %x, peer has %x", total, *encoded.Total)
	}
	return nil
}

func decodeHolder(encoded *wire.PartHolder) (PartHolder, error) {
	address, err := netip.ParseAddrPort(encoded.Holder)
	if err != nil {
		return PartHolder{}, errors.Wrap(err, "address")
	}
	holder := PartHolder{Holder: address, Reserved: int(encoded.Reserved)}
	for _, group := range encoded.Groups {
		parts, err := packer.DecodePartGroup(group)
		if err != nil {
			return PartHolder{}, err
		}
		holder.Groups = append(holder.Groups, parts)
	}
	return holder, nil
}
