package session

import (
	"sync"
	"time"
)

// Guarantor grants promises to holders and consents to fencings. Its state is in memory only; a restarted guarantor
// consents to nothing until every promise of its predecessor has run out. It is safe for concurrent use.
type Guarantor struct {
	cfg     Config
	boot    string
	started time.Time

	mu       sync.Mutex
	sessions map[string]*guaranteedSession
}

// guaranteedSession is what a guarantor remembers of one session id. Sequence numbers make one entry per id sufficient: only
// the newest incarnation can still hold or lose anything.
type guaranteedSession struct {
	incarnation   int64
	promisedUntil time.Time
	consentedSeq  int64 // fencing up to this sequence number has our consent; -1: none
}

// NewGuarantor returns the guarantor of the process boot, as Keeper.Boot returns it. The quarantine starts now.
func NewGuarantor(cfg Config, boot string) *Guarantor {
	return &Guarantor{cfg: cfg.withDefaults(), boot: boot, started: time.Now(), sessions: map[string]*guaranteedSession{}}
}

// currentEntry returns the entry for an incarnation, or nil if a newer one is known.
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

// Promise grants a promise for one TTL unless a fencing of the session has been consented to.
//
// A consent binds the row's sequence number. A holder that has renewed since then may get promises again, because the
// fencing is conditional on a version of the row that no longer exists.
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

// Consent agrees to the fencing of a session unless a promise to it is in force or the quarantine after the start lasts.
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
		return ConsentReply{Granted: true} // the incarnation was replaced already
	case now.Before(e.promisedUntil):
		return ConsentReply{Reason: "promise in force"}
	}
	e.consentedSeq = max(e.consentedSeq, req.Seq)
	return ConsentReply{Granted: true}
}

// GuaranteedState describes one session that a Guarantor knows.
type GuaranteedState struct {
	Session      string `json:"session"`
	Incarnation  int64  `json:"incarnation"`
	PromisedMS   int64  `json:"promised_ms"` // remaining time of the promise
	ConsentedSeq int64  `json:"consented_seq"`
}

// State returns what the guarantor remembers, for the process's state dump.
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
