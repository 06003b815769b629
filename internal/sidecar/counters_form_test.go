package sidecar

import (
	"os"
	"reflect"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Operators' tools read /counters, so with every field set the response must equal the golden file.
func TestCountersMatchGoldenFile(t *testing.T) {
	c := counters{}
	setFields(reflect.ValueOf(&c).Elem())
	for i := range c.attemptOutcomes {
		c.attemptOutcomes[i], c.probeOutcomes[i] = uint64(i+1), uint64(i+1)
	}
	raw, err := os.ReadFile("testdata/counters.json")
	require.NoError(t, err)
	assert.Equal(t, string(raw), string(c.text()))
}

// setFields sets v to a value that is not zero: in a struct every exported field, in a slice or map one element.
func setFields(v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		setFields(v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				setFields(v.Field(i))
			}
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		setFields(v.Index(0))
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		setFields(key)
		setFields(value)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Interface:
		v.Set(reflect.ValueOf("x"))
	case reflect.String:
		v.SetString("x")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(0.5)
	case reflect.Int, reflect.Int64:
		v.SetInt(1)
	case reflect.Uint8, reflect.Uint64:
		v.SetUint(1)
	}
}
