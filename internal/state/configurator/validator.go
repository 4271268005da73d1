package configurator

import (
	"encoding/hex"
	"regexp"

	"github.com/cockroachdb/errors"
)

const keyHashBytes = 32

var validName = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,62}[a-z0-9])?$`)

// Validate checks a whole configuration. The error wraps ErrInvalid and names
// the invalid object and the reason.
func Validate(s *State) error {
	if err := validateUniqueKeys(s); err != nil {
		return err
	}
	for _, object := range s.Objects() {
		if err := validateObject(s, object); err != nil {
			return errors.Mark(errors.Wrap(err, object.Ref().String()), ErrInvalid)
		}
	}
	return nil
}

func validateObject(s *State, object Object) error {
	if !validName.MatchString(object.Ref().Name) {
		return errors.New("name must be 1 to 64 of a-z, 0-9, dot, dash and underscore")
	}
	switch typed := object.(type) {
	case Domain:
		return ensure(typed.Hosts > 0, "hosts must be positive")
	case Ceiling:
		return validateCeiling(s, typed)
	case Priority:
		return ensure(typed.Deadline > 0, "deadline must be positive")
	case Team:
		return validateTeam(typed)
	case Service:
		return validateService(s, typed)
	case Model:
		return validateModel(s, typed)
	case Version:
		return ensureRef(s, Ref{KindModel, typed.Model})
	case Store:
		return validateStore(s, typed)
	case Retention:
		return validateRetention(typed)
	}
	return errors.New("kind is unknown")
}

func validateCeiling(s *State, c Ceiling) error {
	sum := 0.0
	for name, watts := range c.Shares {
		if err := ensureRef(s, Ref{KindDomain, name}); err != nil {
			return err
		}
		if watts < 0 {
			return errors.Newf("share of %s is negative", name)
		}
		sum += watts
	}
	if sum > c.Watts {
		return errors.Newf("shares add up to %g watts, over the ceiling of %g", sum, c.Watts)
	}
	return nil
}

func validateTeam(t Team) error {
	raw, err := hex.DecodeString(t.KeyHash)
	if err != nil || len(raw) != keyHashBytes {
		return errors.New("key hash must be a SHA-256 in hexadecimal")
	}
	if t.Rate <= 0 || t.Burst <= 0 || t.Concurrency <= 0 {
		return errors.New("rate, burst and concurrency must be positive")
	}
	return nil
}

func validateService(s *State, service Service) error {
	if service.Type != ServiceModel && service.Type != ServicePlain {
		return errors.Newf("type %q is neither model nor plain", service.Type)
	}
	if service.Type == ServiceModel && service.Objective != ObjectiveFirstToken && service.Objective != ObjectiveRecompute {
		return errors.Newf("objective %q is neither first-token nor recompute", service.Objective)
	}
	if service.Concurrency <= 0 || service.Timeout <= 0 {
		return errors.New("concurrency and timeout must be positive")
	}
	if service.IdleWatts < 0 || service.RunWatts < 0 {
		return errors.New("watts must not be negative")
	}
	return ensureRef(s, Ref{KindPriority, service.Priority})
}

func validateModel(s *State, m Model) error {
	service, ok := Find[Service](s, KindService, m.Service)
	if !ok || service.Type != ServiceModel {
		return errors.Newf("service %q is not a model service", m.Service)
	}
	version, ok := Find[Version](s, KindVersion, m.Version)
	if !ok || version.Model != m.Name {
		return errors.Newf("version %q is not a version of this model", m.Version)
	}
	for _, other := range All[Model](s) {
		if other.Service == m.Service && other.Name != m.Name {
			return errors.Newf("service %q serves model %q already", m.Service, other.Name)
		}
	}
	return nil
}

func validateStore(s *State, store Store) error {
	if store.Bytes <= 0 || store.LinkBytes <= 0 {
		return errors.New("bytes and link bytes must be positive")
	}
	return ensureRef(s, Ref{KindDomain, store.Domain})
}

func validateRetention(r Retention) error {
	if r.Name != RetentionName {
		return errors.Newf("the only retention is named %q", RetentionName)
	}
	return ensure(r.Keep > 0 && r.Log > 0, "keep and log must be positive")
}

func validateUniqueKeys(s *State) error {
	owners := map[string]string{}
	for _, team := range All[Team](s) {
		if other, taken := owners[team.KeyHash]; taken {
			return errors.Wrapf(ErrInvalid, "teams %s and %s have the same key", other, team.Name)
		}
		owners[team.KeyHash] = team.Name
	}
	return nil
}

func ensure(ok bool, reason string) error {
	if ok {
		return nil
	}
	return errors.New(reason)
}

func ensureRef(s *State, ref Ref) error {
	if _, ok := s.Get(ref); !ok {
		return errors.Newf("%s does not exist", ref)
	}
	return nil
}
