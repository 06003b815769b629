package coordination

import (
	"encoding/hex"
	"encoding/json"
	"log/slog"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hazelwheel/internal/decide/maintenance"
	"hazelwheel/internal/decide/swim"
	"hazelwheel/internal/peers"
	"hazelwheel/internal/peers/frames"
)

// golden returns a golden file's text without its last line feed.
func golden(t *testing.T, path ...string) string {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(append([]string{"testdata"}, path...)...))
	require.NoError(t, err)
	return strings.TrimSuffix(string(raw), "\n")
}

// Sidecars of two versions run beside one another: each message body has the bytes of its golden file, and is read back from them.
func TestWireForm(t *testing.T) {
	for _, c := range []struct {
		file  string
		value any
	}{
		{"list_update", &listWord{Discovery: "d:1", Index: 300, Sum: 1 << 60, From: 299, Raw: []byte{1, 2, 3}, AtS: 1.5, Ended: true}},
		{"list_update_least", &listWord{}},
		{"list_request", &listNeed{Discovery: "d:1", Index: 300}},
		{"list_chunk", &listWhole{Discovery: "d:1", Index: 300, Sum: 1 << 60, Part: 2, Parts: 9, Body: []byte{4, 5}}},
		{"report_request", &question{Round: 17}},
		{"report_response", &answer{Round: 17, From: []swim.ID{1, 1 << 40}, Classes: []classAnswer{{Class: "read", Served: 1, Throttled: 2, Failed: 3, Abandoned: 4,
			PerS: 0.5, Times: packTimes([]int64{0, 3, 0, 0, 200})}}}},
		{"report_response_least", &answer{Classes: []classAnswer{{Class: "read"}}}},
		{"report", &Report{Owner: "m01", Token: 1<<40 + 7, Round: 17, Asked: 5, Answered: 3, Missing: []string{"m02"}, OmittedMissing: 1, Classes: []ClassReport{{Class: "read", RatePerSecond: 1.5, Served: 1,
			Throttled: 2, Failed: 3, Abandoned: 4, P50: 0.5, P90: 0.9, P99: 0.99, P999: 0.999, Max: 7}}}},
		{"report_least", &Report{}},
		{"fault_order", &drillRun{ID: 1 << 50, Name: "lag", LeftS: 59.5, Mark: []byte{6, 7}}},
		{"fault_orders", &drillRuns{Runs: []drillRun{{ID: 1 << 50, Name: "lag", LeftS: 59.5, Mark: []byte{6, 7}}, {ID: 2, Name: "x"}}}},
		{"fault_orders_least", &drillRuns{}},
		{"maintenance_record", &agreedWord{Epoch: 3, Version: 9, Body: []byte{8, 9}, Waits: filled[[]maintenance.Blocker](), Ages: []planAge{{Plan: 4, AgeS: 12.5}}, Owner: "m01"}},
		{"maintenance_record_least", &agreedWord{}},
		{"maintenance_version", &heldWord{Epoch: 3, Version: 9}},
		{"maintenance_request", &worksQuestion{Round: 17, Epoch: 3, Version: 9}},
		{"maintenance_response", &worksSum{Round: 17, Sum: filled[maintenance.Report]()}},
	} {
		t.Run(c.file, func(t *testing.T) {
			body := packed(c.value)
			assert.Equal(t, golden(t, "wire", c.file+".hex"), hex.EncodeToString(body))
			back := reflect.New(reflect.TypeOf(c.value).Elem()).Interface()
			require.NoError(t, frames.Unmarshal(body, back))
			assert.Equal(t, c.value, back)
		})
	}
}

// The numbers by which jobs tell their messages apart, and the names of the jobs, are on the wire.
func TestWireNumbers(t *testing.T) {
	assert.Equal(t, [3]string{"list", "list-2", "list-3"}, listNames)
	assert.Equal(t, []string{"report", "drill", "works"}, []string{reportName, drillName, worksName})
	assert.Equal(t, []int{1, 2, 3}, []int{kindWord, kindNeed, kindWhole})
	assert.Equal(t, []int{1, 2, 3}, []int{kindAsk, kindAnswer, kindReport})
	assert.Equal(t, []int{1, 2}, []int{kindOrder, kindRuns})
	assert.Equal(t, []int{1, 2, 3, 4, 5, 6}, []int{kindAgreed, kindWorkAsk, kindSum, kindCommand, kindReply, kindHold})
}

// What operators are told as JSON keeps its keys: each answer, with every field set, is as in its golden file.
func TestAnswersForm(t *testing.T) {
	for _, c := range []struct {
		file  string
		value any
	}{
		{"peers", filled[Status]()},
		{"owners", filled[LeaseStatus]()},
		{"works", filled[MaintenanceStatus]()},
		{"report", filled[Report]()},
	} {
		text, err := json.MarshalIndent(c.value, "", " ")
		require.NoError(t, err)
		assert.Equal(t, golden(t, "answers", c.file+".json"), string(text), c.file)
	}
}

// filled returns a value of which every exported field, and one element of every slice, is set and is not zero.
func filled[T any]() (v T) {
	fill(reflect.ValueOf(&v).Elem())
	return v
}

func fill(v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fill(v.Field(i))
			}
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0))
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key)
		fill(value)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i))
		}
	case reflect.String:
		v.SetString("x")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float32, reflect.Float64:
		v.SetFloat(0.5)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(1)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(1)
	}
}

// Dashboards read the figures by their names.
func TestFigureNames(t *testing.T) {
	net := &stillNet{now: 100}
	f := &Node{net: net, log: slog.New(slog.DiscardHandler), o: Options{Settings: Settings{Jobs: withLists([]string{listName, reportName, drillName, worksName})}}}
	f.owners = newOwners(f)
	f.peers = peers.New("yard", 1, f, net, f.log)
	f.view = swim.New(net.now, swim.Record{ID: 1}, swim.Settings{}, actions{f})
	var names []string
	for _, figure := range f.Figures() {
		names = append(names, figure.Name)
	}
	assert.Equal(t, golden(t, "answers", "figures.txt"), strings.Join(names, "\n"))
}
