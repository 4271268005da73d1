package tunneler

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"net/netip"
)

// What a peer carries from an endpoint comes in frames: two bytes with the length, and as many
// bytes. A frame of length 0 says that the endpoint has ended its connection in order. Without
// it the end of the tunnel is no end of an answer: the peer may have been killed, which ends its
// connections as well.

const (
	frameHeadBytes = 2
	// maxFrameBytes is the largest content of a frame.
	maxFrameBytes = 8 << 10
)

// tunnel is a connection to an endpoint through a peer. It carries one request, and implements
// sender.Relayed.
type tunnel struct {
	*net.TCPConn
	peer   netip.AddrPort
	source *peerReader
	reader *bufio.Reader
	// left is the number of bytes left of the current frame; ended is set once the endpoint has
	// ended its connection.
	left  int
	ended bool
}

func newTunnel(conn *net.TCPConn, peer netip.AddrPort) *tunnel {
	source := &peerReader{Conn: conn}
	return &tunnel{TCPConn: conn, peer: peer, source: source, reader: bufio.NewReaderSize(source, frameHeadBytes+maxFrameBytes)}
}

// Via returns the peer.
func (t *tunnel) Via() netip.AddrPort { return t.peer }

// Read implements net.Conn. It returns io.ErrUnexpectedEOF if the peer is gone.
func (t *tunnel) Read(p []byte) (int, error) {
	for t.left == 0 && !t.ended {
		var head [frameHeadBytes]byte
		if _, err := io.ReadFull(t.reader, head[:]); err != nil {
			return 0, unexpected(err)
		}
		t.left = int(binary.BigEndian.Uint16(head[:]))
		t.ended = t.left == 0
	}
	if t.ended {
		return 0, io.EOF
	}
	n, err := t.reader.Read(p[:min(len(p), t.left)])
	t.left -= n
	return n, unexpected(err)
}

func unexpected(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// copyFrames copies what an endpoint sends in frames until the endpoint ends its connection; the
// error is nil if it does so in order. It returns the number of bytes that the endpoint sent.
func copyFrames(to io.Writer, from io.Reader) (n int64, err error) {
	frame := make([]byte, frameHeadBytes+maxFrameBytes)
	for {
		read, readErr := from.Read(frame[frameHeadBytes:])
		n += int64(read)
		if read > 0 {
			binary.BigEndian.PutUint16(frame, uint16(read))
			if _, err := to.Write(frame[:frameHeadBytes+read]); err != nil {
				return n, err
			}
		}
		if readErr == io.EOF {
			_, err := to.Write(make([]byte, frameHeadBytes))
			return n, err
		}
		if readErr != nil {
			return n, readErr
		}
	}
}
