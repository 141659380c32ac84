#ifndef BP_CLIENTS_VMPARSE_H
#define BP_CLIENTS_VMPARSE_H

#include "bulrushpost/vmlist.h"

#define BP_VMLIST_MAX_BYTES (8U * 1024 * 1024)
#define BP_VMLIST_MAX_VMS 20000U

int bp_vmlist_parse(uint64_t *version, GHashTable **out, const char *json,
    size_t size_bytes, bp_error_t *err);
void bp_vmlist_vm_free(void *vm);

#endif
