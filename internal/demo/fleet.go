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

// instances is the number of entry instances of both deployments.
const instances = 7

// listeners is the number of listeners of an instance.
const listeners = 3

// router is what the driver sends traffic through.
type router interface {
	// bases returns the URLs of the instances.
	bases() []string
	// publish puts the files in dir in force.
	publish(ctx context.Context, dir string) error
	// kill ends an instance without notice.
	kill(instance int) error
	// metrics returns an instance's metrics by series.
	metrics(ctx context.Context, instance int) (series, error)
	// close ends everything that was started.
	close()
}

// daemons is a fleet of daemon processes.
type daemons struct {
	bin    string
	dir    string
	secret string
	world  *World
	// admin holds the admin addresses of the instances.
	admin   []string
	urls    []string
	files   []string
	process *processes
}

// startDaemons starts the daemons of a fleet and lists them in the platform.
func startDaemons(bin, dir string, world *World, example *Example) (*daemons, error) {
	d := &daemons{bin: bin, dir: dir, secret: rand.Text() + rand.Text(), world: world, process: &processes{}}
	if err := os.WriteFile(d.secretFile(), []byte(d.secret+"\n"), 0o600); err != nil {
		return nil, oops.Wrap(err)
	}
	places := placesOf(example)
	addrs, err := simutil.FreeAddrs(listeners * instances)
	if err != nil {
		return nil, err
	}
	for i := range instances {
		s := d.settingsFor(i, places[i%len(places)], addrs[listeners*i:])
		if err := d.add(s); err != nil {
			return nil, err
		}
	}
	for i, file := range d.files {
		if err := d.process.start(filepath.Join(bin, daemonBinary), daemonArgs(file), d.logFile(i)); err != nil {
			d.close()
			return nil, err
		}
	}
	return d, nil
}

// place is where an engine stands.
type place struct{ dataCentre, region string }

// placesOf returns the data centres of an example's engines, each once.
func placesOf(example *Example) []place {
	var places []place
	seen := map[place]bool{}
	for _, service := range example.Services {
		for _, engine := range service.Engines {
			p := place{engine.DataCentre, engine.Region}
			if !seen[p] {
				seen[p] = true
				places = append(places, p)
			}
		}
	}
	return places
}

func (d *daemons) settingsFor(i int, p place, addrs []string) settings {
	return settings{
		Instance:   fmt.Sprintf("entry-%d", i+1),
		DataCentre: p.dataCentre, Region: p.region,
		CallerAddr: addrs[0], PeerAddr: addrs[1], AdminAddr: addrs[2],
		StoreAddr: d.world.Store.Addr, FleetSecretFile: d.secretFile(),
	}
}

func (d *daemons) add(s settings) error {
	file, err := s.write(d.dir)
	if err != nil {
		return err
	}
	d.files = append(d.files, file)
	d.urls = append(d.urls, "http://"+s.CallerAddr)
	d.admin = append(d.admin, s.AdminAddr)
	return nil
}

func (d *daemons) secretFile() string { return filepath.Join(d.dir, "secret") }

func (d *daemons) logFile(i int) string {
	return filepath.Join(d.dir, fmt.Sprintf("entry-%d.log", i+1))
}

func (d *daemons) bases() []string { return d.urls }

func (d *daemons) publish(ctx context.Context, dir string) error {
	return d.process.run(ctx, filepath.Join(d.bin, ctlBinary), publishArgs(d.world.Store.Addr, d.secretFile(), dir))
}

// kill kills a daemon. Its row in the store lapses.
func (d *daemons) kill(instance int) error {
	return d.process.kill(instance)
}

// metrics reads an instance's metrics listener.
func (d *daemons) metrics(ctx context.Context, instance int) (series, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	url := "http://" + d.admin[instance] + metricsPath
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

func (d *daemons) close() { d.process.close() }
