// Package harness starts the daemons, the stand-ins and the relays between
// them as real processes for integration tests, injects faults into them and
// records what callers, operators and endpoints see. Only tests import it.
package harness

import (
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"

	"github.com/pkg/errors"
)

// Binaries are the paths of the programs under test.
type Binaries struct {
	Daemon  string
	Standin string
}

// raceEnv is set to build the programs with the race detector, whose reports
// fail the test.
const raceEnv = "BLUEBELLSTILE_RACE"

var (
	buildOnce sync.Once
	built     Binaries
	errBuild  error
	buildDir  string
)

// Build compiles the programs once per test run.
func Build() (Binaries, error) {
	buildOnce.Do(func() { built, errBuild = build() })
	return built, errBuild
}

// RemoveBuilt deletes what Build made; TestMain calls it at the end.
func RemoveBuilt() {
	if buildDir != "" {
		_ = os.RemoveAll(buildDir)
	}
}

func build() (Binaries, error) {
	root, err := moduleRoot()
	if err != nil {
		return Binaries{}, err
	}
	buildDir, err = os.MkdirTemp("", "bluebellstile-harness-")
	if err != nil {
		return Binaries{}, errors.Wrap(err, "make build directory")
	}
	b := Binaries{
		Daemon:  filepath.Join(buildDir, "bluebellstiled"),
		Standin: filepath.Join(buildDir, "standin"),
	}
	packages := map[string]string{
		b.Daemon:  "./cmd/bluebellstiled",
		b.Standin: "./internal/standin/cmd/standin",
	}
	for out, pkg := range packages {
		args := []string{"build", "-o", out}
		if os.Getenv(raceEnv) != "" {
			args = append(args, "-race")
		}
		cmd := exec.Command("go", append(args, pkg)...)
		cmd.Dir = root
		if text, err := cmd.CombinedOutput(); err != nil {
			return Binaries{}, errors.Wrapf(err, "build %s: %s", pkg, text)
		}
	}
	return b, nil
}

// moduleRoot is the folder that holds the root module.
func moduleRoot() (string, error) {
	_, file, _, ok := runtime.Caller(0)
	if !ok {
		return "", errors.New("own source file unknown; build the tests without -trimpath")
	}
	return filepath.Dir(filepath.Dir(filepath.Dir(file))), nil
}
