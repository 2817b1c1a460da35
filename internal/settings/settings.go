// Package settings parses and validates the daemon's flags and environment variables.
package settings

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
)

// Settings holds the daemon's settings. Every flag has an environment variable. The types accept every value and check
// validates them afterwards, because the flag parser would report only a missing flag and not the invalid ones too.
type Settings struct {
	Listen        Addr     `long:"listen" env:"GREENGAGED_LISTEN" description:"IP:port of the callers' listener"`
	PeerListen    Addr     `long:"peer-listen" env:"GREENGAGED_PEER_LISTEN" description:"IP:port of the listener for peers and operators; also the daemon's id"`
	FailureDomain Name     `long:"failure-domain" env:"GREENGAGED_FAILURE_DOMAIN" description:"failure domain of this host"`
	Region        Name     `long:"region" env:"GREENGAGED_REGION" description:"region of this host"`
	Table         Addr     `long:"table" env:"GREENGAGED_TABLE" description:"IP:port of the platform's table service"`
	Membership    Addr     `long:"membership" env:"GREENGAGED_MEMBERSHIP" description:"IP:port of the platform's membership list"`
	Secret        string   `long:"secret" env:"GREENGAGED_SECRET" description:"shared secret of peers and operators, 16 bytes or more"`
	Services      Names    `long:"services" env:"GREENGAGED_SERVICES" description:"services to serve, comma-separated"`
	Pools         Names    `long:"pools" env:"GREENGAGED_POOLS" description:"worker pools to schedule, comma-separated"`
	DrainNotice   Duration `long:"drain-notice" env:"GREENGAGED_DRAIN_NOTICE" default:"2s" description:"time that new requests are still served after a drain began"`
	DrainTimeout  Duration `long:"drain-timeout" env:"GREENGAGED_DRAIN_TIMEOUT" default:"15s" description:"longest time from the end of the notice until the daemon exits"`
	SwingFactor   Factor   `long:"swing-factor" env:"GREENGAGED_SWING_FACTOR" default:"10" description:"times the ordinary load that a sudden crest of short requests may reach; long requests leave room for it"`
	LogLevel      string   `long:"log-level" env:"GREENGAGED_LOG_LEVEL" default:"info" description:"lowest level that is logged"`
	ShowVersion   bool     `long:"version" description:"print the version and exit"`
}

const (
	minSecretBytes  = 16
	maxDrainNotice  = 30 * time.Second
	minDrainTimeout = 11 * time.Second // a request in progress may take 10 s
	maxDrainTimeout = 5 * time.Minute
	minSwingFactor  = 1
	maxSwingFactor  = 100
)

// Problem describes one invalid setting.
type Problem struct {
	Name    string // flag name
	Value   string // the given value; a secret is hidden
	Allowed string // allowed range with its unit
}

func (p Problem) String() string {
	return fmt.Sprintf("--%s: %q is not allowed; allowed: %s", p.Name, p.Value, p.Allowed)
}

// Problems lists all invalid settings of one start of the daemon.
type Problems []Problem

func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Parse reads the settings from args and the environment. The error is a Problems if settings are invalid, or a
// *flags.Error.
func Parse(args []string) (*Settings, error) {
	var s Settings
	parser := flags.NewParser(&s, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "greengaged"
	rest, err := parser.ParseArgs(args)
	if s.ShowVersion {
		return &s, nil
	}
	if err != nil {
		return nil, err
	}
	ps := s.check()
	for _, r := range rest {
		ps = append(ps, Problem{"", r, "no arguments"})
	}
	if len(ps) > 0 {
		return nil, ps
	}
	return &s, nil
}

func (s *Settings) check() Problems {
	var ps Problems
	rejectIf := func(wrong bool, name, value, allowed string) {
		if wrong {
			ps = append(ps, Problem{name, value, allowed})
		}
	}
	const addrRule = "IP:port, with an IP number and a port from 1 to 65535"
	rejectIf(!s.Listen.valid, "listen", s.Listen.raw, addrRule)
	rejectIf(!s.PeerListen.valid, "peer-listen", s.PeerListen.raw, addrRule)
	rejectIf(s.Listen.valid && s.Listen == s.PeerListen, "peer-listen", s.PeerListen.raw, "another address than --listen")
	rejectIf(!s.Table.valid, "table", s.Table.raw, addrRule)
	rejectIf(!s.Membership.valid, "membership", s.Membership.raw, addrRule)
	const nameRule = "1 to 63 of a-z, 0-9 and '-', starting with a letter"
	rejectIf(!s.FailureDomain.valid(), "failure-domain", string(s.FailureDomain), nameRule)
	rejectIf(!s.Region.valid(), "region", string(s.Region), nameRule)
	rejectIf(!s.Services.valid(), "services", s.Services.String(), "comma-separated names, each "+nameRule)
	rejectIf(!s.Pools.valid(), "pools", s.Pools.String(), "comma-separated names, each "+nameRule)
	rejectIf(len(s.Services)+len(s.Pools) == 0, "services", "", "at least one service or one pool")
	rejectIf(len(s.Secret) < minSecretBytes, "secret", "(hidden)", strconv.Itoa(minSecretBytes)+" bytes or more")
	rejectIf(!s.DrainNotice.inRange(0, maxDrainNotice), "drain-notice", s.DrainNotice.raw, "duration from 0s to "+maxDrainNotice.String())
	rejectIf(!s.DrainTimeout.inRange(minDrainTimeout, maxDrainTimeout), "drain-timeout", s.DrainTimeout.raw,
		"duration from "+minDrainTimeout.String()+" to "+maxDrainTimeout.String())
	rejectIf(!s.SwingFactor.inRange(minSwingFactor, maxSwingFactor), "swing-factor", s.SwingFactor.raw,
		fmt.Sprintf("number from %d to %d", minSwingFactor, maxSwingFactor))
	rejectIf(!slices.Contains(logLevels, s.LogLevel), "log-level", s.LogLevel, strings.Join(logLevels, ", "))
	return ps
}

var logLevels = []string{"debug", "info", "warn", "error"}

// Addr is an IP address and a port. It also stores an invalid value, so that Parse reports all invalid settings together.
type Addr struct {
	raw   string
	valid bool
}

// UnmarshalFlag implements flags.Unmarshaler.
func (a *Addr) UnmarshalFlag(v string) error {
	ap, err := netip.ParseAddrPort(v)
	*a = Addr{raw: v, valid: err == nil && ap.Port() != 0}
	return nil
}

func (a Addr) String() string { return a.raw }

// Duration is a duration such as 1500ms. It also stores an invalid value, so that Parse reports all invalid settings
// together.
type Duration struct {
	time.Duration
	raw   string
	valid bool
}

// UnmarshalFlag implements flags.Unmarshaler.
func (d *Duration) UnmarshalFlag(v string) error {
	parsed, err := time.ParseDuration(v)
	*d = Duration{Duration: parsed, raw: v, valid: err == nil}
	return nil
}

func (d Duration) inRange(low, high time.Duration) bool {
	return d.valid && d.Duration >= low && d.Duration <= high
}

// Factor is a number without a unit. It also stores an invalid value, so that Parse reports all invalid settings together.
type Factor struct {
	Value float64
	raw   string
	valid bool
}

// UnmarshalFlag implements flags.Unmarshaler.
func (f *Factor) UnmarshalFlag(v string) error {
	parsed, err := strconv.ParseFloat(v, 64)
	*f = Factor{Value: parsed, raw: v, valid: err == nil}
	return nil
}

func (f Factor) inRange(low, high float64) bool { return f.valid && f.Value >= low && f.Value <= high }

// Name is the name of a service, pool, region or failure domain.
type Name string

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

func (n Name) valid() bool { return namePattern.MatchString(string(n)) }

// Names is a list of names, given as one comma-separated value.
type Names []string

// UnmarshalFlag implements flags.Unmarshaler.
func (ns *Names) UnmarshalFlag(v string) error {
	*ns = nil
	for _, n := range strings.Split(v, ",") {
		if n = strings.TrimSpace(n); n != "" {
			*ns = append(*ns, n)
		}
	}
	return nil
}

func (ns Names) String() string { return strings.Join(ns, ",") }

func (ns Names) valid() bool {
	for _, n := range ns {
		if !Name(n).valid() {
			return false
		}
	}
	return true
}
