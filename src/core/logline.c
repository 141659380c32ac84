#include "bulrushpost/logline.h"

#include <fcntl.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define MS_PER_S 1000
#define MILLI 1000
/* Capacity of the token bucket, in seconds of the line rate. */
#define BURST_S 2
/* One message may take this part of the lines of a second, so that what a fault
 * repeats for each executor or task leaves room for the other messages. */
#define MESSAGE_PARTS 4
/* Facility "daemon" of RFC 5424, shifted as in a priority value. */
#define FACILITY_DAEMON (3 << 3)

struct bp_logger {
	const bp_clock_t *clock;
	char *process;
	bp_log_level_t level;
	int fd;
	uint32_t lines_per_s; /* 0: unlimited */
	int64_t tokens_milli; /* thousandths of a line */
	int64_t refilled_at_ms; /* monotonic ms */
	GHashTable *message_lines; /* message to its lines in this second */
	int64_t message_lines_since_ms; /* monotonic ms */
	uint64_t dropped_lines;
};

static const struct {
	bp_log_level_t level;
	const char *name;
} level_names[] = {
    {BP_LOG_ERR, "err"},
    {BP_LOG_WARNING, "warning"},
    {BP_LOG_NOTICE, "notice"},
    {BP_LOG_INFO, "info"},
    {BP_LOG_DEBUG, "debug"},
};

/*
 * Creates a logger that writes lines of the given severity or a higher one to
 * standard error. Each line contains the process name.
 */
bp_logger_t *
bp_logger_new(
    const bp_clock_t *clock, const char *process, bp_log_level_t level)
{
	bp_logger_t *logger = g_new0(bp_logger_t, 1);

	logger->clock = clock;
	logger->process = g_strdup(process);
	logger->level = level;
	logger->fd = STDERR_FILENO;
	logger->message_lines =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return logger;
}

/* Frees a logger. NULL is allowed. */
void
bp_logger_free(bp_logger_t *logger)
{
	if (logger == NULL)
		return;
	g_hash_table_unref(logger->message_lines);
	g_free(logger->process);
	g_free(logger);
}

/* See the header. */
void
bp_logger_set_stdout(bp_logger_t *logger, uint32_t lines_per_s)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	logger->fd = STDOUT_FILENO;
	logger->lines_per_s = lines_per_s;
	logger->tokens_milli = (int64_t)lines_per_s * BURST_S * MILLI;
	logger->refilled_at_ms = bp_clock_mono_ms(logger->clock);
	if (flags >= 0)
		(void)fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

/* Counts a line of a message; returns whether the message has not taken its
 * part of this second. */
static bool
within_message_part(bp_logger_t *logger, const char *message)
{
	int64_t now_ms = bp_clock_mono_ms(logger->clock);
	guint lines;

	if (logger->lines_per_s == 0)
		return true;
	if (now_ms - logger->message_lines_since_ms >= MS_PER_S) {
		g_hash_table_remove_all(logger->message_lines);
		logger->message_lines_since_ms = now_ms;
	}
	lines = GPOINTER_TO_UINT(
	    g_hash_table_lookup(logger->message_lines, message));
	if (lines >= MAX(logger->lines_per_s / MESSAGE_PARTS, 1))
		return false;
	g_hash_table_replace(logger->message_lines, g_strdup(message),
	    GUINT_TO_POINTER(lines + 1));
	return true;
}

/* Takes a token; lines from warning upwards pass even without one. */
static bool
take_token(bp_logger_t *logger, bp_log_level_t level)
{
	int64_t now_ms;
	int64_t capacity_milli;

	if (logger->lines_per_s == 0)
		return true;
	now_ms = bp_clock_mono_ms(logger->clock);
	capacity_milli = (int64_t)logger->lines_per_s * BURST_S * MILLI;
	logger->tokens_milli +=
	    (now_ms - logger->refilled_at_ms) * logger->lines_per_s;
	logger->tokens_milli = MIN(logger->tokens_milli, capacity_milli);
	logger->refilled_at_ms = now_ms;
	if (logger->tokens_milli < MILLI && level > BP_LOG_WARNING)
		return false;
	logger->tokens_milli -= MILLI;
	return true;
}

/* A line that is not written whole, as the pipe is full, counts as dropped. */
static void
write_line(bp_logger_t *logger, const GString *line)
{
	if (write(logger->fd, line->str, line->len) != (ssize_t)line->len)
		logger->dropped_lines++;
}

/* Parses a level name; returns 0, or -1 for an unknown name. */
int
bp_log_level_parse(bp_log_level_t *out, const char *name)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(level_names); i++) {
		if (strcmp(level_names[i].name, name) == 0) {
			*out = level_names[i].level;
			return 0;
		}
	}
	return -1;
}

/*
 * Replaces control characters by spaces and escapes quotes, so that a value
 * cannot forge lines or fields.
 */
static void
append_value(GString *line, const char *value)
{
	gboolean quote = value[0] == '\0' || strpbrk(value, " \"=") != NULL;
	const char *p;

	if (quote)
		g_string_append_c(line, '"');
	for (p = value; *p != '\0'; p++) {
		if (*p == '"' || *p == '\\')
			g_string_append_c(line, '\\');
		g_string_append_c(line, (unsigned char)*p < ' ' ? ' ' : *p);
	}
	if (quote)
		g_string_append_c(line, '"');
}

static void
append_prefix(GString *line, const bp_logger_t *logger, bp_log_level_t level)
{
	int64_t wall_ms = bp_clock_wall_ms(logger->clock);
	GDateTime *at = g_date_time_new_from_unix_utc(wall_ms / MS_PER_S);
	char *stamp = g_date_time_format(at, "%Y-%m-%dT%H:%M:%S");

	g_string_append_printf(line,
	    "<%d>%s.%03dZ %s[%d]: ", FACILITY_DAEMON | (int)level, stamp,
	    (int)(wall_ms % MS_PER_S), logger->process, (int)getpid());
	g_free(stamp);
	g_date_time_unref(at);
}

/*
 * Writes one line: priority, time, process, then level, module, msg and the
 * given key=value pairs. A NULL logger discards the line.
 */
void
bp_log(bp_logger_t *logger, bp_log_level_t level, const char *module,
    const char *message, ...)
{
	GString *line;
	va_list args;
	const char *key;
	size_t i;

	if (logger == NULL || level > logger->level)
		return;
	if ((level > BP_LOG_WARNING && !within_message_part(logger, message)) ||
	    !take_token(logger, level)) {
		logger->dropped_lines++;
		return;
	}
	line = g_string_sized_new(256);
	append_prefix(line, logger, level);
	for (i = 0; i < G_N_ELEMENTS(level_names); i++) {
		if (level_names[i].level == level)
			g_string_append_printf(
			    line, "level=%s ", level_names[i].name);
	}
	g_string_append_printf(line, "module=%s msg=", module);
	append_value(line, message);
	va_start(args, message);
	while ((key = va_arg(args, const char *)) != NULL) {
		const char *value = va_arg(args, const char *);

		g_string_append_printf(line, " %s=", key);
		append_value(line, value != NULL ? value : "");
	}
	va_end(args);
	if (logger->dropped_lines > 0) {
		g_string_append_printf(line, " left_out=%" G_GUINT64_FORMAT,
		    logger->dropped_lines);
		logger->dropped_lines = 0;
	}
	g_string_append_c(line, '\n');
	write_line(logger, line);
	g_string_free(line, TRUE);
}
