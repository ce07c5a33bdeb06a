// Package briarferry defines the domain types of the traffic steering system, and the
// interfaces that have several implementations.
//
// Domain types have encoding tags and validate themselves. The packages under internal
// form four layers: transport, protocol, coordination and state, from top to bottom. A
// package may import packages of lower layers, and every layer may import this package.
package briarferry
