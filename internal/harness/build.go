// Package harness runs a cell for integration tests: real processes for the
// daemons and for the stand-ins of the platform and the endpoints, connected
// through relays. It injects faults and records what callers, operators and
// endpoints observe. Only tests import it.
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

// raceEnv is the environment variable that, if not empty, makes Build use the
// race detector. Its reports fail the test.
const raceEnv = "BLUEBELLSTILE_RACE"

var (
	buildOnce sync.Once
	built     Binaries
	errBuild  error
	buildDir  string
)

// Build compiles the programs under test on the first call and returns the same
// result on every call.
func Build() (Binaries, error) {
	buildOnce.Do(func() { built, errBuild = build() })
	return built, errBuild
}

// RemoveBinaries deletes the programs that Build compiled. TestMain calls it at
// the end.
func RemoveBinaries() {
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
		return Binaries{}, errors.Wrap(err, "create build directory")
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

// moduleRoot returns the directory of the root module, derived from the path of
// this source file.
func moduleRoot() (string, error) {
	_, file, _, ok := runtime.Caller(0)
	if !ok {
		return "", errors.New("path of the harness source file is unknown; build the tests without -trimpath")
	}
	return filepath.Dir(filepath.Dir(filepath.Dir(file))), nil
}
