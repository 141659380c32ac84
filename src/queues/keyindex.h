#ifndef BP_QUEUES_KEYINDEX_H
#define BP_QUEUES_KEYINDEX_H

/*
 * Finds the owner of a secret key without comparing keys: both sides are
 * hashed with a secret of this index, so that neither the position of the
 * first wrong character nor a shared prefix shows in the time of a look-up.
 */
typedef struct bp_key_index bp_key_index_t;

bp_key_index_t *bp_key_index_new(void);
void bp_key_index_free(bp_key_index_t *index);
/* Adds a key; the first owner of a key keeps it. The index holds no copy of
 * the key. */
void bp_key_index_add(
    bp_key_index_t *index, const char *key, const void *owner);
/* Returns the owner, NULL for none. */
const void *bp_key_index_find(const bp_key_index_t *index, const char *key);

#endif
