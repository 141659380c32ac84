#include "queues/callcounters.h"

/* Customers with a series of their own; the platform has some 20. */
#define CUSTOMERS_MAX 64

struct bp_call_counters {
	bp_metrics_t *metrics;
	GHashTable *customers; /* names to bp_metric_t */
};

/* Creates the counters in a set of metrics, which has to live longer. */
bp_call_counters_t *
bp_call_counters_new(bp_metrics_t *metrics)
{
	bp_call_counters_t *counters = g_new0(bp_call_counters_t, 1);

	counters->metrics = metrics;
	counters->customers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return counters;
}

/* Frees the counters, not the metrics. NULL is allowed. */
void
bp_call_counters_free(bp_call_counters_t *counters)
{
	if (counters == NULL)
		return;
	g_hash_table_unref(counters->customers);
	g_free(counters);
}

/* The customers that are seen first are counted by name, the others in one
 * sum. */
static bp_metric_t *
series_of(bp_call_counters_t *counters, const char *customer)
{
	bp_metric_t *series;

	if (customer[0] == '\0')
		return bp_metrics_counter(
		    counters->metrics, "bp_public_calls", NULL);
	series = g_hash_table_lookup(counters->customers, customer);
	if (series != NULL)
		return series;
	if (g_hash_table_size(counters->customers) >= CUSTOMERS_MAX)
		return bp_metrics_counter(
		    counters->metrics, "bp_customer_calls_others", NULL);
	series = bp_metrics_counter(
	    counters->metrics, "bp_customer_calls", "customer", customer, NULL);
	g_hash_table_insert(counters->customers, g_strdup(customer), series);
	return series;
}

/* See the header. */
void
bp_call_counters_count(
    bp_call_counters_t *counters, const bp_access_t *access, bool has_key)
{
	const char *reason = NULL;

	if (counters == NULL)
		return;
	switch (access->verdict) {
	case BP_ACCESS_ALLOWED:
		bp_metric_add(series_of(counters, access->customer), 1);
		return;
	case BP_ACCESS_UNAUTHORIZED:
		reason = has_key ? "unknown_key" : "no_key";
		break;
	case BP_ACCESS_NOT_FOUND:
		reason = "no_queue";
		break;
	case BP_ACCESS_UNCONFIRMED:
		reason = "unconfirmed";
		break;
	}
	bp_metric_add(bp_metrics_counter(counters->metrics, "bp_calls_refused",
			  "reason", reason, NULL),
	    1);
}
