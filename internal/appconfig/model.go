// Package appconfig reads and renders the configuration of a sidecar. People write two TOML files, one for an application
// and one for a site. Both are rendered to the two JSON files that a sidecar reads: the platform's file and the operators'
// file of features.
//
// The struct tags of the model describe all four files. toml is the name in a TOML file. file is the path in a rendered
// file, with the prefix p for the platform's file or f for the features, and slashes between names. unit is the unit of
// the number there. least, above and most limit the value. enum lists the allowed words, each with its rendered form.
package appconfig

// App is an application's file: the configuration of one instance and of its sidecar.
type App struct {
	Format    string `toml:"format" need:"yes" comment:"what this file is, and the version of its form"`
	Name      string `toml:"name" file:"p:name" need:"yes" comment:"the instance's name, the same after a restart"`
	Listen    string `toml:"listen" file:"p:listen" need:"yes" comment:"where the application connects: address and port"`
	Discovery string `toml:"discovery" file:"p:discovery" need:"yes" comment:"address and port of discovery, which lists the boxes"`
	Ops       string `toml:"ops,omitempty" file:"p:ops" comment:"where operators call, see their on-call page: address and port"`
	Home      string `toml:"home,omitempty" comment:"the place where this instance runs, one of the site's places"`
	Index     int    `toml:"index" file:"p:settings/selfIndex" least:"0" comment:"this instance's number among its replicas, from 0"`
	Replicas  int    `toml:"replicas" file:"p:settings/replicasOfMe" least:"1" default:"1" comment:"how many instances the application has"`
	Seed      string `toml:"seed,omitempty" file:"p:seed" comment:"of random numbers: up to 16 hexadecimal digits, new with each start"`

	Forwarded   bool   `toml:"rewrite_forwarded,omitempty" file:"f:rewrites.forwarded" comment:"Forwarded tells boxes whom a request comes from"`
	DrillSecret string `toml:"drill_secret_sha256,omitempty" file:"f:drills.secret_sha256" comment:"SHA-256 of the secret that starts drills, in hexadecimal"`

	Limits    Limits         `toml:"limits" comment:"what the sidecar's process may use"`
	Client    Client         `toml:"client,omitempty" comment:"what the application's own client does; the checks alone read it"`
	Classes   []Class        `toml:"class" file:"p:settings/classes" need:"yes" comment:"the classes of requests; the first part of a request's path names one"`
	Health    *Health        `toml:"health,omitempty" file:"f:health" comment:"a side port that tells how the instance is"`
	Capture   *Capture       `toml:"capture,omitempty" file:"f:capture" comment:"a record of what the decisions knew"`
	Admission *Admission     `toml:"admission,omitempty" file:"f:admission" comment:"what clients may hold"`
	Drills    []Drill        `toml:"drill,omitempty" file:"f:drills" comment:"rehearsals of slow and failed requests"`
	Rewrites  []Rewrite      `toml:"rewrite,omitempty" file:"f:rewrites" comment:"changes of header fields, in their order"`
	Quotas    *Quotas        `toml:"quotas,omitempty" file:"f:quotas" comment:"shares for groups of clients"`
	Thrift    map[string]any `toml:"thrift,omitempty" file:"f:thrift" comment:"as the operators' file has it"`
	Fleet     *Fleet         `toml:"fleet,omitempty" file:"f:fleet" comment:"how the sidecar and others of its fleet find each other"`
}

// Fleet configures how the sidecars of a fleet find each other.
type Fleet struct {
	Name      string   `toml:"name" file:"f:fleet/name" need:"yes" comment:"of the fleet; sidecars of another are turned away"`
	Listen    string   `toml:"listen" file:"f:fleet/listen" need:"yes" comment:"address and port for other sidecars"`
	Advertise string   `toml:"advertise,omitempty" file:"f:fleet/advertise" comment:"where others dial it, if that is elsewhere"`
	Join      []string `toml:"join,omitempty" file:"f:fleet/join" comment:"addresses of a few others; any of them may be down"`
	Dir       string   `toml:"dir,omitempty" file:"f:fleet/dir" comment:"a folder that outlives the process; without it each start is a new sidecar"`
	Voters    []string `toml:"electors,omitempty" file:"f:fleet/electors" comment:"addresses of 3, 5 or 7 that agree on who owns a job, the same at all sidecars"`
	Jobs      []string `toml:"jobs,omitempty" file:"f:fleet/jobs" comment:"what this sidecar can do on behalf of all: list, report, drill, works"`
}

// Limits are the resource limits of the sidecar's process.
type Limits struct {
	Cores   float64 `toml:"cores" file:"p:limits/cores" above:"0" most:"1024" default:"1" comment:"processor cores"`
	Memory  Size    `toml:"memory" file:"p:limits/memory_mb" unit:"MiB" least:"16MiB" most:"1024GiB" default:"192MiB" comment:"the process is killed beyond it"`
	Sockets int     `toml:"sockets" file:"p:limits/sockets" least:"64" most:"10000000" default:"1024" comment:"file descriptors"`
}

// Client describes the behaviour of the application's own client. Only the checks use it.
type Client struct {
	Waits       Duration `toml:"waits,omitempty" file:"p:expect/client/waits" unit:"s" least:"0s" most:"1d" comment:"how long it waits for an answer in all, over all its tries"`
	Connections int      `toml:"connections,omitempty" file:"p:expect/client/connections" least:"0" most:"10000000" comment:"the most connections that it opens to the sidecar"`
	Tries       int      `toml:"tries,omitempty" file:"p:expect/client/tries" least:"0" most:"1000" comment:"how often it tries a request in all"`
	Pause       Duration `toml:"pause,omitempty" file:"p:expect/client/pause" unit:"s" least:"0s" most:"1d" comment:"between two of its tries"`
	Rate        float64  `toml:"rate,omitempty" file:"p:expect/client/rate" least:"0" most:"1e9" comment:"requests a second of this instance when it is busy"`
}

// Class is a request class, either as an application uses it or as the servers of a site serve it.
type Class struct {
	Name          string   `toml:"name" file:"p:name" need:"yes" comment:"the first part of the path"`
	Effect        string   `toml:"effect,omitempty" file:"p:effect" enum:"safe=free,keyed=guarded,unsafe=single_shot" comment:"what running it twice does: safe, keyed (a box drops what has a key that it knows) or unsafe"`
	Group         string   `toml:"group,omitempty" file:"p:dedupScope" enum:"all=all,place=zone,cell=cell" comment:"of a keyed class: which boxes know each other's keys"`
	Window        Duration `toml:"window,omitempty" file:"p:windowS" unit:"s" least:"0s" most:"365d" comment:"of a keyed class: how long boxes remember a key"`
	LatencyTarget Duration `toml:"aim,omitempty" file:"p:objectiveS" unit:"s" above:"0s" most:"1d" comment:"an answer within it earns its whole worth"`
	Deadline      Duration `toml:"deadline,omitempty" file:"p:giveUpS" unit:"s" above:"0s" most:"1d" comment:"the sidecar gives a request up after it"`
	Weight        float64  `toml:"worth,omitempty" file:"p:importance" least:"0" most:"1e9" comment:"of an answer; what is worth least goes first when there is not enough"`
	Late          float64  `toml:"late_worth,omitempty" file:"p:lateWorth" least:"0" most:"1" comment:"the part of its worth that an answer after the aim still earns"`
	Stretch       float64  `toml:"stretch,omitempty" file:"p:aimStretch" least:"0" most:"1e6" comment:"the aim grows by this multiple of a request's own work"`
	Stream        bool     `toml:"stream,omitempty" file:"p:stream" comment:"the answer is a stream"`
}

// Health configures the port for health checks.
type Health struct {
	Port      int      `toml:"port,omitempty" file:"f:health/port" least:"1" most:"65535" comment:"on the host of the listen address"`
	ListAge   Duration `toml:"list_age" file:"f:health/max_list_age_ms" unit:"ms" least:"0s" most:"1d" default:"6s" comment:"not ready when nothing has been read from discovery for so long"`
	MinUsable int      `toml:"min_usable" file:"f:health/min_usable" least:"0" most:"1000000" default:"1" comment:"not ready with fewer usable boxes"`
	MaxOpen   int      `toml:"max_open" file:"f:health/max_inflight" least:"0" most:"10000000" default:"256" comment:"not ready with more open requests"`
}

// Capture configures the record of the inputs and decisions of package policy.
type Capture struct {
	Bytes Size   `toml:"bytes" file:"f:capture/max_bytes" unit:"B" least:"8KiB" most:"64MiB" default:"512KiB" comment:"held in memory, and again on disk"`
	Files int    `toml:"files" file:"f:capture/files" least:"1" most:"64" default:"4" comment:"segments; the oldest is dropped"`
	Dir   string `toml:"dir,omitempty" file:"f:capture/dir" comment:"a folder that the segments are written to, too"`
}

// Admission limits the connections and buffered bytes of clients.
type Admission struct {
	Reserve    int      `toml:"reserve,omitempty" file:"f:admission/reserve" least:"1" most:"10000000" comment:"connections kept for known clients"`
	PerAddress int      `toml:"per_address,omitempty" file:"f:admission/per_address" least:"1" most:"10000000" comment:"the most connections of one address"`
	Waiting    Size     `toml:"waiting,omitempty" file:"f:admission/waiting_bytes" unit:"B" least:"64KiB" most:"1024GiB" comment:"what all connections may hold together"`
	Known      []string `toml:"known,omitempty" file:"f:admission/known" comment:"addresses and prefixes that are known from the start"`
	Caps       []Cap    `toml:"cap,omitempty" file:"f:admission/caps" comment:"the most connections of all addresses in a prefix"`
}

// Cap limits the connections of an address prefix.
type Cap struct {
	Prefix string `toml:"prefix" file:"f:prefix" need:"yes" comment:"10.1.0.0/16, or an address"`
	Links  int    `toml:"links" file:"f:links" need:"yes" least:"1" most:"10000000" comment:"the most connections"`
}

// Drill is a fault that operators may inject: delayed or failed requests of a class.
type Drill struct {
	Name     string   `toml:"name" file:"f:name" need:"yes" comment:"letters, digits, '.', '_' and '-'"`
	Class    string   `toml:"class" file:"f:class" need:"yes" comment:"the class that it touches"`
	Share    float64  `toml:"share,omitempty" file:"f:share" least:"0" most:"100" comment:"percent of the class's requests"`
	Delay    Duration `toml:"delay,omitempty" file:"f:delay_ms" unit:"ms" least:"0s" most:"1h" comment:"how long a request is held back"`
	Abort    string   `toml:"abort" file:"f:abort" enum:"none=none,503=503" default:"none" comment:"503: it is answered so after the delay"`
	Duration Duration `toml:"duration" file:"f:duration_s" unit:"s" above:"0s" most:"1d" default:"60s" comment:"how long the drill runs"`
}

// Rewrite is a rule that changes a header field.
type Rewrite struct {
	Dir        string `toml:"dir" file:"f:dir" need:"yes" enum:"in=in,out=out" comment:"in: requests to a box; out: a box's answers"`
	Class      string `toml:"class,omitempty" file:"f:when/class" comment:"of requests of this class alone"`
	PathPrefix string `toml:"path_prefix,omitempty" file:"f:when/path_prefix" comment:"of requests whose path begins so alone"`
	Op         string `toml:"op" file:"f:op" need:"yes" enum:"add=add,drop=drop,rename=rename" comment:"what is done"`
	Name       string `toml:"name" file:"f:name" need:"yes" comment:"the field's name"`
	Value      string `toml:"value,omitempty" file:"f:value" comment:"of what is added"`
	To         string `toml:"to,omitempty" file:"f:to" comment:"the new name of what is renamed"`
}

// Quotas configures request quotas for groups of clients.
type Quotas struct {
	File     string     `toml:"file" file:"f:quotas/file" need:"yes" comment:"the file of groups"`
	Default  string     `toml:"default" file:"f:quotas/default" need:"yes" comment:"the group of requests that no rule knows"`
	Exempt   []string   `toml:"exempt,omitempty" file:"f:quotas/exempt" comment:"classes that are neither counted nor refused"`
	Floor    []string   `toml:"floor,omitempty" file:"f:quotas/floor" comment:"classes that may use the groups' floors"`
	Dir      string     `toml:"dir,omitempty" file:"f:quotas/dir" comment:"a folder for snapshots"`
	Snapshot Duration   `toml:"snapshot" file:"f:quotas/snapshot_s" unit:"s" least:"1s" most:"1h" default:"10s" comment:"between two snapshots"`
	Repay    float64    `toml:"repay" file:"f:quotas/repay" least:"0" most:"0.5" default:"0.01" comment:"the part of its own that a group pays back"`
	Forget   Duration   `toml:"forget" file:"f:quotas/forget_s" unit:"s" least:"1min" most:"31d" default:"6h" comment:"all but 37 % of an old debt is forgotten after it"`
	Stretch  float64    `toml:"stretch" file:"f:quotas/stretch" least:"0" most:"0.5" default:"0.1" comment:"by what part a sidecar's part may grow"`
	Identify []Identity `toml:"identify,omitempty" file:"f:quotas/identify" comment:"how a request's group is known; the first rule that fits decides"`
}

// Identity is a rule that assigns requests to a quota group.
type Identity struct {
	Header    string `toml:"header,omitempty" file:"f:header" comment:"the field whose value is the group's path"`
	Addresses string `toml:"addresses,omitempty" file:"f:addresses" comment:"the clients' address or prefix"`
	Class     string `toml:"class,omitempty" file:"f:class" comment:"the requests' class"`
	Group     string `toml:"group,omitempty" file:"f:group" comment:"the group's path"`
}

// Site is a site's file: the configuration that all applications at the site share.
type Site struct {
	Format           string   `toml:"format" need:"yes" comment:"what this file is, and the version of its form"`
	Name             string   `toml:"name,omitempty" file:"p:expect/site/name" comment:"the site's name"`
	Places           []string `toml:"places,omitempty" file:"p:settings/dcs" comment:"where boxes and instances run; each is as far from itself as nothing"`
	ServerKinds      []string `toml:"box_kinds,omitempty" file:"p:settings/hostTypes" comment:"the kinds of boxes"`
	CrossCost        float64  `toml:"cross_cost,omitempty" file:"p:settings/deductions/crossZone" least:"0" most:"1e6" comment:"price of a request that is served at another place, in parts of its worth"`
	Sizes            string   `toml:"sizes,omitempty" file:"p:settings/weights" enum:"off=off,nominal=nominal,rough=rough,live=live" comment:"what the list's weights say of boxes"`
	DecisionInterval Duration `toml:"round,omitempty" file:"p:settings/roundS" unit:"s" least:"0s" most:"10s" comment:"the decisions are asked at most this often"`

	List     List     `toml:"discovery" comment:"how the list of boxes comes"`
	Requests Requests `toml:"requests" comment:"what is allowed with a request"`
	Conns    Conns    `toml:"connections" comment:"connections to boxes"`
	Probes   Probes   `toml:"probes" comment:"questions to boxes how they are"`
	Servers  Servers  `toml:"boxes,omitempty" comment:"what there is; the checks alone read it"`
	Rules    Rules    `toml:"rules" comment:"the figures of the standing rules"`
	Report   Report   `toml:"report" comment:"what boxes say of their load"`
	Tenants  []Tenant `toml:"tenant,omitempty" file:"p:settings/tenants" comment:"who shares the boxes"`
	Classes  []Class  `toml:"class,omitempty" file:"p:expect/site/classes" comment:"the classes that boxes serve, and what running them twice does"`
}

// List configures how the sidecar gets the list of servers.
type List struct {
	Mode             string   `toml:"mode,omitempty" file:"p:settings/discovery" enum:"ask=on_request,push=pushed" comment:"ask: only when asked for; push: by itself"`
	MaxQueryInterval Duration `toml:"ask_within,omitempty" file:"p:settings/obligations/askWithinS" unit:"s" least:"0s" most:"1d" comment:"who has not asked for so long counts as told"`
}

// Requests configures what a sidecar may do with a request.
type Requests struct {
	Attempts     int      `toml:"attempts,omitempty" file:"p:settings/limits/sendCap" least:"0" most:"1000" comment:"most attempts at boxes; 0 counts as 1"`
	Cancel       bool     `toml:"cancel" file:"p:settings/limits/cancel" comment:"an attempt may be called off"`
	SecondCopies bool     `toml:"second_copies" file:"p:settings/limits/secondCopies" comment:"two attempts may be out at once"`
	RetryAfter   bool     `toml:"retry_after" file:"p:settings/limits/retryAfter" default:"true" comment:"a refused client is told when to come again"`
	MaxRetry     Duration `toml:"max_retry_after,omitempty" file:"p:settings/limits/maxRetryAfterS" unit:"s" least:"0s" most:"1d" comment:"the longest such advice that clients follow"`
}

// Conns configures connections to servers.
type Conns struct {
	Timeout Duration `toml:"timeout" file:"p:settings/limits/connectTimeoutS" unit:"s" need:"yes" above:"0s" most:"1h" comment:"a connection that is not up by then has failed"`
	Idle    Duration `toml:"idle,omitempty" file:"p:settings/limits/connIdleS" unit:"s" least:"0s" most:"1d" comment:"the box's machine closes a connection that has been idle for so long"`
}

// Probes configures probes of servers.
type Probes struct {
	Allowed bool     `toml:"allowed" file:"p:settings/limits/probes" comment:"boxes answer them"`
	Cost    Duration `toml:"cost,omitempty" file:"p:expect/site/probes/cost" unit:"s" least:"0s" most:"1h" comment:"what one takes of a box's time"`
	Part    float64  `toml:"part,omitempty" file:"p:expect/site/probes/part" least:"0" most:"1" comment:"the most that all probes together may take of a box"`
}

// Servers describes the servers of the site. Only the checks use it.
type Servers struct {
	Count       int `toml:"count,omitempty" file:"p:expect/site/boxes/count" least:"0" most:"1000000" comment:"how many boxes on a common day"`
	Connections int `toml:"connections,omitempty" file:"p:expect/site/boxes/connections" least:"0" most:"10000000" comment:"how many connections a box holds"`
}

// Rules are the parameters of the rules that every sidecar at the site follows.
type Rules struct {
	AnswerSlack    Duration `toml:"answer_slack,omitempty" file:"p:settings/obligations/answerSlackS" unit:"s" least:"0s" most:"1h" comment:"an answer so long after the deadline still counts"`
	DrainGrace     Duration `toml:"drain_grace,omitempty" file:"p:settings/obligations/drainGraceS" unit:"s" least:"0s" most:"1h" comment:"nothing is sent to a box so long after its drain was told"`
	OnlyDrain      bool     `toml:"only_drain_binds,omitempty" file:"p:settings/obligations/softRemoval" comment:"a box that is off the list may be used while it answers"`
	WarmupStart    float64  `toml:"cold_from,omitempty" file:"p:settings/obligations/coldFrom" least:"0" most:"1" comment:"a box starts at this part of its capacity or more"`
	WarmupTime     Duration `toml:"cold_time,omitempty" file:"p:settings/obligations/coldS" unit:"s" least:"0s" most:"1d" comment:"and is warm no later than this"`
	OverloadFactor float64  `toml:"cold_multiple,omitempty" file:"p:settings/obligations/fallMultiple" least:"0" most:"1e6" comment:"a cold box that gets more than so many times its capacity"`
	OverloadWindow Duration `toml:"cold_window,omitempty" file:"p:settings/obligations/fallS" unit:"s" least:"0s" most:"1h" comment:"for so long falls over"`
}

// Report configures the load reports of servers.
type Report struct {
	How    string   `toml:"how,omitempty" file:"p:settings/report/how" enum:"off=off,on_probe=on_probe,inline=inline" comment:"off, on_probe or inline (with every answer)"`
	Fields []string `toml:"fields,omitempty" file:"p:settings/report/fields" comment:"the names of the values"`
}

// Tenant is one of the parties that share the servers.
type Tenant struct {
	Name      string  `toml:"name" file:"p:name" need:"yes" comment:"who"`
	Allowance float64 `toml:"allowance,omitempty" file:"p:allowancePerS" least:"0" most:"1e9" comment:"requests a second of all sidecars together"`
	Share     float64 `toml:"share,omitempty" file:"p:share" least:"0" most:"1" comment:"the part of the service that is theirs"`
}

// Values of the format field, with which a TOML file begins.
const (
	AppFormat  = "app/1"
	SiteFormat = "site/1"
)

// ignoredPlatformFields lists fields of the platform's file that have no counterpart in the model; they are accepted and skipped.
var ignoredPlatformFields = []string{"known", "settings.stage", "settings.tiers", "settings.workload", "settings.valueBy", "settings.familyInfo",
	"settings.clients", "settings.deductions.connection", "settings.deductions.discovery", "settings.deductions.fleet",
	"settings.deductions.handshake", "settings.deductions.lateFail", "settings.deductions.moves", "settings.deductions.origin",
	"settings.deductions.peer", "settings.deductions.probe", "settings.deductions.waste", "settings.scoringMix", "settings.overShareWorth", "settings.locality",
	"settings.limits.cpuUsPerRequest", "settings.limits.cpuUsPerS", "settings.limits.maxOpen", "settings.limits.peers",
	"settings.limits.streamsPerConn"}
