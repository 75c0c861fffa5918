package gateway

import (
	"fmt"
	"time"

	"gopkg.in/yaml.v3"

	"github.com/bilberrywell/bilberrywell/config"
	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/settingsfile"
	"github.com/bilberrywell/bilberrywell/internal/yamlfile"
)

// Settings holds the settings of one gateway. Fields that a file omits or sets to null keep their
// defaults.
type Settings struct {
	// Instance is the name of the process in logs.
	Instance   fleet.InstanceID
	DataCentre fleet.DataCentre
	Region     fleet.Region

	// CallerAddr, ReadyAddr and PeerAddr are the listen addresses for callers, for the balancer's
	// readiness checks and for other instances, as IP:port. MetricsAddr, for metrics, is optional.
	CallerAddr  string
	ReadyAddr   string
	PeerAddr    string
	MetricsAddr string
	// StoreAddr is the address of the platform's key-value store.
	StoreAddr string
	// Seeds are peer addresses that are tried while the store names no instance.
	Seeds []string
	// FleetSecret is the secret that peers must present; empty if the network is closed to others.
	FleetSecret string

	// StopGrace is the time from SIGTERM until the process is killed. Default 8 s.
	StopGrace time.Duration
	// DrainWait is how long new requests are accepted after SIGTERM, so that the balancer has time to
	// notice that the instance is not ready. The default of 2.5 s suits a balancer that checks every
	// second and acts on the second failure.
	DrainWait time.Duration
	// RetryRatio, RetryReserve and RetryWindow bound the extra attempts of the whole fleet.
	// Defaults 0.1, 0 and 10 s.
	RetryRatio   float64
	RetryReserve float64
	RetryWindow  time.Duration
	// LoadLimit is the multiple of a pool's mean load that no engine should exceed. Default 2.
	LoadLimit float64
	// Forecast lets forecasts of the first event and the pace figures of engines decide where requests go. Default
	// on; off serves comparisons.
	Forecast bool
	// BodyMemory bounds the bytes of callers' request bodies that the instance holds in total. 0, the default, sets no
	// bound.
	BodyMemory int
	// LoadControl sets whether requests wait at the instance while no engine has a free slot: LoadControlOn,
	// LoadControlOff, or empty to let Contracts decide.
	LoadControl string
	// Contracts lists the names of the parts of the platform's rules that are in force.
	Contracts []string
	// WarmUpOvershoot and WarmUpSlack bound the requests of the whole fleet to a cold engine in any second: what it
	// tolerates times WarmUpOvershoot plus WarmUpSlack. Defaults 1.5 and 5.
	WarmUpOvershoot float64
	WarmUpSlack     float64
	// LogLines bounds the number of log lines per second. Default 200.
	LogLines int
}

// Values of Settings.LoadControl.
const (
	LoadControlOn  = "on"
	LoadControlOff = "off"
)

// DefaultSettings returns settings with the default of every optional field.
func DefaultSettings() Settings {
	return Settings{
		StopGrace:   8 * time.Second,
		DrainWait:   2500 * time.Millisecond,
		RetryRatio:  0.1,
		RetryWindow: 10 * time.Second,
		LoadLimit:   2,
		Forecast:    true,
		LogLines:    200,

		WarmUpOvershoot: 1.5,
		WarmUpSlack:     5,
	}
}

// LoadSettings reads and checks a settings file. It returns all findings together.
func LoadSettings(path string) (Settings, config.Findings) {
	l := &settingsLoader{File: settingsfile.New(path), settings: DefaultSettings()}
	if root := l.Read(); root != nil {
		l.check(root)
	}
	return l.settings, l.Findings()
}

type settingsLoader struct {
	*settingsfile.File
	settings Settings
}

func (l *settingsLoader) check(root *yaml.Node) {
	l.Mapping(root, "the settings file", l.fields(), "instance", "data_centre", "caller_addr", "ready_addr", "peer_addr", "store_addr")
	if l.settings.DrainWait >= l.settings.StopGrace {
		l.ReportFile(fmt.Sprintf("drain_wait %s must be below stop_grace %s", l.settings.DrainWait, l.settings.StopGrace))
	}
}

func (l *settingsLoader) fields() yamlfile.Fields {
	s := &l.settings
	fields := yamlfile.Fields{
		"instance":      yamlfile.SetString(&l.Reader, "instance", &s.Instance),
		"data_centre":   yamlfile.SetString(&l.Reader, "data_centre", &s.DataCentre),
		"region":        yamlfile.SetString(&l.Reader, "region", &s.Region),
		"caller_addr":   l.SetAddr("caller_addr", &s.CallerAddr),
		"ready_addr":    l.SetAddr("ready_addr", &s.ReadyAddr),
		"peer_addr":     l.SetAddr("peer_addr", &s.PeerAddr),
		"metrics_addr":  l.SetAddr("metrics_addr", &s.MetricsAddr),
		"store_addr":    l.SetAddr("store_addr", &s.StoreAddr),
		"seeds":         func(n *yaml.Node) { s.Seeds = l.Strings(n, "seeds") },
		"fleet_secret":  yamlfile.SetString(&l.Reader, "fleet_secret", &s.FleetSecret),
		"stop_grace":    l.SetDuration("stop_grace", &s.StopGrace, time.Second, time.Hour),
		"drain_wait":    l.SetDuration("drain_wait", &s.DrainWait, 0, time.Hour),
		"retry_window":  l.SetDuration("retry_window", &s.RetryWindow, 100*time.Millisecond, time.Hour),
		"retry_ratio":   l.SetNumber("retry_ratio", &s.RetryRatio, 0, 1),
		"retry_reserve": l.SetNumber("retry_reserve", &s.RetryReserve, 0, 1e6),
		"load_limit":    l.SetNumber("load_limit", &s.LoadLimit, 1, 100),
		"forecast":      l.setSwitch("forecast", &s.Forecast),
		"body_memory":   l.SetInt("body_memory", &s.BodyMemory, 0, 1<<40),
		"load_control":  l.setLoadControl,
		"contracts":     l.setContracts,
		"log_lines":     l.SetInt("log_lines", &s.LogLines, 1, 1e6),

		"warm_up_overshoot": l.SetNumber("warm_up_overshoot", &s.WarmUpOvershoot, 0, 1e3),
		"warm_up_slack":     l.SetNumber("warm_up_slack", &s.WarmUpSlack, 0, 1e6),
	}
	for name, read := range fields {
		fields[name] = func(n *yaml.Node) {
			if n.Tag != "!!null" {
				read(n)
			}
		}
	}
	return fields
}

// setSwitch returns a function that reads "on" or "off" into dst. Another value is reported and leaves dst unchanged.
func (l *settingsLoader) setSwitch(what string, dst *bool) func(*yaml.Node) {
	return func(n *yaml.Node) {
		text, ok := l.String(n, what)
		switch {
		case ok && (text == "on" || text == "off"):
			*dst = text == "on"
		case ok:
			l.Report(n, fmt.Sprintf("%s is %q and must be on or off", what, text))
		}
	}
}

// setContracts reads contracts. The platform writes the list, so names that repeat are no fault.
func (l *settingsLoader) setContracts(n *yaml.Node) {
	for _, item := range l.Items(n, "contracts") {
		if name, ok := l.String(item, "an item of contracts"); ok {
			l.settings.Contracts = append(l.settings.Contracts, name)
		}
	}
}

// setLoadControl reads load_control.
func (l *settingsLoader) setLoadControl(n *yaml.Node) {
	switch n.Value {
	case LoadControlOn, LoadControlOff:
		l.settings.LoadControl = n.Value
	default:
		l.Reader.Report(n, "load_control must be on or off")
	}
}

// loadControl returns whether load control is on: the settings decide, or else the contracts.
func (o Options) loadControl(s Settings) bool {
	if s.LoadControl == "" && o.ControlsLoad != nil {
		return o.ControlsLoad(s.Contracts)
	}
	return s.LoadControl == LoadControlOn
}
