/** @file error.c The GError domain of mangoloom. */
#include "error.h"

GQuark ml_error_quark(void)
{
	return g_quark_from_static_string("mangoloom");
}
