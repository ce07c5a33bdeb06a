package bfcontrol

import (
	"expvar"
	"sync"
)

var (
	counters struct {
		badDatagrams, reports, lookups, unconfirmed, abandoned expvar.Int
		// quotaLimited is the number of organisations that are limited now.
		quotaReports, quotaRedirects, quotaTokens, quotaLimited expvar.Int
		planReports, planReportsIgnored                         expvar.Int
		// unconfirmedTables counts the confirmations of the route table that failed.
		unconfirmedTables expvar.Int
	}
	publishOnce sync.Once
)

// publishMetrics publishes the metrics of the first control node that is set up. A process
// has only one, except in tests.
func publishMetrics(n *Node) {
	publishOnce.Do(func() {
		m := expvar.NewMap("control")
		m.Set("bad_datagrams", &counters.badDatagrams)
		m.Set("server_reports", &counters.reports)
		m.Set("lookups", &counters.lookups)
		m.Set("unconfirmed_orders", &counters.unconfirmed)
		m.Set("abandoned_orders", &counters.abandoned)
		m.Set("quota_reports", &counters.quotaReports)
		m.Set("quota_redirects", &counters.quotaRedirects)
		m.Set("quota_single_tokens", &counters.quotaTokens)
		m.Set("quota_limited_organisations", &counters.quotaLimited)
		m.Set("quotas", expvar.Func(n.quotas.metrics))
		m.Set("unconfirmed_tables", &counters.unconfirmedTables)
		m.Set("plan_reports", &counters.planReports)
		m.Set("plan_reports_ignored", &counters.planReportsIgnored)
		m.Set("plan", expvar.Func(func() any { return n.plan.status() }))
		m.Set("replica", expvar.Func(func() any { return n.replica.Status() }))
		m.Set("revision", expvar.Func(func() any { return n.machine.State().Revision }))
	})
}
