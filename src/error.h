/** @file error.h The error domain of the library: what a GError of ours may say. */
#ifndef ERROR_H
#define ERROR_H

#include <glib.h>

#define ML_ERROR (ml_error_quark())

enum ml_error {
	ML_ERROR_SETTINGS, /**< a settings file or table is wrong */
	ML_ERROR_IO,	   /**< a socket or file failed */
	ML_ERROR_PLATFORM, /**< the platform's service refused, or did not answer */
	ML_ERROR_CONFLICT, /**< someone else changed the tables first */
	ML_ERROR_UNKNOWN,  /**< whether a change was made is not known */
	ML_ERROR_DAEMON,   /**< a daemon did not answer */
};

GQuark ml_error_quark(void);

#endif
