// Package quotas connects the sidecar to package quota, which decides whether requests are within their quotas: it reads the file of
// groups, finds the group of a request and stores snapshots of the limiter on disk. The limits of the router fleet are in package
// admission.
package quotas
