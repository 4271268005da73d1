// Package wire contains the generated messages and the generated twirp services
// of the protocol between nodes.
//
// The package is generated from peer.proto with protoc, protoc-gen-go and
// protoc-gen-twirp. The generated files are committed, so that the build needs no
// generator.
//
// # Usage
//
// Other packages do not use these types as their own: packer converts datagrams
// and messenger converts calls from and to the types of other packages.
package wire
