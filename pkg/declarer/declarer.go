// Package declarer is the library with which operators declare a configuration
// in Go. A program prints the configuration, which is then checked and published.
//
// Such programs are meant to be kept in version control. The printed form is
// canonical: programs that declare the same objects, in any order, print the same
// bytes. The Python equivalent, python/declarer.py, prints them too.
//
// # Usage
//
//	func main() {
//		site := declarer.New()
//		site.Add(declarer.Domain{Name: "kadikoy", Region: "marmara", Hosts: 3})
//		site.Add(declarer.Priority{Name: "chat", Rank: 0, Deadline: 10 * time.Second})
//		site.MustPrint(os.Stdout)
//	}
package declarer

import (
	"crypto/sha256"
	"encoding/hex"
	"io"

	"github.com/lacewingrelay/lacewingrelay/internal/protocol/transcoder"
	"github.com/lacewingrelay/lacewingrelay/internal/state/configurator"
)

// The objects of a configuration.
type (
	// Object is any of the types below.
	Object = configurator.Object
	// Domain is a failure domain: hosts that are cut off together.
	Domain = configurator.Domain
	// Ceiling is the power limit in watts and its division among failure
	// domains.
	Ceiling = configurator.Ceiling
	// Priority is a class of requests with a rank and a deadline.
	Priority = configurator.Priority
	// Team is a customer.
	Team = configurator.Team
	// Service is a group of interchangeable endpoints.
	Service = configurator.Service
	// Model is a model name that callers use in requests.
	Model = configurator.Model
	// Version is a version of a model's weights.
	Version = configurator.Version
	// Store is a service of store hosts, which hold KV cache blocks.
	Store = configurator.Store
	// Retention is how long idempotency keys and the log's records are kept.
	Retention = configurator.Retention
)

// The types of services, their routing objectives, and the name of the only
// Retention.
const (
	ServiceModel        = configurator.ServiceModel
	ServicePlain        = configurator.ServicePlain
	ObjectiveFirstToken = configurator.ObjectiveFirstToken
	ObjectiveRecompute  = configurator.ObjectiveRecompute
	RetentionName       = configurator.RetentionName
)

// Site collects the objects of a configuration.
type Site struct {
	objects []Object
}

// New returns an empty site.
func New() *Site { return &Site{} }

// Add adds objects to the configuration.
func (s *Site) Add(objects ...Object) { s.objects = append(s.objects, objects...) }

// KeyHash returns the hash of a team's bearer key, as declared in Team.KeyHash:
// the SHA-256 in hexadecimal.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Print validates the configuration and writes it in canonical form. If it is
// invalid, Print writes nothing and returns an error that names the object and
// the reason.
func (s *Site) Print(w io.Writer) error {
	declaration := transcoder.Declaration{Rules: configurator.RulesVersion, Objects: s.objects}
	printed, err := transcoder.EncodeDeclaration(declaration)
	if err != nil {
		return err
	}
	if _, err := transcoder.DecodeDeclaration(printed); err != nil {
		return err
	}
	_, err = w.Write(printed)
	return err
}

// MustPrint is like Print but panics on an error.
func (s *Site) MustPrint(w io.Writer) {
	if err := s.Print(w); err != nil {
		panic(err)
	}
}
