#include "bulrushpost/suggest.h"

#include <glib.h>

/* Longer words are not compared, as nobody types names of that length. */
#define MAX_CHARS 64
/* Number of characters for each edit allowed between word and suggestion. */
#define CHARS_PER_EDIT 3

static gboolean
read_word(const char *word, gunichar **out, glong *length)
{
	if (!g_utf8_validate(word, -1, NULL) ||
	    g_utf8_strlen(word, -1) > MAX_CHARS)
		return FALSE;
	*out = g_utf8_to_ucs4_fast(word, -1, length);
	return TRUE;
}

/*
 * Returns the edit distance of two UTF-8 words in characters, where a swap of
 * two neighbours is one edit (optimal string alignment), or G_MAXUINT when
 * one is longer than 64 characters or not valid UTF-8.
 */
unsigned int
bp_suggest_distance(const char *a, const char *b)
{
	unsigned int rows[3][MAX_CHARS + 1];
	gunichar *x;
	gunichar *y;
	glong n;
	glong m;
	glong i;
	glong j;

	if (!read_word(a, &x, &n))
		return G_MAXUINT;
	if (!read_word(b, &y, &m)) {
		g_free(x);
		return G_MAXUINT;
	}
	for (j = 0; j <= m; j++)
		rows[0][j] = (unsigned int)j;
	for (i = 1; i <= n; i++) {
		unsigned int *row = rows[i % 3];
		const unsigned int *above = rows[(i + 2) % 3];

		row[0] = (unsigned int)i;
		for (j = 1; j <= m; j++) {
			row[j] = above[j - 1] + (x[i - 1] == y[j - 1] ? 0 : 1);
			row[j] = MIN(row[j], MIN(above[j], row[j - 1]) + 1);
			if (i > 1 && j > 1 && x[i - 1] == y[j - 2] &&
			    x[i - 2] == y[j - 1])
				row[j] =
				    MIN(row[j], rows[(i + 1) % 3][j - 2] + 1);
		}
	}
	g_free(x);
	g_free(y);
	return rows[n % 3][m];
}

/*
 * Returns the entry of the NULL-terminated list that is closest to word, the
 * first one of equals, or NULL if none is similar enough.
 */
const char *
bp_suggest(const char *word, const char *const *known)
{
	const char *best = NULL;
	unsigned int best_distance = G_MAXUINT;
	unsigned int limit;
	size_t i;

	if (known == NULL || !g_utf8_validate(word, -1, NULL))
		return NULL;
	limit = (unsigned int)g_utf8_strlen(word, -1) / CHARS_PER_EDIT;
	limit = MAX(limit, 1U);
	for (i = 0; known[i] != NULL; i++) {
		unsigned int distance = bp_suggest_distance(word, known[i]);

		if (distance <= limit && distance < best_distance) {
			best_distance = distance;
			best = known[i];
		}
	}
	return best;
}
