package queues

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"github.com/go-faster/errors"
)

// Team is a group of callers that share API keys, a quota and a share of the workers.
type Team struct {
	Name       string      `json:"Name"`
	KeyDigests []KeyDigest `json:"KeyDigests"` // of its API keys; empty if all were withdrawn
	Priority   int         `json:"Priority"`
	// Weight is the team's share of the workers when they are all in use, and the number of jobs per second up to which its callers
	// are promised service. 0 means that the operator sets no share.
	Weight float64 `json:"Weight"`
	Quota  Quota   `json:"Quota"`
}

// Quota limits what the tasks of a team may use on all workers together. 0 means no limit.
type Quota struct {
	CPUMilli     int64 `json:"CPUMilli"` // thousandths of a core
	MemoryMB     int64 `json:"MemoryMB"`
	Accelerators int64 `json:"Accelerators"`
}

// Limited reports whether the quota has any limit.
func (q Quota) Limited() bool { return q != Quota{} }

// KeyDigest is the SHA-256 digest of an API key. The daemon keeps digests only, so that no dump or message contains a key, and finds a
// key by its digest, so that the time of a lookup tells nothing about other keys.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// fingerprintBytes is how many bytes of a digest a fingerprint shows.
const fingerprintBytes = 4

// Fingerprint returns the beginning of the digest, which identifies the key in logs.
func (d KeyDigest) Fingerprint() string { return hex.EncodeToString(d[:fingerprintBytes]) }

// MarshalText implements encoding.TextMarshaler.
func (d KeyDigest) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(d[:])), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *KeyDigest) UnmarshalText(text []byte) error {
	if n := hex.DecodedLen(len(text)); n != len(d) { // hex.Decode panics if the text is too long
		return errors.Errorf("digest of a key has %d bytes, expected %d", n, len(d))
	}
	if _, err := hex.Decode(d[:], text); err != nil {
		return errors.Wrap(err, "decode digest of a key")
	}
	return nil
}

// TeamByName returns the team with the name, and whether there is one.
func (c *Config) TeamByName(name string) (Team, bool) {
	c.index.Do(c.buildIndex)
	i, ok := c.teamByName[name]
	if !ok {
		return Team{}, false
	}
	return c.Teams[i], true
}

// TeamOfKey returns the team that holds the API key, and whether there is one.
func (c *Config) TeamOfKey(key string) (Team, bool) {
	c.index.Do(c.buildIndex)
	i, ok := c.teamByKey[DigestKey(key)]
	if !ok {
		return Team{}, false
	}
	return c.Teams[i], true
}

// KeysHeld reports whether any team holds a key.
func (c *Config) KeysHeld() bool {
	return slices.ContainsFunc(c.Teams, func(t Team) bool { return len(t.KeyDigests) > 0 })
}

// Validate returns an error that names every fault of the teams, see Faults.
func (c *Config) Validate() error { return errors.Join(c.Faults()...) }

// Faults returns the faults of the teams: a missing or duplicate name, a key that two teams or one team twice holds, a negative weight or
// limit.
func (c *Config) Faults() []error {
	var faults []error
	names := map[string]bool{}
	holders := map[KeyDigest]string{}
	for i, t := range c.Teams {
		if t.Name == "" {
			faults = append(faults, errors.Errorf("team %d has no name", i))
		}
		if names[t.Name] {
			faults = append(faults, errors.Errorf("two teams have the name %q", t.Name))
		}
		names[t.Name] = true
		if t.Weight < 0 {
			faults = append(faults, errors.Errorf("team %q has a negative weight", t.Name))
		}
		if q := t.Quota; q.CPUMilli < 0 || q.MemoryMB < 0 || q.Accelerators < 0 {
			faults = append(faults, errors.Errorf("team %q has a negative limit", t.Name))
		}
		for _, d := range t.KeyDigests {
			if other, held := holders[d]; held {
				faults = append(faults, errors.Errorf("teams %q and %q hold the same key %s", other, t.Name, d.Fingerprint()))
			}
			holders[d] = t.Name
		}
	}
	return faults
}
