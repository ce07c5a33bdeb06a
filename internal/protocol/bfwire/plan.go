package bfwire

import "briarferry/internal/coordination/bfplan"

// The kinds of messages about the plan of regions. Their numbers are fixed, as other kinds are
// added independently.
const (
	// KindPlanReport marks a *PlanReport.
	KindPlanReport byte = 20
	// KindPlanReply marks a *PlanReply.
	KindPlanReply byte = 21
)

type (
	// PlanReport carries an entry's demand to the leader.
	PlanReport = bfplan.Report
	// PlanReply answers a PlanReport with the plan of the entry's region.
	PlanReply = bfplan.Reply
)
