#include "bulrushpost/metrics.h"

#include <stdarg.h>
#include <stdbool.h>
#include <string.h>

/* Bounds the memory used by labels with unbounded values. */
#define SERIES_MAX 4096
#define OVERFLOW_NAME "bulrushpost_metrics_dropped_series"

struct bp_metric {
	bool is_counter;
	uint64_t count; /* of a counter */
	double value; /* of a gauge */
};

typedef struct {
	bp_metrics_collect_t collect;
	void *data;
} collector_t;

struct bp_metrics {
	GHashTable *series; /* name{labels} to bp_metric_t */
	GArray *collectors;
};

/* Creates an empty set of metrics. Free with bp_metrics_free. */
bp_metrics_t *
bp_metrics_new(void)
{
	bp_metrics_t *metrics = g_new0(bp_metrics_t, 1);

	metrics->series =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	metrics->collectors = g_array_new(FALSE, FALSE, sizeof(collector_t));
	return metrics;
}

/* Frees the set with all its series. NULL is allowed. */
void
bp_metrics_free(bp_metrics_t *metrics)
{
	if (metrics == NULL)
		return;
	g_hash_table_unref(metrics->series);
	g_array_unref(metrics->collectors);
	g_free(metrics);
}

static void
append_label(GString *key, const char *label, const char *value)
{
	const char *p;

	g_string_append_printf(
	    key, "%s%s=\"", key->str[key->len - 1] == '{' ? "" : ",", label);
	for (p = value; *p != '\0'; p++) {
		if (*p == '\n') {
			g_string_append(key, "\\n");
			continue;
		}
		if (*p == '"' || *p == '\\')
			g_string_append_c(key, '\\');
		g_string_append_c(key, *p);
	}
	g_string_append_c(key, '"');
}

static char *
series_key(const char *name, va_list args)
{
	const char *label = va_arg(args, const char *);
	GString *key = g_string_new(name);

	if (label == NULL)
		return g_string_free(key, FALSE);
	g_string_append_c(key, '{');
	while (label != NULL) {
		const char *value = va_arg(args, const char *);

		append_label(key, label, value != NULL ? value : "");
		label = va_arg(args, const char *);
	}
	g_string_append_c(key, '}');
	return g_string_free(key, FALSE);
}

static bp_metric_t *
insert(bp_metrics_t *metrics, char *key, bool is_counter)
{
	bp_metric_t *metric = g_new0(bp_metric_t, 1);

	metric->is_counter = is_counter;
	g_hash_table_insert(metrics->series, key, metric);
	return metric;
}

/* Takes ownership of the key. Above the limit all new series share one. */
static bp_metric_t *
find_or_add(bp_metrics_t *metrics, char *key, bool is_counter)
{
	bp_metric_t *metric = g_hash_table_lookup(metrics->series, key);

	if (metric == NULL && g_hash_table_size(metrics->series) < SERIES_MAX)
		return insert(metrics, key, is_counter);
	g_free(key);
	if (metric != NULL)
		return metric;
	metric = g_hash_table_lookup(metrics->series, OVERFLOW_NAME);
	if (metric == NULL)
		metric = insert(metrics, g_strdup(OVERFLOW_NAME), true);
	metric->count++;
	return metric;
}

/* Returns the counter of that name and labels; a new one is 0. */
bp_metric_t *
bp_metrics_counter(bp_metrics_t *metrics, const char *name, ...)
{
	va_list args;
	char *key;

	va_start(args, name);
	key = series_key(name, args);
	va_end(args);
	return find_or_add(metrics, key, true);
}

/* Returns the gauge of that name and labels; a new one is 0. */
bp_metric_t *
bp_metrics_gauge(bp_metrics_t *metrics, const char *name, ...)
{
	va_list args;
	char *key;

	va_start(args, name);
	key = series_key(name, args);
	va_end(args);
	return find_or_add(metrics, key, false);
}

/* Increments a counter; has no effect on a gauge. */
void
bp_metric_add(bp_metric_t *metric, uint64_t amount)
{
	if (metric->is_counter)
		metric->count += amount;
}

/* Sets a gauge; has no effect on a counter. */
void
bp_metric_set(bp_metric_t *metric, double value)
{
	if (!metric->is_counter)
		metric->value = value;
}

/* Returns the current value. */
double
bp_metric_value(const bp_metric_t *metric)
{
	return metric->is_counter ? (double)metric->count : metric->value;
}

/* Adds a function that sets gauges before each exposition. */
void
bp_metrics_on_collect(
    bp_metrics_t *metrics, bp_metrics_collect_t collect, void *data)
{
	collector_t collector = {collect, data};

	g_array_append_val(metrics->collectors, collector);
}

static gint
compare_keys(gconstpointer a, gconstpointer b)
{
	return strcmp(a, b);
}

/*
 * Returns all series, sorted, one name{label="value"} number per line. Free
 * with g_free.
 */
char *
bp_metrics_text(bp_metrics_t *metrics)
{
	GString *text = g_string_new(NULL);
	char number[G_ASCII_DTOSTR_BUF_SIZE];
	GList *keys;
	GList *key;
	guint i;

	for (i = 0; i < metrics->collectors->len; i++) {
		collector_t collector =
		    g_array_index(metrics->collectors, collector_t, i);

		collector.collect(metrics, collector.data);
	}
	keys =
	    g_list_sort(g_hash_table_get_keys(metrics->series), compare_keys);
	for (key = keys; key != NULL; key = key->next) {
		const bp_metric_t *metric =
		    g_hash_table_lookup(metrics->series, key->data);

		if (metric->is_counter)
			g_string_append_printf(text,
			    "%s %" G_GUINT64_FORMAT "\n",
			    (const char *)key->data, metric->count);
		else
			g_string_append_printf(text, "%s %s\n",
			    (const char *)key->data,
			    g_ascii_formatd(
				number, sizeof(number), "%.9g", metric->value));
	}
	g_list_free(keys);
	return g_string_free(text, FALSE);
}
