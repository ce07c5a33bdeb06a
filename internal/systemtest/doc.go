// Package systemtest holds end-to-end tests that run the system as separate processes
// and inject the failures that it must tolerate.
package systemtest
