package session

import (
	"sync"
	"time"
)

// Guarantor grants promises to session holders and consents to fencings. It keeps its state only in memory; after a
// restart it consents to nothing until every promise of its predecessor has expired. It is safe for concurrent use.
type Guarantor struct {
	cfg     Config
	boot    string
	started time.Time // start of the quarantine

	mu       sync.Mutex
	sessions map[string]*guaranteedSession
}

// guaranteedSession is what a guarantor remembers of one session id. Because of the sequence numbers one entry per id
// is sufficient: only the newest incarnation can still get promises or be fenced.
type guaranteedSession struct {
	incarnation   int64
	promisedUntil time.Time
	consentedSeq  int64 // a fencing up to this sequence number has our consent; -1: no consent
}

// NewGuarantor returns the guarantor of the process with the id boot, as Keeper.Boot returns it. The quarantine, during
// which it consents to no fencing, starts now.
func NewGuarantor(cfg Config, boot string) *Guarantor {
	return &Guarantor{cfg: cfg.withDefaults(), boot: boot, started: time.Now(), sessions: map[string]*guaranteedSession{}}
}

// currentEntry returns the entry for an incarnation, which it creates or replaces if needed. It returns nil if a newer
// incarnation is known. The caller holds mu.
func (g *Guarantor) currentEntry(id string, incarnation int64) *guaranteedSession {
	e := g.sessions[id]
	if e == nil || e.incarnation < incarnation {
		e = &guaranteedSession{incarnation: incarnation, consentedSeq: -1}
		g.sessions[id] = e
	}
	if e.incarnation > incarnation {
		return nil
	}
	return e
}

// Promise grants a promise for one TTL unless the guarantor has consented to a fencing of the session.
//
// A consent applies to sequence numbers up to the one in its request. A holder that has renewed since then can get
// promises again, because the fencing is conditional on a version of the row that no longer exists.
func (g *Guarantor) Promise(req PromiseRequest) PromiseReply {
	g.mu.Lock()
	defer g.mu.Unlock()
	if req.GuarantorBoot != g.boot {
		return PromiseReply{Reason: "guarantor was restarted"}
	}
	e := g.currentEntry(req.Session, req.Incarnation)
	switch {
	case e == nil:
		return PromiseReply{Reason: "a newer incarnation is known"}
	case req.Seq <= e.consentedSeq:
		return PromiseReply{Reason: "consented to fencing"}
	}
	e.promisedUntil = time.Now().Add(g.cfg.TTL)
	return PromiseReply{Granted: true}
}

// Consent consents to the fencing of a session unless a promise to the holder is in force or the quarantine after the
// guarantor's start has not ended.
func (g *Guarantor) Consent(req ConsentRequest) ConsentReply {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if now.Sub(g.started) < g.cfg.TTL+g.cfg.Margin {
		return ConsentReply{Reason: "quarantine after start"}
	}
	e := g.currentEntry(req.Session, req.Incarnation)
	switch {
	case e == nil:
		return ConsentReply{Granted: true} // a newer incarnation has already replaced this one
	case now.Before(e.promisedUntil):
		return ConsentReply{Reason: "promise in force"}
	}
	e.consentedSeq = max(e.consentedSeq, req.Seq)
	return ConsentReply{Granted: true}
}

// GuaranteedState describes one session that a Guarantor knows, in its state dump.
type GuaranteedState struct {
	Session      string `json:"session"`
	Incarnation  int64  `json:"incarnation"`
	PromisedMS   int64  `json:"promised_ms"` // remaining time of the promise
	ConsentedSeq int64  `json:"consented_seq"`
}

// State returns a dump of the guarantor's sessions that can be encoded as JSON.
func (g *Guarantor) State() any {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]GuaranteedState, 0, len(g.sessions))
	for id, e := range g.sessions {
		left := max(0, time.Until(e.promisedUntil))
		out = append(out, GuaranteedState{Session: id, Incarnation: e.incarnation, PromisedMS: left.Milliseconds(),
			ConsentedSeq: e.consentedSeq})
	}
	return out
}
