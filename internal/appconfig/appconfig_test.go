package appconfig

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// fillRandom sets each field of the model to a random value that its tags allow.
func fillRandom(t *rapid.T, v reflect.Value) {
	for _, f := range fieldsOf(v.Type()) {
		at := v.Field(f.index)
		switch p := at.Addr().Interface().(type) {
		case *Duration:
			*p = drawInRange(t, &f, func() Duration {
				unit := rapid.SampledFrom([]Duration{1, 1e3, 1e6, 1e9, 60e9}).Draw(t, "unit")
				return Duration(rapid.IntRange(0, 1000).Draw(t, f.name)) * unit
			})
		case *Size:
			*p = drawInRange(t, &f, func() Size {
				return Size(rapid.IntRange(0, 4096).Draw(t, f.name)) << rapid.SampledFrom([]int{0, 10, 20}).Draw(t, "unit")
			})
		case *int:
			*p = drawInRange(t, &f, func() int { return rapid.IntRange(0, 70000).Draw(t, f.name) })
		case *float64:
			*p = drawInRange(t, &f, func() float64 { return rapid.Float64Range(0, 100).Draw(t, f.name) })
		case *bool:
			*p = rapid.Bool().Draw(t, f.name)
		case *string:
			*p = rapid.StringN(1, 20, 80).Filter(func(s string) bool { return strings.ToValidUTF8(s, "") == s }).Draw(t, f.name)
			if len(f.Enum) > 0 {
				*p = rapid.SampledFrom(f.Words()).Draw(t, f.name)
			}
		case *[]string:
			*p = rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,8}`), 1, 4, rapid.ID[string]).Draw(t, f.name)
		case *map[string]any:
			if rapid.Bool().Draw(t, f.name) {
				*p = map[string]any{"a": []any{"x", int64(3), 0.5, true}, "b.c": map[string]any{"d": "y"}}
			}
		default:
			switch {
			case at.Kind() == reflect.Struct:
				fillRandom(t, at)
			case at.Kind() == reflect.Pointer && rapid.Bool().Draw(t, f.name):
				at.Set(reflect.New(at.Type().Elem()))
				setDefaults(at.Elem())
				fillRandom(t, at.Elem())
			case at.Kind() == reflect.Slice:
				n := rapid.IntRange(0, 3).Draw(t, f.name)
				if f.Need {
					n++
				}
				for range n {
					e := reflect.New(at.Type().Elem()).Elem()
					fillRandom(t, e)
					at.Set(reflect.Append(at, e))
				}
			}
		}
	}
}

// drawInRange draws until a value lies in the field's range.
func drawInRange[T int | float64 | Duration | Size](t *rapid.T, f *Field, draw func() T) T {
	for range 50 {
		if v := draw(); f.allows(float64(v)) {
			return v
		}
	}
	t.Skip("nothing in range")
	return 0
}

// Rendering or formatting any configuration and reading it back gives the same configuration.
func TestReadingWhatIsWrittenIsTheIdentity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, s := NewApp(), NewSite()
		fillRandom(t, reflect.ValueOf(a).Elem())
		fillRandom(t, reflect.ValueOf(s).Elem())
		a.Format, s.Format = AppFormat, SiteFormat
		a.Home = rapid.SampledFrom(s.Places).Draw(t, "home")
		platform, features, err := Render(a, s)
		require.NoError(t, err)
		p := Read("config.json", platform)
		require.Empty(t, p.Faults)
		var f *File
		if features != nil {
			f = Read("features.json", features)
			require.Empty(t, f.Faults)
		}
		gotApp, gotSite := Import(p, f)
		assert.Equal(t, Resolve(a, s), gotApp)
		assert.Equal(t, s, gotSite)
		for _, v := range []any{a, s} {
			written, err := Format(v)
			require.NoError(t, err)
			back := Read("x.toml", written)
			require.Empty(t, back.Faults, "%s", written)
			if app, ok := v.(*App); ok {
				assert.Equal(t, app, back.App)
			} else {
				assert.Equal(t, v, back.Site)
			}
		}
	})
}

// An invalid limit in a tag would be taken as 0, and the field would accept every value or none.
func TestTagsMakeSense(t *testing.T) {
	for _, k := range []Kind{AppFile, SiteFile} {
		for _, f := range Fields(k) {
			assert.NotEmpty(t, f.Comment, f.Path)
			for _, bound := range []string{f.least, f.above, f.maximum} {
				if bound == "" {
					continue
				}
				switch f.kind {
				case reflect.TypeFor[Duration]():
					_, err := parseDuration(bound)
					assert.Nil(t, err, f.Path)
				case reflect.TypeFor[Size]():
					_, err := parseSize(bound)
					assert.Nil(t, err, f.Path)
				}
			}
			if f.Default != "" && f.kind.Kind() != reflect.String && f.kind.Kind() != reflect.Bool {
				v := NewApp()
				assert.NotZero(t, *v, f.Path)
			}
		}
	}
}

func TestUnits(t *testing.T) {
	for _, c := range []struct {
		text string
		want Duration
	}{{"600ms", 6e8}, {"1min30s", 9e10}, {"0.25s", 25e7}, {"-2s", -2e9}, {"1d", Duration(24 * time.Hour)}, {"7us", 7e3}} {
		d, err := parseDuration(c.text)
		assert.Nil(t, err, c.text)
		assert.Equal(t, c.want, d, c.text)
	}
	for text, meant := range map[string]string{"480m": "480ms", "250u": "250us", "600": "600ms", "s": "600ms", "": "600ms", "5secs": "5s"} {
		_, err := parseDuration(text)
		if assert.NotNil(t, err, text) {
			assert.Contains(t, err.meant, meant, text)
		}
	}
	for text, meant := range map[string]string{"64KB": "64KiB", "64": "64KiB", "1 MB": "1MiB", "x": "64KiB"} {
		_, err := parseSize(text)
		if assert.NotNil(t, err, text) {
			assert.Contains(t, err.meant, meant, text)
		}
	}
}

// Reading and rendering handle any input without a panic and within a second.
func FuzzRead(f *testing.F) {
	for _, seed := range []string{"format = \"app/1\"\n[[class]]\nname = \"a\"\naim = 0.6\n", "{\"name\": \"n\", \"settings\": {\"classes\": [{}]}}",
		"{\"health.port\": 3, \"drills\": [{\"share\": 1e400}]}", "\xef\xbb\xbfa.b.c = [1,\r\n{x = 3}]\n[[a", "[class]\n[class]\nclass.x = '''\n'''\n=\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		raw = raw[:min(len(raw), 64<<10)]
		began := time.Now()
		file := Read("x", raw)
		if file.App != nil && file.Site != nil {
			_, _, _ = Render(file.App, file.Site)
		}
		if took := time.Since(began); took > time.Second { // package lint tests the time more strictly
			t.Errorf("%d bytes took %s", len(raw), took)
		}
	})
}

// The schema accepts the example files, and rejects them with a wrong word, unit, type or name.
func TestSchema(t *testing.T) {
	for _, kind := range []Kind{AppFile, SiteFile} {
		text, err := Schema(kind)
		require.NoError(t, err)
		doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
		require.NoError(t, err)
		c := jsonschema.NewCompiler()
		require.NoError(t, c.AddResource("schema.json", doc))
		schema, err := c.Compile("schema.json")
		require.NoError(t, err)
		raw, err := os.ReadFile("../../example/" + string(kind) + ".toml")
		require.NoError(t, err)
		for from, to := range map[string]string{"": "", `"safe"`: `"saef"`, `"3s"`: `"3m"`, `"600ms"`: `0.6`, "aim": "aims", "late_worth = 0.2": "late_worth = 2", "format =": "form ="} {
			var v map[string]any
			require.NoError(t, toml.Unmarshal([]byte(strings.Replace(string(raw), from, to, 1)), &v))
			plain, err := json.Marshal(v)
			require.NoError(t, err)
			instance, err := jsonschema.UnmarshalJSON(bytes.NewReader(plain))
			require.NoError(t, err)
			assert.Equal(t, from == "", schema.Validate(instance) == nil, "%s: %s for %s", kind, to, from)
		}
	}
}
