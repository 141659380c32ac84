#ifndef BULRUSHPOST_SUGGEST_H
#define BULRUSHPOST_SUGGEST_H

#include <stddef.h>

/* For error messages: finds the known word closest to a mistyped one. */
const char *bp_suggest(const char *word, const char *const *known);
unsigned int bp_suggest_distance(const char *a, const char *b);

#endif
