package message_test

import (
	"bytes"
	"compress/flate"
	"encoding/hex"
	"flag"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"hazelwheel/internal/apikey"
	"hazelwheel/internal/decide/membership"
	"hazelwheel/internal/decide/register"
	"hazelwheel/internal/decide/tokenlease"
	"hazelwheel/internal/message"
	"hazelwheel/internal/routeconfig"
)

// update rewrites the golden files. Use it only for a new type: the encoding of existing messages never changes.
var update = flag.Bool("update", false, "write the golden files anew")

// wireValues holds a value of each type that is sent between processes, with every field set.
func wireValues() map[string]any {
	digest := register.DigestOf([]byte("configuration"))
	ballot := register.Ballot{Number: 300, Proposer: "control-1/00000000000000aa"}
	value := register.Value{Epoch: 5, Voters: []register.Voter{{ID: "founder@10.0.0.1:7000", Address: "10.0.0.1:7000"}},
		OutgoingVoters: []register.Voter{{ID: "10.0.0.2:7000#0102", Address: "10.0.0.2:7000"}}, ConfigVersion: 70000, ConfigDigest: digest,
		AcceptedChanges: []register.Digest{digest}, Grants: []register.Grant{{Role: "stages", Holder: "control-1", Token: 9}}}
	demand := membership.Demand{Service: "chat", PrefillTokensPerSecond: 1500.5, DecodeStreams: 12.25, KVTokens: 80000}
	record := membership.Record{Name: "control-1/control", Kind: membership.Control, Address: "10.0.0.1:7000", Zone: "a", Incarnation: 1700000000000,
		RunID: 1 << 63, Heartbeat: 70, Revision: 3, Leaving: true, VoterID: "founder@10.0.0.1:7000", OperatorAddress: "10.0.0.1:80", ReleasedToken: 4,
		Demands: []membership.Demand{demand}}
	beat := membership.Heartbeat{Key: 0xdeadbeef, Counter: 70000}
	load := message.Load{InstanceKey: message.InstanceKey("i-1"), Running: 3, Waiting: 300, AgeMs: 900}
	plan := message.StagePlan{Token: 9, Sequence: 130, Stages: map[string]message.Stage{"i-1": message.Decode}}
	list := message.InstanceList{Digest: 1 << 62, AgeMs: 12.5, Data: []byte("packed list")}
	table := message.PackedTable{Version: 70000, Data: []byte("packed table")}
	return map[string]any{
		"Instance": message.Instance{ID: "i-1", Service: "chat", Address: "10.0.1.1:9000", Zone: "a", Slots: 8, Draining: true,
			Stage: message.Prefill, WarmupMs: 2500.5},
		"List":  list,
		"Table": table,
		"Gossip": message.Gossip{FormatVersion: message.FormatVersion, Records: []membership.Record{record}, Heartbeats: []membership.Heartbeat{beat}, Voters: value,
			Grants: value.Grants, Plan: plan, ConfigVersion: 70000, Table: &table, List: list, Loads: []message.Load{load}, NeedsTable: true,
			NeedsList: true, UpdatesOnly: true},
		"ConfigRequest": message.ConfigRequest{Digest: digest, Offset: 131072, Length: 131072},
		"ConfigReply":   message.ConfigReply{Data: []byte("piece"), Size: 200000},
		"Learn":         message.LearnRequest{To: "founder@10.0.0.1:7000", Ballot: ballot, Value: value, MinBallot: register.Ballot{Number: 299, Proposer: "control-2"}},
		"Learned":       message.LearnReply{UpToDate: true},
		"Feed": message.Feed{Table: &table, List: &list, Loads: []message.Load{load}, Plan: &plan, ProxyRank: 2,
			ProxyCount: 300},
		"Load":        load,
		"ProxyReport": message.ProxyReport{ConfigVersion: 70000, Demands: []membership.Demand{demand}, Loads: []message.Load{load}},
		"StagePlan":   plan,
		"TokensRequest": tokenlease.Request{Lessee: "edge-1/00000000000000aa", Share: 3, Token: 7, Reports: []tokenlease.Report{{Tenant: "acme", LeaseID: 70000, Spent: 12500,
			Returned: 300, Need: 2400, Reserve: 9000}}},
		"TokensReply": tokenlease.Reply{Token: 7, Grants: []tokenlease.Grant{{Tenant: "acme", LeaseID: 70000, Granted: 20000, IsUnknown: true, IsRecovering: true,
			RetrySeconds: 0.25}}},
		// The unpacked content of Table and List.
		"routes.Table": routeconfig.Table{Version: 70000, Limits: routeconfig.Limits{MaxHeaderBytes: 32768, MaxBodyBytes: 1 << 20, HeaderTimeoutMs: 4000.5, IdleTimeoutMs: 55000},
			Routes: []routeconfig.Route{{Name: "r", Host: "h.example", PathPrefix: "/p/", Kind: routeconfig.Streaming, TimeoutMs: 30000, LatencyTargetMs: 800.5,
				Priority: 2, Services: []routeconfig.WeightedService{{Service: "chat", Weight: 0.75}}, MaxAttempts: 3, Sticky: true, Resumable: true, TokenGapTargetMs: 250.5}},
			Services: []routeconfig.Service{{Name: "chat", HealthPath: "/health", MaxConnections: 100, Engine: &routeconfig.Engine{Slots: 8, KVTokens: 1e6,
				KVTokenBytes: 1000.5, LinkMbps: 10000, HandleTTLSeconds: 5.5, StageSwitchSeconds: 2.5}}}},
		"routes.TableWithTenants": tableWithTenants(),
		"routes.TableWithLimits":  tableWithLimits(),
		"TableWithForm":           message.PackedTable{Version: 70000, Form: routeconfig.FormTenants, Data: []byte("packed table")},
		"GossipWithForm": message.Gossip{FormatVersion: message.FormatVersion, Records: []membership.Record{record}, Heartbeats: []membership.Heartbeat{beat}, Voters: value,
			Grants: value.Grants, Plan: plan, ConfigVersion: 70000, ConfigForm: routeconfig.FormTenants, LatestForm: routeconfig.FormTenants,
			Table: &message.PackedTable{Version: 70000, Form: routeconfig.FormTenants, Data: []byte("packed table")}, List: list, Loads: []message.Load{load},
			NeedsTable: true, NeedsList: true, UpdatesOnly: true},
		"instances": []message.Instance{{ID: "i-1", Service: "chat", Address: "10.0.1.1:9000", Zone: "a", Slots: 8, Draining: true,
			Stage: message.Decode, WarmupMs: 2500.5}},
	}
}

// tableWithTenants returns a table with all fields set but the tenant's limit.
func tableWithTenants() routeconfig.Table {
	priority := 2
	secret := apikey.NewSecret([]byte("document"))
	return routeconfig.Table{Version: 70000, Form: routeconfig.FormTenants, KeySecret: secret,
		Tenants: []routeconfig.Tenant{{Name: "acme", Priority: &priority, KeyDigests: []apikey.Digest{secret.NewDigester().Digest(apikey.New("key"))}}},
		Routes: []routeconfig.Route{{Name: "r", Host: "h.example", PathPrefix: "/p/", Kind: routeconfig.Streaming, TimeoutMs: 30000, LatencyTargetMs: 800.5,
			Priority: 2, Services: []routeconfig.WeightedService{{Service: "chat", Weight: 0.75}}, MaxAttempts: 3, Sticky: true, Resumable: true, TokenGapTargetMs: 250.5,
			IsPublic: true}},
		Services: []routeconfig.Service{{Name: "chat", HealthPath: "/health", MaxConnections: 100, Engine: &routeconfig.Engine{Slots: 8, KVTokens: 1e6,
			KVTokenBytes: 1000.5, LinkMbps: 10000, HandleTTLSeconds: 5.5, StageSwitchSeconds: 2.5}}},
		Limits: routeconfig.Limits{MaxHeaderBytes: 32768, MaxBodyBytes: 1 << 20, HeaderTimeoutMs: 4000.5, IdleTimeoutMs: 55000}}
}

// tableWithLimits returns a table with all fields set, including the tenant's limit.
func tableWithLimits() routeconfig.Table {
	table := tableWithTenants()
	table.Form = routeconfig.FormLimits
	table.Tenants[0].Limit = &routeconfig.TenantLimit{RatePerSecond: 36000.5, Burst: 18000.5, CountsTokens: true, PlainTokens: 200}
	return table
}

// tenantFields are the fields that were added with tenants, limitFields those that were added with their limits.
var (
	tenantFields = []string{"Form", "ConfigForm", "LatestForm", "Tenants", "KeySecret", "IsPublic"}
	limitFields  = []string{"Limit"}
)

// laterFields are the fields that were added after the golden file of a value was written. They are not set in the value, whose encoding must
// still be the same. Values with these fields set have names of their own.
var laterFields = map[string][]string{"Table": tenantFields, "Gossip": tenantFields, "Feed": tenantFields, "routes.Table": tenantFields,
	"routes.TableWithTenants": limitFields}

// golden returns the content of a golden file, which was written by the version that introduced the form. With -update it writes now first.
func golden(t *testing.T, name string, now []byte) []byte {
	t.Helper()
	if *update {
		require.NoError(t, os.MkdirAll(filepath.Dir(goldenPath(name)), 0o755))
		require.NoError(t, os.WriteFile(goldenPath(name), []byte(hex.Dump(now)), 0o644))
	}
	return readGolden(t, name)
}

func goldenPath(name string) string { return filepath.Join("testdata", "wire", name+".hex") }

func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	dump, err := os.ReadFile(goldenPath(name))
	require.NoError(t, err)
	return undump(t, string(dump))
}

// undump reverses hex.Dump.
func undump(t *testing.T, dump string) (out []byte) {
	t.Helper()
	for line := range strings.Lines(dump) {
		_, rest, _ := strings.Cut(line, "  ")
		digits, _, _ := strings.Cut(rest, "|")
		data, err := hex.DecodeString(strings.Join(strings.Fields(digits), ""))
		require.NoError(t, err)
		out = append(out, data...)
	}
	return out
}

func TestWireForm(t *testing.T) {
	for name, value := range wireValues() {
		t.Run(name, func(t *testing.T) {
			requireFieldsSet(t, name, reflect.ValueOf(value), laterFields[name])
			now, err := msgpack.Marshal(value)
			require.NoError(t, err)
			sent := golden(t, name, now)
			assert.Equal(t, sent, now, "the encoding has changed")
			decoded := reflect.New(reflect.TypeOf(value))
			require.NoError(t, msgpack.Unmarshal(sent, decoded.Interface()))
			assert.Equal(t, value, decoded.Elem().Interface())
		})
	}
}

// TestPackedForm pins the packed content of Table and List. Compressors may produce different bytes, so it compares what they unpack to.
func TestPackedForm(t *testing.T) {
	values := wireValues()
	table := values["routes.Table"].(routeconfig.Table)
	packed, err := message.PackTable(&table)
	require.NoError(t, err)
	assert.Equal(t, table.Version, packed.Version)
	assert.Equal(t, readGolden(t, "routes.Table"), inflated(t, packed.Data))
	unpacked, err := (&message.PackedTable{Version: table.Version, Data: golden(t, "packed.Table", packed.Data)}).Unpack()
	require.NoError(t, err)
	assert.Equal(t, &table, unpacked)

	instances := values["instances"].([]message.Instance)
	data, err := message.PackInstances(instances)
	require.NoError(t, err)
	assert.Equal(t, readGolden(t, "instances"), inflated(t, data))
	got, err := message.UnpackInstances(golden(t, "packed.instances", data))
	require.NoError(t, err)
	assert.Equal(t, instances, got)
}

func inflated(t *testing.T, data []byte) []byte {
	t.Helper()
	out, err := io.ReadAll(flate.NewReader(bytes.NewReader(data)))
	require.NoError(t, err)
	return out
}

// requireFieldsSet fails if a field has its zero value, since its encoding would not be pinned. The fields named in later must be zero.
func requireFieldsSet(t *testing.T, path string, value reflect.Value, later []string) {
	t.Helper()
	switch value.Kind() {
	case reflect.Pointer:
		require.False(t, value.IsNil(), path)
		requireFieldsSet(t, path, value.Elem(), later)
	case reflect.Slice:
		require.NotZero(t, value.Len(), path)
		requireFieldsSet(t, path+"[0]", value.Index(0), later)
	case reflect.Struct:
		for i := range value.NumField() {
			field := value.Type().Field(i)
			switch {
			case !field.IsExported():
			case slices.Contains(later, field.Name):
				require.True(t, value.Field(i).IsZero(), path+"."+field.Name)
			default:
				requireFieldsSet(t, path+"."+field.Name, value.Field(i), later)
			}
		}
	default:
		require.False(t, value.IsZero(), path)
	}
}
