package lint

import (
	"io/fs"
	"math"
	"strings"

	"hazelwheel/internal/appconfig"
)

// The sidecar's own needs and the limits that it applies.
const (
	reservedSockets = 24       // descriptors not available for connections
	clientShare     = 0.75     // the most that clients may use of the other descriptors
	segment         = 8 << 10  // smallest segment of a capture
	baseMemoryBytes = 64 << 20 // memory of the process without the configurable buffers
	probesPerSecond = 1.0      // most probes that one sidecar sends to one server
)

// maxConnections returns the number of descriptors available for connections.
func (u *unit) maxConnections() int { return u.app.Limits.Sockets - reservedSockets }

// bufferBytes returns the memory for captures, client buffers and quota groups.
func (u *unit) bufferBytes() appconfig.Size {
	kept := u.groupsBytes()
	if c := u.features.Capture; c != nil {
		kept += c.Bytes
	}
	if a := u.features.Admission; a != nil && a.Waiting > 0 {
		kept += a.Waiting
	} else {
		kept += u.app.Limits.Memory / 4
	}
	return kept
}

var capacityChecks = []Check{
	{Code: "HW090", Severity: Error, Title: "more client connections than descriptors", Subject: "client.connections, limits.sockets",
		Format: "the client opens up to %[1]d connections, and of %[2]d descriptors clients may hold %[3]d",
		Reason: "Connections beyond that are refused, first on the busiest day",
		Remedy: "Write a larger limits.sockets, or have the client open fewer",
		app: func(u *unit, report reportFunc) {
			if limit := int(clientShare * float64(u.maxConnections())); u.app.Client.Connections > limit {
				report(u.at("client.connections").with(u.at("limits.sockets")), u.app.Client.Connections, u.app.Limits.Sockets, limit)
			}
		}},
	{Code: "HW091", Severity: Note, Title: "client connections that are not kept", Subject: "client.connections, limits.sockets",
		Format: "the client opens up to %[1]d connections, more than a fifth of the %[2]d descriptors",
		Reason: "From there on the sidecar closes a connection after each answer, and the client pays for new ones",
		Remedy: "Write a larger limits.sockets, or have the client open fewer",
		app: func(u *unit, report reportFunc) {
			n := u.app.Client.Connections
			if n > u.app.Limits.Sockets/5 && n <= int(clientShare*float64(u.maxConnections())) {
				report(u.at("client.connections").with(u.at("limits.sockets")), n, u.app.Limits.Sockets)
			}
		}},
	{Code: "HW092", Severity: Warning, Title: "descriptors that boxes and clients do not fit into", Subject: "limits.sockets, client.connections, boxes.count",
		Format: "%[1]d boxes with a connection and a probe each, and %[2]d client connections, need more than the %[3]d descriptors that are there for links",
		Reason: "Executions wait for a descriptor, and requests are late though boxes are idle",
		Remedy: "Write a larger limits.sockets",
		against: func(u *unit, report reportFunc) {
			if need := 2*u.site.Servers.Count + u.app.Client.Connections; need > u.maxConnections() {
				report(u.at("limits.sockets").with(u.at("client.connections"), u.atSite("boxes.count")), u.site.Servers.Count, u.app.Client.Connections, u.maxConnections())
			}
		}},
	{Code: "HW093", Severity: Warning, Title: "probes that take too much of a box", Subject: "replicas, probes.cost, probes.part",
		Format: "%[1]d replicas that probe a box each second, at %[2]s a probe, take up to %.3[3]g %% of it; the site allows %.3[4]g %%",
		Reason: "Boxes answer probes in place of requests, most of all when they are busy",
		Remedy: "Have fewer replicas share a site, or ask those who run the boxes for a cheaper probe",
		against: func(u *unit, report reportFunc) {
			p := &u.site.Probes
			if load := float64(u.app.Replicas) * probesPerSecond * p.Cost.S(); p.Allowed && p.Part > 0 && load > p.Part {
				report(u.at("replicas").with(u.atSite("probes.cost"), u.atSite("probes.part")), u.app.Replicas, p.Cost, 100*load, 100*p.Part)
			}
		}},
	{Code: "HW094", Severity: Warning, Title: "more sidecars than a box takes connections", Subject: "replicas, boxes.connections",
		Format: "%[1]d replicas may hold a connection and a probe at a box, which takes %[2]d",
		Reason: "A box that has no connection left refuses requests, and its sidecars take it for sick",
		Remedy: "Have fewer replicas share the boxes, or have boxes take more connections",
		against: func(u *unit, report reportFunc) {
			if limit := u.site.Servers.Connections; limit > 0 && 2*u.app.Replicas > limit {
				report(u.at("replicas").with(u.atSite("boxes.connections")), u.app.Replicas, limit)
			}
		}},
	{Code: "HW095", Severity: Error, Title: "capture beyond a quarter of the memory", Subject: "capture.bytes, limits.memory",
		Format: "the capture takes %[1]s, more than a quarter of %[2]s",
		Reason: "A dump copies it, and the sidecar is killed beyond its memory, with all requests in it",
		Remedy: "Write at most a quarter of limits.memory",
		features: func(u *unit, report reportFunc) {
			if c := u.features.Capture; c != nil && u.app != nil && c.Bytes > u.app.Limits.Memory/4 {
				report(u.atFeature("capture.bytes").with(u.at("limits.memory")), c.Bytes, u.app.Limits.Memory)
			}
		}},
	{Code: "HW096", Severity: Error, Title: "capture with segments too small", Subject: "capture.bytes, capture.files",
		Format: "%[1]s in %[2]d segments leaves less than 8KiB for each",
		Reason: "A segment begins with a checkpoint of the decisions, which would fill it",
		Remedy: "Write a larger capture.bytes, or fewer capture.files",
		features: func(u *unit, report reportFunc) {
			if c := u.features.Capture; c != nil && c.Files > 0 && int64(c.Bytes)/int64(c.Files) < segment {
				report(u.atFeature("capture.bytes").with(u.atFeature("capture.files")), c.Bytes, c.Files)
			}
		}},
	{Code: "HW097", Severity: Warning, Title: "settings that take the memory", Subject: "capture.bytes, admission.waiting, the file of groups, limits.memory",
		Format: "capture, waiting requests and groups of quotas may take %[1]s of %[2]s, and the process needs 64MiB",
		Reason: "The sidecar is killed beyond its memory, with all requests in it",
		Remedy: "Write a larger limits.memory, or smaller capture.bytes and admission.waiting, or fewer groups",
		features: func(u *unit, report reportFunc) {
			if u.app != nil && u.bufferBytes()+baseMemoryBytes > u.app.Limits.Memory {
				report(u.at("limits.memory").with(u.atFeature("capture.bytes"), u.atFeature("admission.waiting")), u.bufferBytes(), u.app.Limits.Memory)
			}
		}},
	{Code: "HW098", Severity: Error, Title: "memory that is no whole MiB", Subject: "limits.memory",
		Format: "%[1]s is not a whole number of MiB",
		Reason: "The platform's file counts in MiB, and the sidecar refuses a fraction",
		Remedy: "Write whole MiB",
		app: func(u *unit, report reportFunc) {
			if m := u.app.Limits.Memory; m%(1<<20) != 0 {
				report(u.at("limits.memory"), m)
			}
		}},
	{Code: "HW099", Severity: Warning, Title: "usual load that makes the instance not ready", Subject: "client.rate, class.deadline, health.max_open",
		Format: "%[1]g requests a second that last up to %[2]s are more than the %[3]d open requests of health.max_open",
		Reason: "The instance reports that it is not ready on a slow day, just when it is needed",
		Remedy: "Write a max_open of at least %[4]d",
		features: func(u *unit, report reportFunc) {
			if u.app == nil || u.features.Health == nil || u.features.Health.Port == 0 {
				return
			}
			longest := appconfig.Duration(0)
			for _, c := range u.app.Classes {
				longest = max(longest, c.Deadline)
			}
			if open := u.app.Client.Rate * longest.S(); open > float64(u.features.Health.MaxOpen) {
				report(u.atFeature("health.max_open").with(u.at("client.rate")), u.app.Client.Rate, longest, u.features.Health.MaxOpen, int(math.Ceil(open)))
			}
		}},
	{Code: "HW100", Severity: Error, Title: "instance that is never ready", Subject: "health.min_usable, boxes.count",
		Format: "%[1]d boxes must be usable, and the site has %[2]d",
		Reason: "The instance never reports that it is ready, and nothing is sent to it",
		Remedy: "Write a min_usable of at most %[2]d",
		features: func(u *unit, report reportFunc) {
			if h := u.features.Health; h != nil && u.site != nil && u.site.Servers.Count > 0 && h.MinUsable > u.site.Servers.Count {
				report(u.atFeature("health.min_usable").with(u.atSite("boxes.count")), h.MinUsable, u.site.Servers.Count)
			}
		}},
	{Code: "HW101", Severity: Warning, Title: "list that is too old all the time", Subject: "health.list_age",
		Format: "the list may be %[1]s old, and discovery says something every 2s",
		Reason: "The instance is not ready again and again though all is well",
		Remedy: "Write a list_age of at least 4s",
		features: func(u *unit, report reportFunc) {
			if h := u.features.Health; h != nil && h.Port > 0 && h.ListAge <= appconfig.Seconds(2) {
				report(u.atFeature("health.list_age"), h.ListAge)
			}
		}},
	{Code: "HW102", Severity: Warning, Title: "side port without a port", Subject: "health.port",
		Format: "health is set up without a port",
		Reason: "Nobody can ask, and whoever counts on it sees a dead instance",
		Remedy: "Write health.port, or take health out",
		features: func(u *unit, report reportFunc) {
			if h := u.features.Health; h != nil && h.Port == 0 {
				report(u.atFeature("health.port"))
			}
		}},
	{Code: "HW103", Severity: Warning, Title: "secret that all can read", Subject: "the file's permissions, drill_secret_sha256",
		Format: "the file holds the hash of a secret, and everybody on the machine may read it (mode %[1]s)",
		Reason: "A short secret is found from its hash in minutes, and whoever has it can slow requests down or refuse them",
		Remedy: "chmod o-r the file",
		features: func(u *unit, report reportFunc) {
			if u.features.DrillSecret != "" && u.featuresFile.Mode.IsRegular() && u.featuresFile.Mode.Perm()&0o004 != 0 {
				report(u.atFeature("drill_secret_sha256"), u.featuresFile.Mode.Perm())
			}
		}},
	{Code: "HW104", Severity: Warning, Title: "file that all can write", Subject: "the file's permissions",
		Format: "everybody on the machine may write the file (mode %[1]s)",
		Reason: "SIGHUP takes in whatever stands there, also another discovery",
		Remedy: "chmod o-w the file",
		app:    func(u *unit, report reportFunc) { reportWorldWritable(u.file, report) },
		features: func(u *unit, report reportFunc) {
			if u.featuresFile != u.file {
				reportWorldWritable(u.featuresFile, report)
			}
		}},
	{Code: "HW105", Severity: Warning, Title: "folder that moves", Subject: "capture.dir, quotas.dir",
		Format: "%[1]q is %[2]s",
		Reason: "Whoever looks for the capture after an incident, or for snapshots after a restart, finds nothing",
		Remedy: "Write the whole path of a folder that lasts",
		features: func(u *unit, report reportFunc) {
			dirs := map[string]string{}
			if c := u.features.Capture; c != nil {
				dirs["capture.dir"] = c.Dir
			}
			if q := u.features.Quotas; q != nil {
				dirs["quotas.dir"] = q.Dir
			}
			for field, dir := range dirs {
				if dir != "" && !strings.HasPrefix(dir, "/") {
					report(u.atFeature("%s", field), dir, "relative to wherever the sidecar is started")
				} else if dir == "/tmp" || strings.HasPrefix(dir, "/tmp/") {
					report(u.atFeature("%s", field), dir, "emptied now and then")
				}
			}
		}},
}

func reportWorldWritable(f *appconfig.File, report reportFunc) {
	if f.Mode.IsRegular() && f.Mode != 0 && f.Mode.Perm()&0o002 != 0 && f.Mode&fs.ModeType == 0 {
		report(ref{file: f, path: "-"}, f.Mode.Perm())
	}
}
