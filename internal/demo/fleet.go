package demo

import (
	"bufio"
	"context"
	"crypto/rand"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/samber/oops"

	"github.com/bilberrywell/bilberrywell/internal/standin/simutil"
)

// instanceCount is the number of entry instances in each example.
const instanceCount = 7

// listenersPerInstance is the number of listeners of an instance: callers, peers and admin.
const listenersPerInstance = 3

// router is the fleet under test, or its replacement in the self-check.
type router interface {
	// baseURLs returns the URLs of the instances.
	baseURLs() []string
	// publish publishes the files in dir.
	publish(ctx context.Context, dir string) error
	// kill stops an instance without a drain.
	kill(instance int) error
	// metrics returns the current values of an instance's metrics.
	metrics(ctx context.Context, instance int) (metricValues, error)
	// close stops everything that was started.
	close()
}

// daemonFleet is a fleet of daemon processes.
type daemonFleet struct {
	bin      string
	dir      string
	secret   string
	standIns *StandIns
	// adminAddrs holds the admin addresses of the instances.
	adminAddrs    []string
	urls          []string
	settingsFiles []string
	processes     *childProcesses
}

// startDaemonFleet writes the settings of the instances, which are placed in the example's data centres
// in turn, and starts their daemons.
func startDaemonFleet(bin, dir string, standIns *StandIns, example *Example) (*daemonFleet, error) {
	d := &daemonFleet{bin: bin, dir: dir, secret: rand.Text() + rand.Text(), standIns: standIns, processes: &childProcesses{}}
	if err := os.WriteFile(d.secretFile(), []byte(d.secret+"\n"), 0o600); err != nil {
		return nil, oops.Wrap(err)
	}
	locations := locationsOf(example)
	addrs, err := simutil.FreeAddrs(listenersPerInstance * instanceCount)
	if err != nil {
		return nil, err
	}
	for i := range instanceCount {
		s := d.settingsFor(i, locations[i%len(locations)], addrs[listenersPerInstance*i:])
		if err := d.addInstance(s); err != nil {
			return nil, err
		}
	}
	for i, file := range d.settingsFiles {
		if err := d.processes.start(filepath.Join(bin, daemonBinary), daemonArgs(file), d.logFile(i)); err != nil {
			d.close()
			return nil, err
		}
	}
	return d, nil
}

// location is the data centre and region of an engine.
type location struct{ dataCentre, region string }

// locationsOf returns the locations of an example's engines, each once.
func locationsOf(example *Example) []location {
	var locations []location
	seen := map[location]bool{}
	for _, service := range example.Services {
		for _, engine := range service.Engines {
			l := location{engine.DataCentre, engine.Region}
			if !seen[l] {
				seen[l] = true
				locations = append(locations, l)
			}
		}
	}
	return locations
}

func (d *daemonFleet) settingsFor(i int, l location, addrs []string) settings {
	return settings{
		Instance:   fmt.Sprintf("entry-%d", i+1),
		DataCentre: l.dataCentre, Region: l.region,
		CallerAddr: addrs[0], PeerAddr: addrs[1], AdminAddr: addrs[2],
		StoreAddr: d.standIns.Store.Addr, FleetSecretFile: d.secretFile(),
	}
}

func (d *daemonFleet) addInstance(s settings) error {
	file, err := s.write(d.dir)
	if err != nil {
		return err
	}
	d.settingsFiles = append(d.settingsFiles, file)
	d.urls = append(d.urls, "http://"+s.CallerAddr)
	d.adminAddrs = append(d.adminAddrs, s.AdminAddr)
	return nil
}

func (d *daemonFleet) secretFile() string { return filepath.Join(d.dir, "secret") }

func (d *daemonFleet) logFile(i int) string {
	return filepath.Join(d.dir, fmt.Sprintf("entry-%d.log", i+1))
}

func (d *daemonFleet) baseURLs() []string { return d.urls }

func (d *daemonFleet) publish(ctx context.Context, dir string) error {
	return d.processes.run(ctx, filepath.Join(d.bin, ctlBinary), publishArgs(d.standIns.Store.Addr, d.secretFile(), dir))
}

// kill kills a daemon. Its row in the store remains until it expires.
func (d *daemonFleet) kill(instance int) error {
	return d.processes.kill(instance)
}

// metrics reads an instance's metrics from its admin listener.
func (d *daemonFleet) metrics(ctx context.Context, instance int) (metricValues, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	url := "http://" + d.adminAddrs[instance] + metricsPath
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, oops.Wrap(err)
	}
	r.Header.Set(adminHeader(d.secret))
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, oops.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	return parseSeries(bufio.NewScanner(response.Body))
}

func (d *daemonFleet) close() { d.processes.close() }
