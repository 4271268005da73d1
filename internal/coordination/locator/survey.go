package locator

import (
	"net/netip"
	"slices"
)

// Survey says for each shared part of a prompt, all but the last, where it is. It lets
// many engines be compared with one look at the directory.
type Survey struct {
	parts []surveyedPart
}

type surveyedPart struct {
	tokens  int
	stored  bool
	engines []netip.AddrPort
}

// Survey looks up the shared parts of a prompt. The query needs no target.
func (l *Locator) Survey(query Query) Survey {
	l.mu.Lock()
	defer l.mu.Unlock()
	var survey Survey
	for i := 0; i < len(query.Parts)-1; i++ {
		part := surveyedPart{tokens: query.Parts[i].Tokens}
		for _, h := range l.holdings[Key{Salt: query.Salt, Part: query.Parts[i].ID}] {
			switch {
			case h.tokens < part.tokens || part.tokens == 0:
			case query.store(h.holder) >= 0:
				part.stored = true
			case query.engine(h.holder) >= 0:
				part.engines = append(part.engines, h.holder)
			}
		}
		survey.parts = append(survey.parts, part)
	}
	return survey
}

// Cached returns how many tokens of the shared parts an engine is assumed to hold, and
// how many it could fetch. It stops at the first part that is in neither group.
func (s Survey) Cached(engine netip.AddrPort) (held, fetchable int) {
	for _, part := range s.parts {
		switch {
		case slices.Contains(part.engines, engine):
			held += part.tokens
		case part.stored || len(part.engines) > 0:
			fetchable += part.tokens
		default:
			return held, fetchable
		}
	}
	return held, fetchable
}

// store returns the index of a holder among the query's stores, or -1.
func (q Query) store(holder netip.AddrPort) int {
	return slices.IndexFunc(q.Stores, func(s Store) bool { return s.Address == holder })
}

// engine returns the index of a holder among the query's engines, or -1.
func (q Query) engine(holder netip.AddrPort) int {
	return slices.IndexFunc(q.Engines, func(e Engine) bool { return e.Address == holder })
}
