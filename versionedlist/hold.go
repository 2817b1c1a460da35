package versionedlist

import (
	"maps"
	"time"
)

// DefaultHoldLimit is the time after which an announced edit has been committed or never will be. An editor gives up
// within 5 s, and a call to the store lasts 2 s at most.
const DefaultHoldLimit = 10 * time.Second

// announcedEdit is an edit that another process announced and whose outcome is not known here.
type announcedEdit struct {
	announcedAt time.Time
	version     int64 // of the committed edit, zero while unknown
}

// Hold notes that another process is about to commit the edit id. From now on no peer can confirm that the version in
// force is the newest, because the peer may be cut off from the store and from the editor as well; only the store can.
// This ends with Release, or with a read of the store that began HoldLimit later.
func (f *Follower) Hold(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, known := f.announcedEdits[id]; !known {
		f.announcedEdits[id] = announcedEdit{announcedAt: time.Now()}
	}
}

// Release ends a hold. version is that of the committed edit, which has to be in force here first; it is zero if the edit
// was not accepted.
func (f *Follower) Release(id string, version int64) {
	f.mu.Lock()
	if e, known := f.announcedEdits[id]; known && version > f.Snapshot().version {
		e.version = version
		f.announcedEdits[id] = e
	} else {
		delete(f.announcedEdits, id)
	}
	f.mu.Unlock()
	f.pollIfBehind(version)
}

// confirmByPeer notes that a peer that was asked at the given time has no newer version.
func (f *Follower) confirmByPeer(askedAt time.Time) {
	if !f.hasAnnouncedEdit(askedAt) {
		f.confirm(askedAt)
	}
}

// hasAnnouncedEdit reports whether an edit was announced at the given time whose outcome is still unknown.
func (f *Follower) hasAnnouncedEdit(t time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.announcedEdits {
		if !t.Before(e.announcedAt) {
			return true
		}
	}
	return false
}

// removeApplied ends the holds whose edits are in force. The caller holds mu.
func (f *Follower) removeApplied() {
	version := f.Snapshot().version
	maps.DeleteFunc(f.announcedEdits, func(_ string, e announcedEdit) bool { return e.version != 0 && e.version <= version })
}

// removeResolved ends the holds whose outcome a read of the store that began at the given time must have shown.
func (f *Follower) removeResolved(readAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	maps.DeleteFunc(f.announcedEdits, func(_ string, e announcedEdit) bool {
		return e.version == 0 && readAt.Sub(e.announcedAt) >= f.cfg.HoldLimit
	})
}
