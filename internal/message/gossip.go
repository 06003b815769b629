package message

import (
	"hazelwheel/internal/decide/membership"
	"hazelwheel/internal/decide/register"
	"hazelwheel/internal/routeconfig"
)

// Gossip is the request and the reply of an exchange or an update between two processes. Each names the versions that its sender holds. The
// configuration and the endpoint list are large, so they are attached only if the receiver has requested them (NeedsTable, NeedsList). So an
// update takes a few bytes, and each process fetches the large parts once.
type Gossip struct {
	FormatVersion int                    `msgpack:"f"`
	Records       []membership.Record    `msgpack:"r"`            // a sample of the known members
	Heartbeats    []membership.Heartbeat `msgpack:"b"`            // of processes whose records the receiver may have
	Voters        register.Value         `msgpack:"v"`            // epoch and voter sets of the register; the other fields are zero
	Grants        []register.Grant       `msgpack:"g"`            // lease grants of the singleton roles
	Plan          StagePlan              `msgpack:"p"`            // newest plan of stage changes
	ConfigVersion uint64                 `msgpack:"n"`            // version of the configuration that the sender holds, 0: none
	Table         *PackedTable           `msgpack:"t"`            // the configuration, nil if it was not requested
	List          InstanceList           `msgpack:"l"`            // digest and age of the endpoint list; Data only if it was requested
	Loads         []Load                 `msgpack:"o"`            // recent loads of servers
	NeedsTable    bool                   `msgpack:"tt"`           // the receiver's configuration is newer: attach it to the reply or the next request
	NeedsList     bool                   `msgpack:"tl"`           // the same for a younger endpoint list
	UpdatesOnly   bool                   `msgpack:"w"`            // records, heartbeats and loads are left out, here and in the reply
	ConfigForm    routeconfig.Form       `msgpack:"nf,omitempty"` // form of the table that the sender holds
	LatestForm    routeconfig.Form       `msgpack:"nl,omitempty"` // latest form that the sender knows; 0 from versions that know no forms
}

// CanUseTable reports whether the sender of a message should replace its table by one of this version and form. A process that doesn't know
// the form should not: it would drop the form, and so be sent the same table with each exchange.
func (m *Gossip) CanUseTable(version uint64, form routeconfig.Form) bool {
	return version > m.ConfigVersion || form <= m.LatestForm && IsNewerTable(version, form, m.ConfigVersion, m.ConfigForm)
}
