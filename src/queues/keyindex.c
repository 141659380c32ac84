#include "queues/keyindex.h"

#include <glib.h>
#include <string.h>
#include <unistd.h>

#define DIGEST_BYTES 32

struct bp_key_index {
	GHmac *base; /* keyed with the secret, before any text */
	GHashTable *owners; /* digest_t to the owner */
};

typedef struct {
	guint8 bytes[DIGEST_BYTES];
} digest_t;

static guint
hash_digest(gconstpointer digest)
{
	guint hash;

	memcpy(&hash, ((const digest_t *)digest)->bytes, sizeof(hash));
	return hash;
}

/* Compares all bytes, wherever the digests differ. */
static gboolean
equal_digests(gconstpointer a, gconstpointer b)
{
	const digest_t *first = a;
	const digest_t *second = b;
	guint8 difference = 0;
	size_t i;

	for (i = 0; i < DIGEST_BYTES; i++)
		difference |= first->bytes[i] ^ second->bytes[i];
	return difference == 0;
}

static void
digest_of(digest_t *out, const bp_key_index_t *index, const char *key)
{
	GHmac *hmac = g_hmac_copy(index->base);
	gsize size = DIGEST_BYTES;

	g_hmac_update(hmac, (const guchar *)key, (gssize)strlen(key));
	g_hmac_get_digest(hmac, out->bytes, &size);
	g_hmac_unref(hmac);
}

/* Creates an empty index with a secret of its own. */
bp_key_index_t *
bp_key_index_new(void)
{
	bp_key_index_t *index = g_new0(bp_key_index_t, 1);
	guint8 secret[DIGEST_BYTES];

	/* Only a kernel without getrandom fails; GLib's generator is seeded
	 * from /dev/urandom. */
	if (getentropy(secret, sizeof(secret)) != 0) {
		size_t i;

		for (i = 0; i < sizeof(secret); i++)
			secret[i] = (guint8)g_random_int();
	}
	index->base = g_hmac_new(G_CHECKSUM_SHA256, secret, sizeof(secret));
	explicit_bzero(secret, sizeof(secret));
	index->owners =
	    g_hash_table_new_full(hash_digest, equal_digests, g_free, NULL);
	return index;
}

/* Frees the index, not the owners. NULL is allowed. */
void
bp_key_index_free(bp_key_index_t *index)
{
	if (index == NULL)
		return;
	g_hmac_unref(index->base);
	g_hash_table_unref(index->owners);
	g_free(index);
}

/* See the header. */
void
bp_key_index_add(bp_key_index_t *index, const char *key, const void *owner)
{
	digest_t *digest = g_new(digest_t, 1);

	digest_of(digest, index, key);
	if (g_hash_table_contains(index->owners, digest))
		g_free(digest);
	else
		g_hash_table_insert(index->owners, digest, (gpointer)owner);
}

/* See the header. */
const void *
bp_key_index_find(const bp_key_index_t *index, const char *key)
{
	digest_t digest;

	digest_of(&digest, index, key);
	return g_hash_table_lookup(index->owners, &digest);
}
