#ifndef BULRUSHPOST_MESSAGE_H
#define BULRUSHPOST_MESSAGE_H

#include <glib.h>
#include <protobuf-c/protobuf-c.h>

/* What all protobuf messages share; pass &message.base. */

/* The packed message; free with g_bytes_unref. */
GBytes *bp_message_pack(const ProtobufCMessage *message);
/* Lets a bytes field refer to packed bytes, which must outlive its use. */
void bp_message_refer(ProtobufCBinaryData *field, GBytes *bytes);
/* A deep copy; free with the free_unpacked of its type. */
void *bp_message_copy(const ProtobufCMessage *message);

#endif
