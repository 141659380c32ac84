#include "event_heap.h"

#define AT(heap, i) g_array_index(heap, event_t, i)

/* Adds an event to a heap, an array of event_t. */
void
event_heap_push(GArray *heap, event_t event)
{
	guint i = heap->len;

	g_array_append_val(heap, event);
	while (i > 0 && AT(heap, (i - 1) / 2).at_us > event.at_us) {
		AT(heap, i) = AT(heap, (i - 1) / 2);
		i = (i - 1) / 2;
	}
	AT(heap, i) = event;
}

/* Removes and returns the earliest event; the heap must not be empty. */
event_t
event_heap_pop(GArray *heap)
{
	event_t first = AT(heap, 0);
	event_t last = AT(heap, heap->len - 1);
	guint i = 0;

	g_array_set_size(heap, heap->len - 1);
	while (2 * i + 1 < heap->len) {
		guint child = 2 * i + 1;

		if (child + 1 < heap->len &&
		    AT(heap, child + 1).at_us < AT(heap, child).at_us)
			child++;
		if (AT(heap, child).at_us >= last.at_us)
			break;
		AT(heap, i) = AT(heap, child);
		i = child;
	}
	if (heap->len > 0)
		AT(heap, i) = last;
	return first;
}
