// Package wire holds the generated messages and the generated twirp service
// that nodes speak among themselves.
//
// The package is generated from peer.proto with protoc, protoc-gen-go and
// protoc-gen-twirp, and committed, so that the build needs no generator.
//
// # Usage
//
// Other packages do not use these types as their own: packer maps datagrams and
// messenger maps calls to domain types and back.
package wire
