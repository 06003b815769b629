package coordination

import (
	"encoding/hex"
	"encoding/json"
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

// golden returns the text of a golden file without its final newline.
func golden(t *testing.T, path ...string) string {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(append([]string{"testdata"}, path...)...))
	require.NoError(t, err)
	return strings.TrimSuffix(string(raw), "\n")
}

// Sidecars of different versions may be members of one fleet: each message body is encoded to the bytes of its golden file, and
// decoded from them.
func TestWireForm(t *testing.T) {
	for _, c := range []struct {
		file  string
		value any
	}{
		{"list_update", &listUpdate{Discovery: "d:1", Index: 300, Checksum: 1 << 60, BaseIndex: 299, Delta: []byte{1, 2, 3}, AtSeconds: 1.5, WatchEnded: true}},
		{"list_update_least", &listUpdate{}},
		{"list_request", &listRequest{Discovery: "d:1", Index: 300}},
		{"list_chunk", &listChunk{Discovery: "d:1", Index: 300, Checksum: 1 << 60, Chunk: 2, Chunks: 9, Body: []byte{4, 5}}},
		{"report_request", &reportRequest{Round: 17}},
		{"report_response", &reportResponse{Round: 17, Members: []swim.ID{1, 1 << 40}, Classes: []classCounts{{Class: "read", Served: 1, Throttled: 2, Failed: 3, Abandoned: 4,
			RatePerSecond: 0.5, Latencies: encodeCounts([]int64{0, 3, 0, 0, 200})}}}},
		{"report_response_least", &reportResponse{Classes: []classCounts{{Class: "read"}}}},
		{"report", &Report{Holder: "m01", Token: 1<<40 + 7, Round: 17, Requested: 5, Answered: 3, Missing: []string{"m02"}, OmittedMissing: 1, Classes: []ClassReport{{Class: "read", RatePerSecond: 1.5, Served: 1,
			Throttled: 2, Failed: 3, Abandoned: 4, P50: 0.5, P90: 0.9, P99: 0.99, P999: 0.999, Max: 7}}}},
		{"report_least", &Report{}},
		{"fault_order", &faultOrder{ID: 1 << 50, Name: "lag", RemainingSeconds: 59.5, Signature: []byte{6, 7}}},
		{"fault_orders", &faultList{Orders: []faultOrder{{ID: 1 << 50, Name: "lag", RemainingSeconds: 59.5, Signature: []byte{6, 7}}, {ID: 2, Name: "x"}}}},
		{"fault_orders_least", &faultList{}},
		{"maintenance_record", &recordMessage{Epoch: 3, Version: 9, Body: []byte{8, 9}, Blockers: filled[[]maintenance.Blocker](), PlanAges: []planAge{{Plan: 4, AgeSeconds: 12.5}}, Holder: "m01"}},
		{"maintenance_record_least", &recordMessage{}},
		{"maintenance_version", &recordVersion{Epoch: 3, Version: 9}},
		{"maintenance_request", &surveyRequest{Round: 17, Epoch: 3, Version: 9}},
		{"maintenance_response", &surveyResponse{Round: 17, Report: filled[maintenance.Report]()}},
	} {
		t.Run(c.file, func(t *testing.T) {
			body := mustMarshal(c.value)
			assert.Equal(t, golden(t, "wire", c.file+".hex"), hex.EncodeToString(body))
			decoded := reflect.New(reflect.TypeOf(c.value).Elem()).Interface()
			require.NoError(t, frames.Unmarshal(body, decoded))
			assert.Equal(t, c.value, decoded)
		})
	}
}

// The kinds of messages and the names of roles are on the wire.
func TestWireNumbers(t *testing.T) {
	assert.Equal(t, [3]string{"list", "list-2", "list-3"}, listRoleNames)
	assert.Equal(t, []string{"report", "drill", "works"}, []string{reportRoleName, faultRoleName, maintenanceRoleName})
	assert.Equal(t, []int{1, 2, 3}, []int{kindListUpdate, kindListRequest, kindListChunk})
	assert.Equal(t, []int{1, 2, 3}, []int{kindReportRequest, kindReportResponse, kindReport})
	assert.Equal(t, []int{1, 2}, []int{kindFaultOrder, kindFaultList})
	assert.Equal(t, []int{1, 2, 3, 4, 5, 6}, []int{kindRecord, kindSurveyRequest, kindSurveyResponse, kindCommand, kindCommandReply, kindRecordVersion})
}

// Operators' tools read the JSON keys of admin responses: each response, with every field set, matches its golden file.
func TestAnswerForm(t *testing.T) {
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

// filled returns a value in which every exported field is not zero and every slice has one element.
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

// Operators' tools read the metrics by their names.
func TestMetricNames(t *testing.T) {
	n, loop := newTestNode(Options{Settings: Settings{Roles: expandListRoles([]string{listRoleName, reportRoleName, faultRoleName, maintenanceRoleName})}})
	n.peers = peers.New("yard", 1, n, loop, n.log)
	n.view = swim.New(loop.now, swim.Record{ID: 1}, swim.Settings{}, membershipActions{n})
	var names []string
	for _, metric := range n.Metrics() {
		names = append(names, metric.Name)
	}
	assert.Equal(t, golden(t, "answers", "figures.txt"), strings.Join(names, "\n"))
}
