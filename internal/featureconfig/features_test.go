package featureconfig

import (
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hazelwheel/internal/capture"
	"hazelwheel/internal/decide/admission"
	"hazelwheel/internal/faultinjection"
	"hazelwheel/internal/health"
	"hazelwheel/internal/rewrite"
	"hazelwheel/internal/sidecarconfig"
	"hazelwheel/internal/thrift"
	"hazelwheel/policy"
)

const hash = "2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae"

func parse(text string) (Features, error) {
	c := sidecarconfig.Config{Listen: "127.0.0.1:3000", Limits: sidecarconfig.Limits{MemoryMB: 64, Sockets: 1024}}
	c.Settings.Policy.Classes = []policy.Class{{Name: "latest-reading"}, {Name: "log-calibration"}}
	return Parse([]byte(text), &c)
}

// Valid files are parsed, and absent fields get their defaults.
func TestParseValidFiles(t *testing.T) {
	f, err := parse(`{"drills":[{"name":"lag1","class":"latest-reading","share":10,"delay_ms":800},
		{"name":"x","class":"log-calibration","abort":"503","duration_s":5}],"drills.secret_sha256":"` + hash + `"}`)
	require.NoError(t, err)
	assert.Equal(t, []faultinjection.Fault{{Name: "lag1", Class: "latest-reading", Percent: 10, DelayMS: 800, Abort: "none", DurationSeconds: 60},
		{Name: "x", Class: "log-calibration", Abort: "503", DurationSeconds: 5}}, f.Drills.Faults)
	assert.Len(t, f.Drills.SecretHash, 32)

	f, err = parse(`{"rewrites":[{"dir":"in","when":{"class":"log-calibration"},"op":"drop","name":"X-Station-Debug"},
		{"dir":"out","when":{"path_prefix":"/l"},"op":"rename","name":"X-A","to":"X-B"}]}`)
	require.NoError(t, err)
	assert.Equal(t, rewrite.Settings{Rules: []rewrite.Rule{{Dir: "in", Class: "log-calibration", Op: "drop", Name: "X-Station-Debug"},
		{Dir: "out", PathPrefix: "/l", Op: "rename", Name: "X-A", To: "X-B"}}}, f.Rewrites)

	for _, text := range []string{`{"health":{"port":9000,"max_inflight":7}}`, `{"health.port":9000,"health.max_inflight":7}`,
		`{"health":{"port":9000},"health.max_inflight":7}`} {
		f, err = parse(text)
		require.NoError(t, err)
		assert.Equal(t, health.Settings{Port: 9000, MaxListAgeMS: 6000, MinUsable: 1, MaxInflight: 7}, f.Health)
	}

	for text, want := range map[string]capture.Settings{
		`{"capture":{}}`:      {Enabled: true, MaxBytes: 524288, Segments: 4},
		`{"capture.files":2}`: {Enabled: true, MaxBytes: 524288, Segments: 2},
		`{"capture":{"dir":"/tmp/x","max_bytes":65536},"capture.files":8}`: {Enabled: true, MaxBytes: 65536, Segments: 8, Dir: "/tmp/x"},
	} {
		f, err = parse(text)
		require.NoError(t, err)
		assert.Equal(t, want, f.Capture)
	}

	f, err = parse(`{"admission":{"reserve":64,"known":["10.1.2.3","2001:db8::/32"],"caps":[{"prefix":"10.1.7.9/16","links":5}]},
		"admission.per_address":200}`)
	require.NoError(t, err)
	assert.Equal(t, admission.Settings{ReservedForKnown: 64, MaxPerAddress: 200,
		KnownPrefixes: []netip.Prefix{netip.MustParsePrefix("10.1.2.3/32"), netip.MustParsePrefix("2001:db8::/32")},
		PrefixLimits:  []admission.PrefixLimit{{Prefix: netip.MustParsePrefix("10.1.0.0/16"), MaxConns: 5}}}, f.Admission.Settings)

	f, err = parse(`{"thrift":{"listen":"127.0.0.1:9090","port":9091,"probe":"ping","classes":[
		{"class":"latest-reading","methods":["latestReading","Readings:latestReading"],"id":"1.1","key":"-2","patience_us":"1.3","retry":"4"},
		{"class":"log-calibration","methods":["logCalibration"],"patience_ms":"2"}]}}`)
	require.NoError(t, err)
	assert.Equal(t, Thrift{Listen: "127.0.0.1:9090", Port: 9091, Probe: "ping", NotStarted: "not started", Classes: []ThriftClass{
		{Class: "latest-reading", Methods: []string{"latestReading", "Readings:latestReading"}, ID: thrift.Path{1, 1}, Key: thrift.Path{-2},
			Patience: thrift.Path{1, 3}, Retry: thrift.Path{4}, UnitS: 1e-6},
		{Class: "log-calibration", Methods: []string{"logCalibration"}, Patience: thrift.Path{2}, UnitS: 1e-3}}}, f.Thrift)
	assert.Equal(t, "thrift (127.0.0.1:9090, 3 methods)", f.String())

	f, err = parse(`{}`)
	require.NoError(t, err)
	assert.False(t, f.Drills.Faults != nil || f.Drills.SecretHash != nil || f.Rewrites.On() || f.Health.IsEnabled() || f.Capture.Enabled || f.Admission.On() || f.Thrift.On(), "features that the file doesn't mention are off")
	_, err = Load(filepath.Join(t.TempDir(), "none.json"), &sidecarconfig.Config{})
	assert.ErrorIs(t, err, os.ErrNotExist)
}

// Each invalid file is rejected with a single line that begins with the field's path, so that a typo in a field or value
// is never silently ignored.
func TestErrorsNameInvalidField(t *testing.T) {
	drill := func(more string) string { return `{"drills":[{"name":"a","class":"latest-reading"` + more + `}]}` }
	rewriteRule := func(more string) string { return `{"rewrites":[{"dir":"in","when":{"path_prefix":"/"},` + more + `}]}` }
	thriftClass := func(more string) string {
		return `{"thrift":{"listen":"127.0.0.1:9090","classes":[{"class":"latest-reading","methods":["a"]` + more + `}]}}`
	}
	for _, c := range []struct{ text, wantPrefix string }{
		{`{"thrift":{}}`, "thrift.listen: missing"},
		{`{"thrift":{"listen":"127.0.0.1:9090"}}`, "thrift.classes: missing"},
		{`{"thrift":{"listen":"127.0.0.1:9090","classes":[]}}`, "thrift.classes: want one at least"},
		{`{"thrift":{"listen":"127.0.0.1:3000","classes":[]}}`, "thrift.listen: want an address"},
		{`{"thrift":{"listen":":9090","classes":[]}}`, "thrift.listen: want an address"},
		{`{"thrift":{"listen":"127.0.0.1:9090","port":70000,"classes":[]}}`, "thrift.port: want 1 to 65535"},
		{`{"thrift":{"listen":"127.0.0.1:9090","ports":1,"classes":[{"class":"latest-reading","methods":["a"]}]}}`, "thrift.ports: unknown field"},
		{`{"health":{"port":9090},"thrift":{"listen":"127.0.0.1:9090","classes":[]}}`, "thrift.listen: want an address"},
		{`{"thrift":{"listen":"127.0.0.1:9090","classes":[{"class":"none","methods":["a"]}]}}`, "thrift.classes[0].class: want a class"},
		{thriftClass(`},{"class":"latest-reading","methods":["b"]`), "thrift.classes[1].class: want a class of the settings, once"},
		{thriftClass(`},{"class":"log-calibration","methods":["a"]`), "thrift.classes[1].methods: a is a method of latest-reading, too"},
		{thriftClass(`},{"class":"log-calibration","methods":["a b"]`), "thrift.classes[1].methods: want a list of methods"},
		{thriftClass(`},{"class":"log-calibration"`), "thrift.classes[1].methods: missing"},
		{`{"thrift":{"listen":"127.0.0.1:9090","only":1,"classes":[{"class":"latest-reading","methods":["a"]}]}}`, "thrift.only: want true or false"},
		{thriftClass(`,"id":"1.x"`), "thrift.classes[0].id: want a path"},
		{thriftClass(`,"key":"70000"`), "thrift.classes[0].key: want a path"},
		{thriftClass(`,"patience_ms":"1","patience_us":"1"`), "thrift.classes[0].patience_us: given in milliseconds, too"},
		{thriftClass(`,"patience_s":"1"`), "thrift.classes[0].patience_s: unknown field"},
		{``, "the file: not"},
		{`[]`, "the file: not"},
		{`{"drills":[]`, "the file: not"},
		{`{} {}`, "the file: more"},
		{`{"drils":[]}`, "drils: unknown"},
		{`{"Drills":[]}`, "Drills: unknown"},
		{`{"drills":[],"drills":[]}`, "drills: given twice"},
		{`{"drills":{}}`, "drills: want a list"},
		{`{"drills":null}`, "drills: want"},
		{`{"drills":[7]}`, "drills[0]: not"},
		{`{"drills":[{"class":"latest-reading"}]}`, "drills[0].name: missing"},
		{`{"drills":[{"name":"a"}]}`, "drills[0].class: missing"},
		{`{"drills":[{"name":"a b","class":"latest-reading"}]}`, "drills[0].name: want"},
		{`{"drills":[{"name":"..","class":"latest-reading"}]}`, "drills[0].name: want"},
		{`{"drills":[{"name":"a","class":"read"}]}`, "drills[0].class: want"},
		{drill(`,"share":101`), "drills[0].share: want"},
		{drill(`,"share":"10"`), "drills[0].share: want"},
		{drill(`,"delay_ms":-1`), "drills[0].delay_ms: want"},
		{drill(`,"abort":"500"`), "drills[0].abort: want"},
		{drill(`,"duration_s":0`), "drills[0].duration_s: want"},
		{drill(`,"speed":1`), "drills[0].speed: unknown"},
		{strings.Replace(drill(``), `}]`, `},{"name":"a","class":"latest-reading"}]`, 1), "drills[1].name: want"},
		{`{"drills.secret_sha256":"12"}`, "drills.secret_sha256: want"},
		{`{"drills.secret_sha256":"e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"}`, "drills.secret_sha256: want"},
		{`{"drills.secret_sha256":7}`, "drills.secret_sha256: want"},
		{`{"rewrites.forwarded":1}`, "rewrites.forwarded: want"},
		{rewriteRule(`"op":"drop","name":"Request-ID"`), "rewrites[0].name: want"},
		{rewriteRule(`"op":"add","name":"X-A","value":"a\u000d\u000aHost: x"`), "rewrites[0].value: want"},
		{rewriteRule(`"op":"add","name":"X-A"`), "rewrites[0].value: missing"},
		{rewriteRule(`"op":"add","name":"X A","value":"1"`), "rewrites[0].name: want"},
		{rewriteRule(`"op":"rename","name":"X-A","to":"server-load"`), "rewrites[0].to: want"},
		{rewriteRule(`"op":"rename","name":"X-A","to":"Transfer-Encoding"`), "rewrites[0].to: want"},
		{rewriteRule(`"op":"rename","name":"X-A"`), "rewrites[0].to: missing"},
		{rewriteRule(`"op":"drop","name":"X-A","value":"1"`), "rewrites[0].value: unknown"},
		{rewriteRule(`"op":"set","name":"X-A"`), "rewrites[0].op: want"},
		{rewriteRule(`"name":"X-A"`), "rewrites[0].op: missing"},
		{`{"rewrites":[{"dir":"both","when":{"path_prefix":"/"},"op":"drop","name":"X-A"}]}`, "rewrites[0].dir: want"},
		{`{"rewrites":[{"dir":"in","op":"drop","name":"X-A"}]}`, "rewrites[0].when: missing"},
		{`{"rewrites":[{"dir":"in","when":{},"op":"drop","name":"X-A"}]}`, "rewrites[0].when: want"},
		{`{"rewrites":[{"dir":"in","when":{"clas":"x"},"op":"drop","name":"X-A"}]}`, "rewrites[0].when.clas: unknown"},
		{`{"rewrites":[{"dir":"in","when":{"class":"x"},"op":"drop","name":"X-A"}]}`, "rewrites[0].when.class: want"},
		{`{"rewrites":[{"dir":"in","when":{"path_prefix":"l"},"op":"drop","name":"X-A"}]}`, "rewrites[0].when.path_prefix: want"},
		{`{"health":{"port":9000},"health.port":9000}`, "health.port: given twice"},
		{`{"admission":{"reserve":0}}`, "admission.reserve: want"},
		{`{"admission.reserve":257}`, "admission.reserve: want a whole number from 1 to 256"},
		{`{"admission.per_address":0}`, "admission.per_address: want"},
		{`{"admission.waiting_bytes":1000}`, "admission.waiting_bytes: want"},
		{`{"admission":{"known":["10.0.0.1","here"]}}`, `admission.known[1]: "here" is neither`},
		{`{"admission":{"caps":[{"prefix":"10.0.0.0/8","links":0}]}}`, "admission.caps[0].links: want"},
		{`{"admission":{"caps":[{"prefix":"10.0.0.0/40","links":1}]}}`, "admission.caps[0].prefix: want"},
		{`{"admission":{"caps":[{"links":1}]}}`, "admission.caps[0].prefix: missing"},
		{`{"admission":{"caps":[{"prefix":"10.0.0.0/8","links":5},{"prefix":"10.1.0.0/16","links":6}]}}`,
			"admission.caps[1].prefix: 10.1.0.0/16 overlaps with admission.caps[0], 10.0.0.0/8, which has another cap"},
		{`{"admission":{"reserves":1}}`, "admission.reserves: unknown"},
		{`{"capture":true}`, "capture: not"},
		{`{"capture":{"file":4}}`, "capture.file: unknown"},
		{`{"capture":{"files":4},"capture.files":4}`, "capture.files: given twice"},
		{`{"capture.files":0}`, "capture.files: want"},
		{`{"capture.max_bytes":1e9}`, "capture.max_bytes: want"},
		{`{"capture.max_bytes":32767}`, "capture.max_bytes: want at least"},
		{`{"capture.max_bytes":16777217}`, "capture.max_bytes: want at most 16777216"},
		{`{"capture.files":65}`, "capture.files: want"},
		{`{"capture.dir":""}`, "capture.dir: want"},
		{`{"health":9000}`, "health: not"},
		{`{"health":{"ports":9000}}`, "health.ports: unknown"},
		{`{"health.port":3000}`, "health.port: want"},
		{`{"health.port":65536}`, "health.port: want"},
		{`{"health.port":1.5}`, "health.port: want"},
		{`{"health":{"max_list_age_ms":-1}}`, "health.max_list_age_ms: want"},
		{`{"health.min_usable":null}`, "health.min_usable: want"},
		{`{"health.max_inflight":"1"}`, "health.max_inflight: want"},
	} {
		_, err := parse(c.text)
		if assert.Error(t, err, c.text) {
			assert.True(t, strings.HasPrefix(err.Error(), c.wantPrefix), "%s: %v", c.text, err)
			assert.NotContains(t, err.Error(), "\n")
		}
	}
}
