#ifndef BP_BENCH_EVENT_HEAP_H
#define BP_BENCH_EVENT_HEAP_H

#include <glib.h>
#include <stdint.h>

/* Future events of a simulation, earliest first. */
typedef struct {
	int64_t at_us;
	int kind;
	uint32_t index;
	void *data;
} event_t;

void event_heap_push(GArray *heap, event_t event);
event_t event_heap_pop(GArray *heap);

#endif
