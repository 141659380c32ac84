#ifndef BP_QUEUES_DESK_PRIVATE_H
#define BP_QUEUES_DESK_PRIVATE_H

#include "queues/desk.h"

/* Reason for which a stopped job router refuses calls. */
#define BP_DESK_STOPS "the node is stopping"

typedef enum {
	BP_DESKCALL_SUBMIT,
	BP_DESKCALL_STATUS,
	BP_DESKCALL_CANCEL,
	BP_DESKCALL_COUNT
} bp_deskcall_kind_t;

struct bp_queuedesk {
	bp_queuedesk_options_t options;
	const bp_catalog_t *catalog;
	GHashTable *calls; /* set of open bp_deskcall_t */
	bool stopped; /* refuses calls */
};

/* A call on a job, which may be attempted at several owners in turn. */
typedef struct bp_deskcall {
	bp_queuedesk_t *desk; /* NULL once the call is answered */
	bp_deskcall_kind_t kind;
	uint32_t shard;
	char *queue;
	char *id;
	Bp__Work__Job *job;
	int64_t start_ms; /* mono */
	int64_t deadline_ms; /* mono */
	bool uncertain; /* an earlier attempt may have taken effect */
	bool trying; /* an attempt is in flight */
	bp_desk_done_t done;
	void *data;
	guint timer;
} bp_deskcall_t;

/* Returns the time on the monotonic clock by which the answer has to be sent
 * to a caller that waits for deadline_ms. */
int64_t bp_desk_due_ms(const bp_queuedesk_t *desk, uint32_t deadline_ms);
/* Creates an open call. Job and deadline are to be set before it is tried. */
bp_deskcall_t *bp_deskcall_new(bp_queuedesk_t *desk, bp_deskcall_kind_t kind,
    const char *queue, const char *id, bp_desk_done_t done, void *data);
/* Attempts the call at the owner of its shard, if that is known now. */
void bp_deskcall_try(bp_deskcall_t *call);
/* Answers the call as refused, or with an unknown outcome. */
void bp_deskcall_give_up(bp_deskcall_t *call, const char *reason);

#endif
