// Package stages decides how many model servers of a service read prompts and how many make answers, and which of them change
// their stage. It is pure; time comes as seconds.
package stages
