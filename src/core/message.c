#include "bulrushpost/message.h"

/* See the header. */
GBytes *
bp_message_pack(const ProtobufCMessage *message)
{
	size_t size_bytes = protobuf_c_message_get_packed_size(message);
	uint8_t *bytes = g_malloc(MAX(size_bytes, 1));

	(void)protobuf_c_message_pack(message, bytes);
	return g_bytes_new_take(bytes, size_bytes);
}

/* See the header. */
void
bp_message_refer(ProtobufCBinaryData *field, GBytes *bytes)
{
	gsize size_bytes = 0;

	field->data = (uint8_t *)g_bytes_get_data(bytes, &size_bytes);
	field->len = size_bytes;
}

/* See the header. */
void *
bp_message_copy(const ProtobufCMessage *message)
{
	GBytes *packed = bp_message_pack(message);
	gsize size_bytes = 0;
	const uint8_t *bytes = g_bytes_get_data(packed, &size_bytes);
	void *copy = protobuf_c_message_unpack(
	    message->descriptor, NULL, size_bytes, bytes);

	g_bytes_unref(packed);
	return copy;
}
