package config_test

import (
	"fmt"

	"github.com/bilberrywell/bilberrywell/config"
)

func ExampleCompile() {
	_, findings := config.Compile(map[string][]byte{
		"plans/service.yaml": []byte("services:\n  plans: {kind: chat, model: m, engines: [e1]}\n"),
		"plans/limits.yaml":  []byte("limits:\n  load_bound: high\n"),
	})
	fmt.Println(findings)
	// Output:
	// plans/limits.yaml:2:15: load_bound must be a number, not "high"
	// plans/service.yaml:2:43: engine "e1" is not defined
}
