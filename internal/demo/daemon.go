package demo

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/samber/oops"
	"gopkg.in/yaml.v3"
)

// This file holds everything that the driver assumes about the daemon and the CLI.
const (
	daemonBinary = "bilberrywelld"
	ctlBinary    = "bilberryctl"
	metricsPath  = "/metrics"
	// controlBytesMetric is the counter of control bytes, labelled by direction and kind.
	controlBytesMetric = "bilberry_control_bytes_total"
)

// settings is the content of the daemon's settings file.
type settings struct {
	Instance        string `yaml:"instance"`
	DataCentre      string `yaml:"data_centre"`
	Region          string `yaml:"region"`
	CallerAddr      string `yaml:"caller_addr"`
	PeerAddr        string `yaml:"peer_addr"`
	AdminAddr       string `yaml:"admin_addr"`
	StoreAddr       string `yaml:"store_addr"`
	FleetSecretFile string `yaml:"fleet_secret_file"`
}

// daemonArgs returns the daemon's arguments.
func daemonArgs(settingsFile string) []string {
	return []string{"-settings", settingsFile}
}

// publishArgs returns the CLI's arguments to publish dir.
func publishArgs(storeAddr, secretFile, dir string) []string {
	return []string{"publish", "-store", storeAddr, "-secret-file", secretFile, "-as", "demo", dir}
}

// adminHeader returns the header that the admin listener requires.
func adminHeader(secret string) (name, value string) {
	return "Authorization", "Bearer " + secret
}

// write writes the settings to a file in dir and returns the file's path.
func (s settings) write(dir string) (string, error) {
	text, err := yaml.Marshal(s)
	if err != nil {
		return "", oops.Wrap(err)
	}
	file := filepath.Join(dir, fmt.Sprintf("%s.yaml", s.Instance))
	return file, oops.Wrap(os.WriteFile(file, text, 0o600))
}
