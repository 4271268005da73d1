// Package declarer is the operators' library: it prints a configuration that is
// then checked and published.
//
// Declarations are kept in version control as small programs. The printed form
// is canonical, so that two programs that declare the same objects in any order
// print the same bytes; the twin in Python, python/declarer.py, does too.
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
	// Domain is a failure domain.
	Domain = configurator.Domain
	// Ceiling is the power ceiling with its shares.
	Ceiling = configurator.Ceiling
	// Priority is a class of traffic.
	Priority = configurator.Priority
	// Team is a customer.
	Team = configurator.Team
	// Service is a group of interchangeable endpoints.
	Service = configurator.Service
	// Model is a name that callers put into prompts.
	Model = configurator.Model
	// Version is one set of weights of a model.
	Version = configurator.Version
	// Store is a service of store hosts.
	Store = configurator.Store
	// Retention tells how long idempotency keys count.
	Retention = configurator.Retention
)

// The types of services and their routing objectives.
const (
	ServiceModel        = configurator.ServiceModel
	ServicePlain        = configurator.ServicePlain
	ObjectiveFirstToken = configurator.ObjectiveFirstToken
	ObjectiveRecompute  = configurator.ObjectiveRecompute
	RetentionName       = configurator.RetentionName
)

// Site collects the objects of one configuration.
type Site struct {
	objects []Object
}

// New returns an empty site.
func New() *Site { return &Site{} }

// Add declares objects.
func (s *Site) Add(objects ...Object) { s.objects = append(s.objects, objects...) }

// KeyHash returns the hash under which a team's bearer key is declared.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Print writes the configuration in canonical form. It returns an error that
// names the object and the reason when the whole is not valid.
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

// MustPrint is Print for programs that have nothing else to do on an error.
func (s *Site) MustPrint(w io.Writer) {
	if err := s.Print(w); err != nil {
		panic(err)
	}
}
