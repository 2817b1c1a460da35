package versionedlist

import (
	"maps"
	"time"
)

// DefaultHoldLimit is the time after which an announced edit either has been committed or never will be. An editor gives
// up within 5 s, and a call to the store takes at most 2 s.
const DefaultHoldLimit = 10 * time.Second

// announcedEdit is an edit that another process announced by Hold, and that is not known to be applied here or rejected.
type announcedEdit struct {
	announcedAt time.Time
	version     int64 // version of the committed edit, 0 while the outcome is unknown
}

// Hold notes that another process is about to commit the edit with this id. From then on, the follower does not let a peer
// confirm that the current version is the newest, because the peer, too, may be partitioned from the store and from the
// editor; only a read of the store can confirm it. The hold ends with Release, or with a read of the store that began at
// least HoldLimit later.
func (f *Follower) Hold(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, known := f.announcedEdits[id]; !known {
		f.announcedEdits[id] = announcedEdit{announcedAt: time.Now()}
	}
}

// Release ends the hold of an edit. version is the version of the committed edit, or 0 if the edit was rejected. If the
// follower does not have this version yet, the hold ends once it does.
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

// confirmByPeer notes that a peer that was asked at the given time has no newer version. It has no effect while a hold
// that began by then is in place.
func (f *Follower) confirmByPeer(askedAt time.Time) {
	if !f.hasAnnouncedEdit(askedAt) {
		f.confirm(askedAt)
	}
}

// hasAnnouncedEdit reports whether there is a hold that began at t or earlier.
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

// removeApplied ends the holds of edits that the current version contains. The caller holds mu.
func (f *Follower) removeApplied() {
	version := f.Snapshot().version
	maps.DeleteFunc(f.announcedEdits, func(_ string, e announcedEdit) bool { return e.version != 0 && e.version <= version })
}

// removeResolved ends the holds of edits whose outcome is final and visible to a store read that began at readAt.
func (f *Follower) removeResolved(readAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	maps.DeleteFunc(f.announcedEdits, func(_ string, e announcedEdit) bool {
		return e.version == 0 && readAt.Sub(e.announcedAt) >= f.cfg.HoldLimit
	})
}
