// Package packer encodes heartbeats as authenticated datagrams and decodes them.
//
// A datagram consists of a version byte, a truncated HMAC-SHA256 of the version
// and the message, and a protobuf message. A datagram with another version, a
// wrong MAC or invalid fields is rejected as a whole.
//
// # Usage
//
//	p := packer.Packer{Key: key}
//	datagram, err := p.Pack(message)
//	message, err := p.Unpack(datagram)
package packer

import (
	"crypto/hmac"
	"crypto/sha256"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/lacewingrelay/lacewingrelay/internal/protocol/wire"
	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
	"github.com/lacewingrelay/lacewingrelay/internal/state/recorder"
)

// MaxBytes is the maximum size of a datagram in bytes. It fits into one Ethernet
// frame.
const MaxBytes = 1400

const (
	version     = 1
	macBytes    = 16
	headerBytes = 1 + macBytes
	// blockTokens is the unit of loads in heartbeats, in tokens. Loads are rounded
	// down to whole units.
	blockTokens = 16
)

// Sentinel errors of Unpack and Pack.
var (
	// ErrNotAuthentic marks a datagram whose MAC does not match the shared key.
	ErrNotAuthentic = errors.New("datagram is not authentic")
	// ErrMalformed marks a datagram that can't be decoded.
	ErrMalformed = errors.New("datagram is malformed")
	// ErrTooLarge marks a message that does not fit one datagram.
	ErrTooLarge = errors.New("datagram is too large")
)

// Message is the content of one datagram.
type Message struct {
	// Sender is the sending node's own heartbeat.
	Sender peertracker.Heartbeat
	// Clock is the sender's hybrid logical clock.
	Clock recorder.Stamp
	// Digests are heartbeats that the sender has received from other nodes and
	// forwards.
	Digests []peertracker.Heartbeat
}

// Packer encodes and decodes datagrams. Key is the secret key that all nodes
// share.
type Packer struct {
	Key []byte
}

// Pack encodes a message. It returns ErrTooLarge for a message over MaxBytes.
func (p Packer) Pack(message Message) ([]byte, error) {
	encoded := encodeHeartbeat(message.Sender)
	encoded.ClockWall = message.Clock.Wall.UnixNano()
	encoded.ClockCounter = message.Clock.Counter
	for _, digest := range message.Digests {
		encoded.Digests = append(encoded.Digests, encodeHeartbeat(digest))
	}
	body, err := proto.Marshal(encoded)
	if err != nil {
		return nil, errors.Wrap(err, "encode heartbeat")
	}
	if headerBytes+len(body) > MaxBytes {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes", headerBytes+len(body))
	}
	datagram := append([]byte{version}, p.computeMAC(body)...)
	return append(datagram, body...), nil
}

// Unpack decodes a datagram. It returns ErrNotAuthentic or ErrMalformed.
func (p Packer) Unpack(datagram []byte) (Message, error) {
	if len(datagram) < headerBytes || datagram[0] != version {
		return Message{}, errors.Wrap(ErrMalformed, "header is truncated or has an unknown version")
	}
	body := datagram[headerBytes:]
	if !hmac.Equal(datagram[1:headerBytes], p.computeMAC(body)) {
		return Message{}, ErrNotAuthentic
	}
	var encoded wire.Heartbeat
	if err := proto.Unmarshal(body, &encoded); err != nil {
		return Message{}, errors.Mark(err, ErrMalformed)
	}
	return decodeMessage(&encoded)
}

func (p Packer) computeMAC(body []byte) []byte {
	mac := hmac.New(sha256.New, p.Key)
	mac.Write([]byte{version})
	mac.Write(body)
	return mac.Sum(nil)[:macBytes]
}

func decodeMessage(encoded *wire.Heartbeat) (Message, error) {
	sender, err := decodeHeartbeat(encoded)
	if err != nil {
		return Message{}, err
	}
	message := Message{Sender: sender}
	message.Clock = recorder.Stamp{Wall: time.Unix(0, encoded.ClockWall), Counter: encoded.ClockCounter}
	for _, digest := range encoded.Digests {
		decoded, err := decodeHeartbeat(digest)
		if err != nil {
			return Message{}, err
		}
		message.Digests = append(message.Digests, decoded)
	}
	return message, nil
}

func encodeHeartbeat(heartbeat peertracker.Heartbeat) *wire.Heartbeat {
	encoded := &wire.Heartbeat{
		Name:        heartbeat.Name,
		Domain:      heartbeat.Domain,
		Address:     heartbeat.Address.String(),
		Incarnation: heartbeat.Incarnation,
		Sequence:    heartbeat.Sequence,
		Applied:     heartbeat.Applied,
		Leaving:     heartbeat.Leaving,
		Loads:       encodeLoads(heartbeat.Loads),
		Hub:         heartbeat.Hub,
		Homed:       heartbeat.Homed,
		Digest:      heartbeat.Digest,
		Nodes:       uint32(heartbeat.Nodes),
		Hubs:        heartbeat.Hubs,
		Sources:     heartbeat.Sources,
		LogContact:  heartbeat.LogContact,
		Parts:       encodeParts(heartbeat.Parts),
	}
	for _, suspect := range heartbeat.Suspects {
		encoded.Suspects = append(encoded.Suspects, &wire.Suspect{
			Fingerprint: suspect.Fingerprint, Crashes: uint32(suspect.Crashes), Observer: suspect.Observer,
		})
	}
	for _, suspect := range heartbeat.PartSuspects {
		encoded.PartSuspects = append(encoded.PartSuspects, encodePartSuspect(suspect))
	}
	encoded.Limits = encodeLimits(heartbeat.Limits)
	encoded.Streams = encodeStreams(heartbeat.Streams)
	for _, change := range heartbeat.Changes {
		encoded.Changes = append(encoded.Changes, &wire.Change{Endpoint: change.Endpoint, Model: change.Model, Version: change.Version})
	}
	return encoded
}

func decodeHeartbeat(encoded *wire.Heartbeat) (peertracker.Heartbeat, error) {
	address, err := netip.ParseAddrPort(encoded.Address)
	if err != nil {
		return peertracker.Heartbeat{}, errors.Mark(err, ErrMalformed)
	}
	if encoded.Name == "" {
		return peertracker.Heartbeat{}, errors.Wrap(ErrMalformed, "heartbeat has no name")
	}
	heartbeat := peertracker.Heartbeat{
		Name:        encoded.Name,
		Domain:      encoded.Domain,
		Address:     address,
		Incarnation: encoded.Incarnation,
		Sequence:    encoded.Sequence,
		Applied:     encoded.Applied,
		Leaving:     encoded.Leaving,
		Hub:         encoded.Hub,
		Homed:       encoded.Homed,
		Digest:      encoded.Digest,
		Nodes:       int(encoded.Nodes),
		Hubs:        encoded.Hubs,
		Sources:     encoded.Sources,
		LogContact:  encoded.LogContact,
	}
	if heartbeat.Loads, err = decodeLoads(encoded.Loads); err != nil {
		return peertracker.Heartbeat{}, err
	}
	if heartbeat.Parts, err = decodeParts(encoded.Parts); err != nil {
		return peertracker.Heartbeat{}, err
	}
	for _, suspect := range encoded.Suspects {
		crashes := uint8(min(suspect.Crashes, 255))
		heartbeat.Suspects = append(heartbeat.Suspects, peertracker.Suspect{
			Fingerprint: suspect.Fingerprint, Crashes: crashes, Observer: suspect.Observer,
		})
	}
	for _, suspect := range encoded.PartSuspects {
		decoded, err := decodePartSuspect(suspect)
		if err != nil {
			return peertracker.Heartbeat{}, err
		}
		heartbeat.PartSuspects = append(heartbeat.PartSuspects, decoded)
	}
	if heartbeat.Limits, err = decodeLimits(encoded.Limits); err != nil {
		return peertracker.Heartbeat{}, err
	}
	heartbeat.Streams = decodeStreams(encoded.Streams)
	for _, change := range encoded.Changes {
		heartbeat.Changes = append(heartbeat.Changes, peertracker.Change{Endpoint: change.Endpoint, Model: change.Model, Version: change.Version})
	}
	return heartbeat, nil
}
