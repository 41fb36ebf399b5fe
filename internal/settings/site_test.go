package settings

import (
	"os"
	"reflect"
	"strings"
	"testing"
)

const sitePagePath = "../../docs/SETTINGS-SITE.md"

func TestSiteSampleContainsEveryKey(t *testing.T) {
	got, err := ParseSite([]byte(SampleSite()), "sample.ini")
	if err != nil {
		t.Fatal(err)
	}
	want := siteSchema.defaults()
	for i := range siteSchema.keys {
		k := &siteSchema.keys[i]
		if !strings.Contains(SampleSite(), "\n"+k.Name+" =") && !strings.Contains(SampleSite(), "\n# "+k.Name+" =") {
			t.Errorf("the sample lacks %s", k.FullName())
		}
		if k.Doc == "" || k.Type == "" || k.Range == "" {
			t.Errorf("%s lacks a description, a type or a range", k.FullName())
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
}

func TestSiteReferencePageIsCurrent(t *testing.T) {
	if *update {
		if err := os.WriteFile(sitePagePath, []byte(DocumentSite()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(sitePagePath)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != DocumentSite() {
		t.Error("docs/SETTINGS-SITE.md is out of date; run: go test ./internal/settings -update")
	}
}

func TestParseSiteErrorsNameFileLineKeyAndRemedy(t *testing.T) {
	tests := map[string]struct {
		old, new string
		kind     ErrorKind
		place    string
	}{
		"unknown section":        {"[reach]", "[reaches]", KindUnknownSection, "reaches."},
		"unknown key":            {"revoke = 5s", "revokes = 5s", KindUnknownKey, "bounds.revokes"},
		"missing name":           {"name = front-quimper-a-1", "", KindMissingKey, "instance.name"},
		"missing store":          {"store = 192.0.2.7:8182", "", KindMissingKey, "reach.store"},
		"store without port":     {"store = 192.0.2.7:8182", "store = 192.0.2.7", KindBadValue, "reach.store"},
		"host name":              {"callers = 192.0.2.1:8183", "callers = front:8183", KindBadValue, "listen.callers"},
		"unspecified peer":       {"peer = 192.0.2.1:7420", "peer = 0.0.0.0:7420", KindBadValue, "listen.peer"},
		"bound not a duration":   {"grace = 6s", "grace = soon", KindBadValue, "bounds.grace"},
		"bound too short":        {"grace = 6s", "grace = 1ms", KindRange, "bounds.grace"},
		"bound too long":         {"grace = 6s", "grace = 100h", KindRange, "bounds.grace"},
		"no memory":              {"memory_mb = 256", "memory_mb = 0", KindRange, "limits.memory_mb"},
		"no processor":           {"processor_share = 1", "processor_share = 0", KindRange, "limits.processor_share"},
		"processor not a number": {"processor_share = 1", "processor_share = half", KindBadValue, "limits.processor_share"},
		"processor share of NaN": {"processor_share = 1", "processor_share = NaN", KindRange, "limits.processor_share"},
		"factor not a number":    {"far_factor = 1.5", "far_factor = twice", KindBadValue, "bounds.far_factor"},
		"unknown level":          {"level = info", "level = loud", KindBadValue, "log.level"},
		"key twice":              {"grace = 6s", "grace = 6s\ngrace = 6s", KindDuplicateKey, "bounds.grace"},
		"not a line of INI":      {"grace = 6s", "grace 6s", KindSyntax, "."},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if !strings.Contains(SampleSite(), test.old) {
				t.Fatalf("the sample lacks %q:\n%s", test.old, SampleSite())
			}
			_, err := ParseSite([]byte(strings.Replace(SampleSite(), test.old, test.new, 1)), "site.ini")
			e := findError(t, err, test.kind, test.place)
			if e.File != "site.ini" || e.Line == 0 || e.Rule == "" || e.Remedy == "" {
				t.Errorf("%+v lacks file, line, rule or remedy", e)
			}
		})
	}
}

func TestParseSiteRejectsTruncatedFile(t *testing.T) {
	text := strings.TrimSuffix(SampleSite(), "\n")
	for n := range len(text) {
		if _, err := ParseSite([]byte(text[:n]), "cut.ini"); err == nil {
			t.Fatalf("accepted the first %d of %d bytes", n, len(text))
		}
	}
}

func TestSiteReloadAppliesOnlyReloadableKeys(t *testing.T) {
	now, err := ParseSite([]byte(SampleSite()), "now.ini")
	if err != nil {
		t.Fatal(err)
	}
	text := strings.NewReplacer("level = info", "level = debug", "grace = 6s", "grace = 8s").Replace(SampleSite())
	next, err := ParseSite([]byte(text), "next.ini")
	if err != nil {
		t.Fatal(err)
	}
	merged, restart := now.Reload(next)
	if merged.Log.Level != next.Log.Level || merged.Bounds.Grace != now.Bounds.Grace {
		t.Errorf("got %+v", merged)
	}
	if !reflect.DeepEqual(restart, []string{"bounds.grace"}) {
		t.Errorf("got %v, want bounds.grace", restart)
	}
}

func TestSiteProcessors(t *testing.T) {
	text := strings.Replace(SampleSite(), "processor_share = 1", "processor_share = 0.192", 1)
	text = strings.Replace(text, "processor_speed = 1", "processor_speed = 2", 1)
	s, err := ParseSite([]byte(text), "site.ini")
	if err != nil {
		t.Fatal(err)
	}
	if got := s.Limits.Processors(); got != 0.384 {
		t.Errorf("0.192 of a processor twice as fast is %v, want 0.384", got)
	}
}
