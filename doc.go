// Package briarferry holds the domain types of the traffic steering system and
// the interfaces whose implementations vary.
//
// Domain types carry their wire tags and validate themselves. The packages under
// internal are layered: transport, protocol, coordination, state; imports point
// down only, and every layer may import this package.
package briarferry
