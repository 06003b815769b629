// Package quotas connects the sidecar to the decisions of package quota: it reads the file of groups, finds the group of a request
// and stores snapshots of the limiter on disk. It serves the sidecar in service; the router fleet's limits are in package admission.
package quotas
