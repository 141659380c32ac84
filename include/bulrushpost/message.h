#ifndef BULRUSHPOST_MESSAGE_H
#define BULRUSHPOST_MESSAGE_H

#include <glib.h>
#include <protobuf-c/protobuf-c.h>

/* Helpers for all protobuf messages; pass &message.base. */

/* The packed message; free with g_bytes_unref. */
GBytes *bp_message_pack(const ProtobufCMessage *message);
/* Points a bytes field at packed bytes, which must outlive the field. */
void bp_message_refer(ProtobufCBinaryData *field, GBytes *bytes);
/* A deep copy; free with the free_unpacked of its type. */
void *bp_message_copy(const ProtobufCMessage *message);

#endif
