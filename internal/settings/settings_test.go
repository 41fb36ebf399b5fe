package settings

import (
	"errors"
	"flag"
	"log/slog"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"
)

var update = flag.Bool("update", false, "rewrite docs/SETTINGS.md and docs/SETTINGS-SITE.md")

const cellPagePath = "../../docs/SETTINGS.md"

func TestSampleContainsEveryKeyAndDefault(t *testing.T) {
	got, err := Parse([]byte(Sample()), "sample.ini")
	if err != nil {
		t.Fatal(err)
	}
	want := Default()
	for i := range cellSchema.keys {
		k := &cellSchema.keys[i]
		if !strings.Contains(Sample(), "\n"+k.Name+" =") && !strings.Contains(Sample(), "\n# "+k.Name+" =") {
			t.Errorf("the sample lacks %s", k.FullName())
		}
		if !k.Required {
			continue
		}
		if err := k.parse(want, k.Example); err != nil {
			t.Errorf("the example of %s is refused: %v", k.FullName(), err)
		}
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v\nwant %+v", got, want)
	}
	if err := Check(got); err != nil {
		t.Error(err)
	}
}

func TestReferencePageIsCurrent(t *testing.T) {
	if *update {
		if err := os.WriteFile(cellPagePath, []byte(Document()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(cellPagePath)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != Document() {
		t.Error("docs/SETTINGS.md is out of date; run: go test ./internal/settings -update")
	}
}

func TestEveryKeyIsDescribed(t *testing.T) {
	for _, k := range Table() {
		if k.Doc == "" || k.Type == "" || k.Range == "" {
			t.Errorf("%s lacks a description, a type or a range", k.FullName())
		}
		if k.Required && k.Example == "" {
			t.Errorf("%s lacks an example", k.FullName())
		}
	}
}

// TestEveryFieldHasAKey changes every key through the table and requires that
// no field of Settings is left at its default.
func TestEveryFieldHasAKey(t *testing.T) {
	text := `[instance]
id = e
zone = z
region = r
[listen]
api = 127.0.0.1:1
peer = 127.0.0.1:2
admin = [::1]:3
[platform]
log_url = http://a
list_url = https://b/base
append_timeout = 1s
read_wait = 90ms
[zone]
lease = 5s
heartbeat = 20ms
takeover_after = 60ms
[limits]
max_waiting = 5
max_body_bytes = 2048
max_header_bytes = 8192
max_connections = 17
unfinished_mb = 3
answer_timeout = 4s
request_timeout = 1m
drain_timeout = 2m
[freshness]
key_bound = 100ms
[log]
level = debug
format = json
[tls]
cert = /c
key = /k
ca = /a
[report]
period = 1h
[end]
`
	got, err := Parse([]byte(text), "")
	if err != nil {
		t.Fatal(err)
	}
	want := &Settings{
		Instance:  Instance{"e", "z", "r"},
		Listen:    Listen{"127.0.0.1:1", "127.0.0.1:2", "[::1]:3"},
		Platform:  Platform{"http://a", "https://b/base", time.Second, 90 * time.Millisecond},
		Zone:      Zone{5 * time.Second, 20 * time.Millisecond, 60 * time.Millisecond},
		Limits:    Limits{5, 2048, 8192, 17, 3, 4 * time.Second, time.Minute, 2 * time.Minute},
		Freshness: Freshness{100 * time.Millisecond},
		Log:       Log{slog.LevelDebug, LogJSON},
		TLS:       TLS{"/c", "/k", "/a"},
		Report:    Report{time.Hour},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v\nwant %+v", got, want)
	}
	if !got.TLS.Enabled() {
		t.Error("TLS is off though all three files are named")
	}
}

func TestParseErrorsNameFileLineKeyAndRemedy(t *testing.T) {
	tests := map[string]struct {
		old, new string
		kind     ErrorKind
		place    string
	}{
		"unknown section":          {"[zone]", "[zones]", KindUnknownSection, "zones."},
		"unknown key":              {"lease = 30s", "leese = 30s", KindUnknownKey, "zone.leese"},
		"no unit":                  {"lease = 30s", "lease = 30", KindBadValue, "zone.lease"},
		"unknown unit":             {"lease = 30s", "lease = 30 seconds", KindBadValue, "zone.lease"},
		"unit on a count":          {"max_body_bytes = 1048576", "max_body_bytes = 1MB", KindBadValue, "limits.max_body_bytes"},
		"duration too long":        {"lease = 30s", "lease = 30h", KindRange, "zone.lease"},
		"negative duration":        {"lease = 30s", "lease = -30s", KindRange, "zone.lease"},
		"count too small":          {"max_waiting = 2500", "max_waiting = 0", KindRange, "limits.max_waiting"},
		"key bound over 5s":        {"key_bound = 4s", "key_bound = 6s", KindRange, "freshness.key_bound"},
		"unknown level":            {"level = info", "level = loud", KindBadValue, "log.level"},
		"unknown format":           {"format = text", "format = xml", KindBadValue, "log.format"},
		"host name":                {"api = 127.0.0.1:7400", "api = localhost:7400", KindBadValue, "listen.api"},
		"no port":                  {"api = 127.0.0.1:7400", "api = 127.0.0.1", KindBadValue, "listen.api"},
		"port zero":                {"api = 127.0.0.1:7400", "api = 127.0.0.1:0", KindBadValue, "listen.api"},
		"unspecified peer":         {"peer = 127.0.0.1:7401", "peer = 0.0.0.0:7401", KindBadValue, "listen.peer"},
		"same address":             {"peer = 127.0.0.1:7401", "peer = 127.0.0.1:7400", KindConflict, "listen.peer"},
		"unspecified address":      {"admin = 127.0.0.1:7402", "admin = 0.0.0.0:7400", KindConflict, "listen.admin"},
		"IPv4-mapped address":      {"admin = 127.0.0.1:7402", "admin = [::ffff:127.0.0.1]:7400", KindConflict, "listen.admin"},
		"URL with file scheme":     {"log_url = http://", "log_url = file://", KindBadValue, "platform.log_url"},
		"URL with a query":         {"list_url = http://192.0.2.10:8101", "list_url = http://192.0.2.10:8101/?a=b", KindBadValue, "platform.list_url"},
		"bad name":                 {"id = entry-1", "id = Entry 1", KindBadValue, "instance.id"},
		"missing key":              {"id = entry-1", "", KindMissingKey, "instance.id"},
		"key twice":                {"lease = 30s", "lease = 30s\nlease = 30s", KindDuplicateKey, "zone.lease"},
		"section twice":            {"[report]", "[log]", KindDuplicateSection, "log."},
		"incomplete TLS":           {"# cert =", "cert = /etc/cert.pem", KindConflict, "tls.cert"},
		"relative path":            {"# cert =", "cert = cert.pem", KindBadValue, "tls.cert"},
		"heartbeat over lease":     {"lease = 30s", "lease = 1s", KindConflict, "zone.heartbeat"},
		"heartbeat over takeover":  {"takeover_after = 1.5s", "takeover_after = 700ms", KindConflict, "zone.heartbeat"},
		"read wait over key bound": {"read_wait = 500ms", "read_wait = 4s", KindConflict, "platform.read_wait"},
		"not a line of INI":        {"lease = 30s", "lease 30s", KindSyntax, "."},
		"section after end":        {"[end]", "[end]\n[zone]", KindDuplicateSection, "zone."},
		"key in end section":       {"[end]", "[end]\nx = 1", KindUnknownKey, "end.x"},
		"outside sections":         {"# Settings", "x = 1\n# Settings", KindUnknownKey, ".x"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if !strings.Contains(Sample(), test.old) {
				t.Fatalf("the sample lacks %q", test.old)
			}
			_, err := Parse([]byte(strings.Replace(Sample(), test.old, test.new, 1)), "cell.ini")
			e := findError(t, err, test.kind, test.place)
			if e.File != "cell.ini" || e.Line == 0 || e.Rule == "" || e.Remedy == "" {
				t.Errorf("%+v lacks file, line, rule or remedy", e)
			}
		})
	}
}

// requireError requires an error of the given kind and place, "section.key".
func requireError(t *testing.T, err error, kind ErrorKind, place string) {
	t.Helper()
	_ = findError(t, err, kind, place)
}

// findError returns the error of the given kind and place, "section.key". It
// fails the test if there is none.
func findError(t *testing.T, err error, kind ErrorKind, place string) *Error {
	t.Helper()
	var errs Errors
	if !errors.As(err, &errs) {
		t.Fatalf("got %v, want %s at %s", err, kind, place)
	}
	for _, e := range errs {
		if e.Kind == kind && e.Section+"."+e.Key == place {
			return e
		}
	}
	t.Fatalf("got %v, want %s at %s", err, kind, place)
	return nil
}

func TestParseRejectsTruncatedFile(t *testing.T) {
	text := strings.TrimSuffix(Sample(), "\n")
	for n := range len(text) {
		if _, err := Parse([]byte(text[:n]), "cut.ini"); err == nil {
			t.Fatalf("accepted the first %d of %d bytes", n, len(text))
		}
	}
	if _, err := Parse([]byte(text), "whole.ini"); err != nil {
		t.Fatal(err)
	}
}

func TestLoadReportsUnreadableFiles(t *testing.T) {
	dir := t.TempDir()
	_, err := Load(filepath.Join(dir, "missing.ini"))
	requireError(t, err, KindUnreadable, ".")

	missing := filepath.Join(dir, "missing.pem")
	text := strings.NewReplacer("# cert =", "cert = "+missing, "# key =", "key = "+missing, "# ca =", "ca = "+missing).Replace(Sample())
	path := filepath.Join(dir, "cell.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err = Load(path)
	requireError(t, err, KindUnreadable, "tls.cert")
}

func TestReloadAppliesOnlyReloadableKeys(t *testing.T) {
	old, next := Default(), Default()
	next.Log.Level = slog.LevelDebug
	next.Limits.MaxWaiting = 7
	next.Zone.Lease = time.Minute
	next.Listen.API = "127.0.0.1:9000"
	got, restart := old.Reload(next)
	want := Default()
	want.Log.Level = slog.LevelDebug
	want.Limits.MaxWaiting = 7
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if !reflect.DeepEqual(restart, []string{"listen.api", "zone.lease"}) {
		t.Errorf("the keys that need a restart are %q, want listen.api and zone.lease", restart)
	}
	if !reflect.DeepEqual(old, Default()) {
		t.Error("the old settings changed")
	}
}

func TestCheckRejectsInvalidSettings(t *testing.T) {
	s := Default()
	err := Check(s)
	requireError(t, err, KindBadValue, "instance.id")
	s, err = Parse([]byte(Sample()), "")
	if err != nil {
		t.Fatal(err)
	}
	s.Listen.Admin = s.Listen.API
	requireError(t, Check(s), KindConflict, "listen.admin")
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(Sample()))
	f.Add([]byte("[zone]\nlease = 1s\n[end]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse(data, "fuzz.ini")
		var errs Errors
		switch {
		case err != nil && (!errors.As(err, &errs) || len(errs) == 0):
			t.Fatalf("untyped error %v", err)
		case err == nil && Check(s) != nil:
			t.Fatalf("Parse accepted what Check refuses: %v", Check(s))
		}
	})
}
