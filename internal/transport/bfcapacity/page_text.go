package bfcapacity

const pageHead = `# Capacity

Written by ` + "`make capacity`" + ` (internal/transport/bfcapacity); edit the program, not this page.

- Run: %s, %.0f s, %s on %s, %d cores shared with other work.
- Source: revision %s.
- Target: 520 nodes, 52 sites, 270,000 blocks, 260,000 look-ups/s, 9 regions, 26 failure domains, 1,100 configuration changes a day.
- Limits of control overhead on each node: 2.5%% of a core, 32 MB, 16 KB/s; 15 s for a change; 7 VMs reserved for control.
- Units: KB is 1,000 bytes, MB 1,000,000 bytes. Bytes per second count both directions with headers. Processor time is user and system time of the process.

Figures are projections from the lines under "Measured slopes", with the standard error of the prediction after ±. The errors cover only the scatter of the measurements, not effects that the model leaves out.

`

const pageRoles = `Assumptions of the table: heartbeats 5/s to each peer; sync 2/s; digests 5/s between a region's relays and 1/s between regions and to nodes; Raft heartbeats 4/s to each of 6 followers; each site reports all of its blocks' demand every 60 s; a configuration of 300 services. Inside a site, digests and deltas are passed along a chain, so that each node sends them once; leases are carried in heartbeats and digests. Assignment deltas are those of the events below, spread over the 15 s window of a shift cap, or over the event's length if that is longer. Reserved VMs serve no callers; their rows are compared with the same limits. The rows of the hierarchy (site meshes and relays) are projections from message costs: the relays are not built yet. Memory counts the data structures, not the Go runtime.

`

const pageRouted = `Projected for the commands entry and control (docs/platform.md), with 513 entries and 7 reserved control VMs, 1,040 backend servers that are each replaced once a day, 1,000 routes and 1,100 route tables a day. Each entry sends two heartbeats a second to each control VM. Each change sends the whole route table. Raft traffic is that of the leader's row above. The table leaves out look-ups, which control VMs serve today; 260,000 look-ups/s would be 37,000 on each of seven, so the entries have to answer them at that size.
`

const pageEvents = `Simulated with the planner at 270,000 blocks and 60% load, a step each 5 s. The shifts into a region stay under 5% of its capacity in any 15 s (10 s and the look-up TTL), a quarter of that for cold sites. A network partition between regions that lasts for minutes shows up as silent measurements: shifts towards the regions stop and nothing moves.
`

const pageNotMeasured = `## What this page does not measure yet

- Compact heartbeats, site digests and demand reports are stand-in types of the capacity program, as no package sends them yet; today's heartbeats, sync messages and changes are the types that the system sends. Calls are measured over net/http and not over Connect RPC. The last column of the measured slopes names the measured code.
- The log's disk writes, TLS and network delay are left out. The 15 s for a change are not measured here; a change goes from the leader through the region relay and the site relay to the entry, which takes three long polls.
- The region relay exceeds 16 KB/s while a failure domain is lost, and the site relay while a region is lost. Two nodes of a site can share a relay's work (one for deltas, one for digests and leases); this is not projected here.
- Memory is live data. With the garbage collector's headroom a process holds up to twice that, so a leader with the planner needs a VM that is reserved for control.
- Callers whose look-up names a lost site switch to the other sites of the list on their own for up to one TTL. The planner does not decide on that load, so no cap applies to it.
`
