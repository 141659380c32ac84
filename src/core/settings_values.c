#include "core/settings_internal.h"

#include <gio/gio.h>
#include <string.h>

/* Names also occur in rule files, where blanks and , # / are separators. */
bool
bp_settings_is_name(const char *value)
{
	const char *p;

	if (value[0] == '\0' || strlen(value) > BP_SETTINGS_NAME_MAX_BYTES)
		return false;
	for (p = value; *p != '\0'; p++) {
		if ((unsigned char)*p <= ' ' || *p == 0x7f ||
		    strchr(",#/", *p) != NULL)
			return false;
	}
	return true;
}

/* Accepts HOST:PORT with a port above 0; IPv6 addresses need brackets. */
bool
bp_settings_is_address(const char *value)
{
	GSocketConnectable *address;
	bool valid;

	if (strpbrk(value, " \t\r\n/") != NULL || value[0] == ':')
		return false;
	address = g_network_address_parse(value, 0, NULL);
	if (address == NULL)
		return false;
	valid = g_network_address_get_port(G_NETWORK_ADDRESS(address)) != 0;
	g_object_unref(address);
	return valid;
}

/* Accepts an http URL without query or fragment, as paths are appended. */
bool
bp_settings_is_url(const char *value)
{
	GUri *uri = g_uri_parse(value, G_URI_FLAGS_NONE, NULL);
	bool valid;

	if (uri == NULL)
		return false;
	valid = strcmp(g_uri_get_scheme(uri), "http") == 0 &&
	    g_uri_get_host(uri) != NULL && g_uri_get_host(uri)[0] != '\0' &&
	    g_uri_get_query(uri) == NULL && g_uri_get_fragment(uri) == NULL;
	g_uri_unref(uri);
	return valid;
}
