/** @file error.h The GError domain of mangoloom and its error codes. */
#ifndef ERROR_H
#define ERROR_H

#include <glib.h>

#define ML_ERROR (ml_error_quark())

enum ml_error {
	ML_ERROR_SETTINGS, /**< a settings file or table is invalid */
	ML_ERROR_IO,	   /**< a socket or file failed */
	ML_ERROR_PLATFORM, /**< the platform's service refused the call or did not answer */
	ML_ERROR_CONFLICT, /**< the tables were changed concurrently */
	ML_ERROR_UNKNOWN,  /**< it is unknown whether the change was made */
	ML_ERROR_DAEMON,   /**< a daemon did not answer */
};

GQuark ml_error_quark(void);

#endif
