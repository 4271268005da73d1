package transcoder

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/state/configurator"
)

type objectHeader struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
}

type wireDomain struct {
	objectHeader
	Region string `json:"region"`
	Hosts  int    `json:"hosts"`
}

type wireCeiling struct {
	objectHeader
	Watts  float64            `json:"watts"`
	Shares map[string]float64 `json:"shares"`
}

type wirePriority struct {
	objectHeader
	Rank       int   `json:"rank"`
	DeadlineMS int64 `json:"deadline_ms"`
}

type wireTeam struct {
	objectHeader
	KeyHash     string  `json:"key_hash"`
	Rate        float64 `json:"rate"`
	Burst       int     `json:"burst"`
	Concurrency int     `json:"concurrency"`
}

type wireService struct {
	objectHeader
	Type        string  `json:"type"`
	Priority    string  `json:"priority"`
	Objective   string  `json:"objective,omitempty"`
	Fencing     bool    `json:"fencing"`
	Concurrency int     `json:"concurrency"`
	IdleWatts   float64 `json:"idle_watts"`
	RunWatts    float64 `json:"run_watts"`
	TimeoutMS   int64   `json:"timeout_ms"`
}

type wireModel struct {
	objectHeader
	Service string `json:"service"`
	Version string `json:"version"`
}

type wireVersion struct {
	objectHeader
	Model   string `json:"model"`
	Weights string `json:"weights"`
}

type wireStore struct {
	objectHeader
	Domain    string `json:"domain"`
	Bytes     int64  `json:"bytes"`
	LinkBytes int64  `json:"link_bytes"`
}

type wireRetention struct {
	objectHeader
	KeepMS int64 `json:"keep_ms"`
	LogMS  int64 `json:"log_ms"`
}

// EncodeObject returns an object as one line of canonical JSON.
func EncodeObject(object configurator.Object) ([]byte, error) {
	ref := object.Ref()
	head := objectHeader{Kind: string(ref.Kind), Name: ref.Name}
	switch typed := object.(type) {
	case configurator.Domain:
		return encodeCompact(wireDomain{head, typed.Region, typed.Hosts})
	case configurator.Ceiling:
		return encodeCompact(wireCeiling{head, typed.Watts, typed.Shares})
	case configurator.Priority:
		return encodeCompact(wirePriority{head, typed.Rank, typed.Deadline.Milliseconds()})
	case configurator.Team:
		return encodeCompact(wireTeam{head, typed.KeyHash, typed.Rate, typed.Burst, typed.Concurrency})
	case configurator.Service:
		return encodeCompact(encodeService(head, typed))
	case configurator.Model:
		return encodeCompact(wireModel{head, typed.Service, typed.Version})
	case configurator.Version:
		return encodeCompact(wireVersion{head, typed.Model, typed.Weights})
	case configurator.Store:
		return encodeCompact(wireStore{head, typed.Domain, typed.Bytes, typed.LinkBytes})
	case configurator.Retention:
		return encodeCompact(wireRetention{head, typed.Keep.Milliseconds(), typed.Log.Milliseconds()})
	}
	return nil, errors.Newf("object %s has an unknown kind", ref)
}

func encodeService(head objectHeader, s configurator.Service) wireService {
	return wireService{
		objectHeader: head,
		Type:         string(s.Type),
		Priority:     s.Priority,
		Objective:    string(s.Objective),
		Fencing:      s.Fencing,
		Concurrency:  s.Concurrency,
		IdleWatts:    s.IdleWatts,
		RunWatts:     s.RunWatts,
		TimeoutMS:    s.Timeout.Milliseconds(),
	}
}

// DecodeObject decodes one object. It returns ErrMalformed for unknown kinds and
// fields.
func DecodeObject(data []byte) (configurator.Object, error) {
	var head objectHeader
	if err := json.Unmarshal(data, &head); err != nil {
		return nil, markMalformed(err)
	}
	decode, ok := objectDecoders[configurator.Kind(head.Kind)]
	if !ok {
		return nil, errors.Wrapf(ErrMalformed, "unknown kind %q", head.Kind)
	}
	return decode(data)
}

type objectDecoder func(data []byte) (configurator.Object, error)

var objectDecoders = map[configurator.Kind]objectDecoder{
	configurator.KindDomain: decodeAs(func(w wireDomain) configurator.Object {
		return configurator.Domain{Name: w.Name, Region: w.Region, Hosts: w.Hosts}
	}),
	configurator.KindCeiling: decodeAs(func(w wireCeiling) configurator.Object {
		return configurator.Ceiling{Name: w.Name, Watts: w.Watts, Shares: w.Shares}
	}),
	configurator.KindPriority: decodeAs(func(w wirePriority) configurator.Object {
		return configurator.Priority{Name: w.Name, Rank: w.Rank, Deadline: milliseconds(w.DeadlineMS)}
	}),
	configurator.KindTeam: decodeAs(func(w wireTeam) configurator.Object {
		return configurator.Team{Name: w.Name, KeyHash: w.KeyHash, Rate: w.Rate, Burst: w.Burst, Concurrency: w.Concurrency}
	}),
	configurator.KindService: decodeAs(decodeService),
	configurator.KindModel: decodeAs(func(w wireModel) configurator.Object {
		return configurator.Model{Name: w.Name, Service: w.Service, Version: w.Version}
	}),
	configurator.KindVersion: decodeAs(func(w wireVersion) configurator.Object {
		return configurator.Version{Name: w.Name, Model: w.Model, Weights: w.Weights}
	}),
	configurator.KindStore: decodeAs(func(w wireStore) configurator.Object {
		return configurator.Store{Name: w.Name, Domain: w.Domain, Bytes: w.Bytes, LinkBytes: w.LinkBytes}
	}),
	configurator.KindRetention: decodeAs(func(w wireRetention) configurator.Object {
		return configurator.Retention{Name: w.Name, Keep: milliseconds(w.KeepMS), Log: milliseconds(w.LogMS)}
	}),
}

func decodeAs[W any](convert func(W) configurator.Object) objectDecoder {
	return func(data []byte) (configurator.Object, error) {
		var wire W
		if err := strictDecode(data, &wire); err != nil {
			return nil, err
		}
		return convert(wire), nil
	}
}

func decodeService(w wireService) configurator.Object {
	return configurator.Service{
		Name:        w.Name,
		Type:        configurator.ServiceType(w.Type),
		Priority:    w.Priority,
		Objective:   configurator.Objective(w.Objective),
		Fencing:     w.Fencing,
		Concurrency: w.Concurrency,
		IdleWatts:   w.IdleWatts,
		RunWatts:    w.RunWatts,
		Timeout:     milliseconds(w.TimeoutMS),
	}
}

func milliseconds(n int64) time.Duration {
	return time.Duration(n) * time.Millisecond
}
