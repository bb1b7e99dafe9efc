package daemon

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/sirupsen/logrus"

	"verbenapin.dev/node/link"
)

// maxGrace rejects a shutdown time that was given in a wrong unit.
const maxGrace = time.Hour

const help = `Runs one node of the load balancer beside its target.

Every flag can be set by the environment variable shown in brackets; a flag takes precedence.
A node of a fleet needs --config, --list, --peer, --control, --cert, --key and --ca;
with --plain it needs no certificates, and everybody who reaches its listeners can pose as a node.
A node by itself needs none of these, but --tree with a configuration file.

Exit codes:
  0  ended after a graceful shutdown, --check found no fault, or --help
  1  failed while running
  2  bad settings; all faults are reported at once
  3  an address or a certificate is unusable`

// flagSet holds the flags as go-flags reads them. Values that need parsing stay strings, so that settingsParser reports all
// faults at once.
type flagSet struct {
	Name    string `long:"name" env:"VERBENAPIN_NAME" value-name:"NAME" description:"Name of this instance, unique in the fleet and equal to its name in the instance list"`
	Domain  string `long:"domain" env:"VERBENAPIN_DOMAIN" value-name:"NAME" description:"Failure domain of this instance"`
	Service string `long:"service" env:"VERBENAPIN_SERVICE" value-name:"NAME" description:"Service that the target belongs to"`
	Target  string `long:"target" env:"VERBENAPIN_TARGET" value-name:"URL" description:"Base URL of the target, such as http://127.0.0.1:8081 (HTTP/1.1)"`
	Caller  string `long:"caller" env:"VERBENAPIN_CALLER" value-name:"IP:PORT" description:"Listener for requests of callers (HTTP/1.1 and 2)"`
	Peer    string `long:"peer" env:"VERBENAPIN_PEER" value-name:"IP:PORT" description:"Listener for requests between nodes (HTTP/2, mutual TLS)"`
	Control string `long:"control" env:"VERBENAPIN_CONTROL" value-name:"IP:PORT" description:"Listener for control messages between nodes (gRPC, mutual TLS)"`
	Admin   string `long:"admin" env:"VERBENAPIN_ADMIN" value-name:"IP:PORT" default:"127.0.0.1:9070" description:"Listener for operators (HTTP); it has no authentication, so keep it on loopback or a closed network"`
	Config  string `long:"config" env:"VERBENAPIN_CONFIG" value-name:"URL" description:"Base URL of the configuration service"`
	Tree    string `long:"tree" env:"VERBENAPIN_TREE" value-name:"FILE" description:"Configuration file to use instead of --config; it is read once at the start"`
	List    string `long:"list" env:"VERBENAPIN_LIST" value-name:"URL" description:"Base URL of the instance list; optional with --tree"`
	Cert    string `long:"cert" env:"VERBENAPIN_CERT" value-name:"FILE" description:"Certificate of this node (PEM)"`
	Key     string `long:"key" env:"VERBENAPIN_KEY" value-name:"FILE" description:"Private key of the certificate (PEM)"`
	CA      string `long:"ca" env:"VERBENAPIN_CA" value-name:"FILE" description:"Certificates of the authorities that sign the nodes of the fleet (PEM)"`
	Plain   bool   `long:"plain" env:"VERBENAPIN_PLAIN" description:"Connect nodes without TLS; only for closed networks, since a request from anywhere is then taken for one of a node"`
	Ready   string `long:"ready" env:"VERBENAPIN_READY" value-name:"IP:PORT" description:"Listener that only answers whether the node is ready, for a platform that may not reach --admin"`
	Grace   string `long:"grace" env:"VERBENAPIN_GRACE" value-name:"TIME" default:"30s" description:"Longest graceful shutdown, with unit, at least 3s and at most 1h"`
	Log     string `long:"log" env:"VERBENAPIN_LOG" value-name:"LEVEL" default:"info" description:"Lowest level to log: debug, info, warn or error"`
	Link    string `long:"link" env:"VERBENAPIN_LINK" value-name:"SPEED" default:"0Mbit/s" description:"Speed of the instance's network link, such as 100Mbit/s, of which large responses get four fifths; 0Mbit/s sets no limit"`
	Files   string `long:"files" env:"VERBENAPIN_FILES" value-name:"NUMBER" default:"0" description:"File descriptors that the process may open, from 64, most of them for connections; 0 takes the limit of the process"`
	Memory  string `long:"memory" env:"VERBENAPIN_MEMORY" value-name:"SIZE" default:"0MB" description:"Memory of the machine for this process and its target, such as 184MB, from 64MB: callers may use a quarter, and garbage is collected more often from 40%; 0MB takes GOMEMLIMIT, or else the memory of the machine"`
	Slow    string `long:"slow" env:"VERBENAPIN_SLOW" value-name:"TIME" default:"250ms" description:"Requests whose response head takes longer are logged with their stages; 0s logs none"`
	Trace   string `long:"trace" env:"VERBENAPIN_TRACE" value-name:"URL" description:"OTLP endpoint for spans (OTLP over HTTP), such as http://127.0.0.1:4318, to which /v1/traces is added if it has no path; without it no span is recorded"`
	Sample  string `long:"sample" env:"VERBENAPIN_SAMPLE" value-name:"PERCENT" default:"1%" description:"Share of requests to trace when the caller has not decided, 0% to 100%"`
	Check   bool   `long:"check" env:"VERBENAPIN_CHECK" description:"Check the settings, print all faults and exit without starting anything"`
}

// Settings are the checked settings of a node.
type Settings struct {
	Name          string
	Domain        string
	Service       string
	Target        *url.URL
	Caller        netip.AddrPort
	Peer          netip.AddrPort // zero for a standalone node
	Control       netip.AddrPort // zero for a standalone node
	Admin         netip.AddrPort
	Config        *url.URL // nil with Tree
	Tree          string   // path of the file, empty with Config
	List          *url.URL // nil without other nodes
	Cert          string
	Key           string
	CA            string
	Plain         bool           // connections between nodes are not encrypted
	Ready         netip.AddrPort // zero for no readiness listener
	UsesRegistry  bool           // configuration and instances come from the platform's registry
	Grace         time.Duration
	Log           logrus.Level
	Link          float64       // speed of the instance's network link in bytes per second, zero for no limit
	Files         int           // file descriptors that the process may open, zero for the limit of the process
	Memory        int64         // bytes of the machine for the process and its target, zero if not set
	SlowThreshold time.Duration // zero logs no slow requests
	Trace         *url.URL      // nil if tracing is off
	Sample        float64       // share of requests to trace, 0 to 1
	Check         bool
}

// Standalone reports whether the node runs without other nodes, and so without peer listeners and certificates.
func (s Settings) Standalone() bool { return s.List == nil && !s.UsesRegistry }

// SettingsError lists all faults of the settings, each with a remedy.
type SettingsError struct{ Faults []string }

func (e SettingsError) Error() string {
	return "daemon: bad settings:\n  " + strings.Join(e.Faults, "\n  ")
}

// HelpError holds the text of --help; the process then exits with ExitEnded.
type HelpError struct{ Text string }

func (e HelpError) Error() string { return e.Text }

// ParseSettings reads flags and the environment; its error is a SettingsError or a HelpError.
func ParseSettings(args []string) (Settings, error) {
	var f flagSet
	parser := flags.NewNamedParser("node", flags.HelpFlag|flags.PassDoubleDash|flags.IgnoreUnknown)
	parser.LongDescription = help
	if _, err := parser.AddGroup("Settings", "", &f); err != nil {
		return Settings{}, fmt.Errorf("daemon: describing the settings: %w", err)
	}
	rest, err := parser.ParseArgs(args)
	var flagErr *flags.Error
	switch {
	case errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp:
		return Settings{}, HelpError{Text: flagErr.Message}
	case err != nil:
		// After a flag without its value, the remaining arguments cannot be told apart.
		return Settings{}, SettingsError{Faults: []string{err.Error() + ": see --help"}}
	}
	var p settingsParser
	for _, arg := range rest {
		p.addFault(arg, "unknown argument", "remove it, or see --help for the flags")
	}
	s := p.settings(f)
	if len(p.faults) > 0 {
		return Settings{}, SettingsError{Faults: p.faults}
	}
	return s, nil
}

// settingsParser parses the values of flags and collects the faults of all of them.
type settingsParser struct{ faults []string }

func (p *settingsParser) addFault(flag, problem, remedy string) {
	p.faults = append(p.faults, fmt.Sprintf("%s: %s: %s", flag, problem, remedy))
}

func (p *settingsParser) settings(f flagSet) Settings {
	s := Settings{
		Name:          p.name("name", f.Name),
		Domain:        p.name("domain", f.Domain),
		Service:       p.name("service", f.Service),
		Target:        p.url("target", f.Target, true, "http"),
		Caller:        p.address("caller", f.Caller, true),
		Admin:         p.address("admin", f.Admin, true),
		Config:        p.url("config", f.Config, false, "http", "https"),
		Tree:          f.Tree,
		List:          p.url("list", f.List, f.Tree == "", "http", "https"),
		Grace:         p.grace(f.Grace),
		Log:           p.level(f.Log),
		Link:          p.speed(f.Link),
		Files:         p.files(f.Files),
		Memory:        p.memory(f.Memory),
		SlowThreshold: p.slowThreshold(f.Slow),
		Trace:         p.url("trace", f.Trace, false, "http", "https"),
		Sample:        p.percentage("sample", f.Sample),
		Check:         f.Check,
	}
	switch {
	case f.Config == "" && f.Tree == "":
		p.addFault("--config", "missing", "give the URL of the configuration service (VERBENAPIN_CONFIG), or --tree FILE for a node by itself")
	case f.Config != "" && f.Tree != "":
		p.addFault("--tree", "given together with --config", "remove one of them")
	}
	fleet := f.Tree == "" || f.List != ""
	s.Peer = p.address("peer", f.Peer, fleet)
	s.Control = p.address("control", f.Control, fleet)
	s.Plain = f.Plain
	s.Cert = p.file("cert", f.Cert, fleet && !f.Plain)
	s.Key = p.file("key", f.Key, fleet && !f.Plain)
	s.CA = p.file("ca", f.CA, fleet && !f.Plain)
	if f.Plain && f.Cert+f.Key+f.CA != "" {
		p.addFault("--plain", "given together with certificates", "remove --plain, or --cert, --key and --ca")
	}
	s.Ready = p.address("ready", f.Ready, false)
	p.checkListeners(s)
	return s
}

func (p *settingsParser) missing(flag, example string) {
	p.addFault("--"+flag, "missing", fmt.Sprintf("give --%s %s or VERBENAPIN_%s", flag, example, strings.ToUpper(flag)))
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

func (p *settingsParser) name(flag, value string) string {
	if value == "" {
		p.missing(flag, "NAME")
	} else if !namePattern.MatchString(value) {
		p.addFault("--"+flag, fmt.Sprintf("%q is not a name", value), "use at most 63 lower-case letters, digits and hyphens, neither first nor last a hyphen")
	}
	return value
}

func (p *settingsParser) address(flag, value string, required bool) netip.AddrPort {
	if value == "" {
		if required {
			p.missing(flag, "IP:PORT")
		}
		return netip.AddrPort{}
	}
	a, err := netip.ParseAddrPort(value)
	if err != nil {
		p.addFault("--"+flag, fmt.Sprintf("%q is not an address", value), "use an IP address and a port, such as 127.0.0.1:8080 or [::1]:8080")
	}
	return a
}

// checkListeners reports listeners with the same address; with port 0 the system chooses a free port.
func (p *settingsParser) checkListeners(s Settings) {
	listeners := []struct {
		flag    string
		address netip.AddrPort
	}{{"--caller", s.Caller}, {"--peer", s.Peer}, {"--control", s.Control}, {"--admin", s.Admin}, {"--ready", s.Ready}}
	for i, l := range listeners {
		for _, other := range listeners[:i] {
			if l.address.IsValid() && l.address.Port() != 0 && l.address == other.address {
				p.addFault(l.flag, fmt.Sprintf("same address as %s", other.flag), "give each listener a port of its own")
			}
		}
	}
}

func (p *settingsParser) url(flag, value string, required bool, schemes ...string) *url.URL {
	if value == "" {
		if required {
			p.missing(flag, "URL")
		}
		return nil
	}
	u, err := url.Parse(value)
	if err == nil && u.Host != "" && u.User == nil && u.RawQuery == "" && u.Fragment == "" {
		for _, scheme := range schemes {
			if u.Scheme == scheme {
				return u
			}
		}
	}
	// The value is not printed, because it may contain a password.
	p.addFault("--"+flag, "not a usable URL", fmt.Sprintf("use %s://HOST:PORT without user, query and fragment", strings.Join(schemes, ":// or ")))
	return nil
}

func (p *settingsParser) file(flag, value string, required bool) string {
	if value == "" && required {
		p.missing(flag, "FILE")
	}
	return value
}

func (p *settingsParser) grace(value string) time.Duration {
	d, err := time.ParseDuration(value)
	// Listeners stay open for announcePeriod after a shutdown begins, so a shorter grace would cut off requests.
	if err != nil || d < 3*time.Second || d > maxGrace {
		p.addFault("--grace", fmt.Sprintf("%q is not a duration from 3s to 1h", value), "use a number with unit, such as 30s")
	}
	return d
}

func (p *settingsParser) slowThreshold(value string) time.Duration {
	d, err := time.ParseDuration(value)
	if err != nil || d < 0 {
		p.addFault("--slow", fmt.Sprintf("%q is not a duration", value), "use a number with unit, such as 250ms, or 0s to log no slow requests")
	}
	return d
}

func (p *settingsParser) speed(value string) float64 {
	number, hasUnit := strings.CutSuffix(value, "Mbit/s")
	x, err := strconv.ParseFloat(number, 64)
	if !hasUnit || err != nil || !(x >= 0 && x <= 1e6) {
		p.addFault("--link", fmt.Sprintf("%q is not a speed", value), "use a number from 0 to 1000000 with its unit, such as 100Mbit/s, or 0Mbit/s for no limit")
		return 0
	}
	return x * link.BytesPerMegabit
}

// minFiles is enough for one request at a time beside the listeners.
const minFiles = 64

func (p *settingsParser) files(value string) int {
	n, err := strconv.Atoi(value)
	if err != nil || n < 0 || (n > 0 && n < minFiles) {
		p.addFault("--files", fmt.Sprintf("%q is not a number of descriptors", value), fmt.Sprintf("use a whole number from %d, or 0 for the limit of the process", minFiles))
		return 0
	}
	return n
}

const (
	// bytesPerMegabyte converts the unit of --memory.
	bytesPerMegabyte = 1 << 20
	// minMemory is twice what an idle node uses.
	minMemory = 64
	maxMemory = 1 << 24 // 16 TB
)

func (p *settingsParser) memory(value string) int64 {
	number, hasUnit := strings.CutSuffix(value, "MB")
	n, err := strconv.ParseInt(number, 10, 64)
	if !hasUnit || err != nil || n < 0 || (n > 0 && n < minMemory) || n > maxMemory {
		p.addFault("--memory", fmt.Sprintf("%q is not an amount of memory", value), fmt.Sprintf("use a whole number from %d with its unit, such as 184MB, or 0MB for the memory of the machine", minMemory))
		return 0
	}
	return n * bytesPerMegabyte
}

func (p *settingsParser) level(value string) logrus.Level {
	switch value {
	case "debug", "info", "warn", "error":
		level, _ := logrus.ParseLevel(value)
		return level
	}
	p.addFault("--log", fmt.Sprintf("%q is not a log level", value), "use debug, info, warn or error")
	return logrus.InfoLevel
}

func (p *settingsParser) percentage(flag, value string) float64 {
	number, hasUnit := strings.CutSuffix(value, "%")
	x, err := strconv.ParseFloat(number, 64)
	if !hasUnit || err != nil || !(x >= 0 && x <= 100) {
		p.addFault("--"+flag, fmt.Sprintf("%q is not a percentage", value), "use a number from 0% to 100% with its percent sign, such as 1%")
		return 0
	}
	return x / 100
}
