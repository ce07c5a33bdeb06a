// Package systemtest runs the system as separate processes and brings about the
// failures that it must survive.
package systemtest
