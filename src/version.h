/** @file version.h The version of mangoloom and the exit codes of its programs. */
#ifndef VERSION_H
#define VERSION_H

#define MANGOLOOM_VERSION "0.1.0"

/** Exit codes of all programs. */
enum exit_code {
	EXIT_OK = 0,
	EXIT_FAILED = 1,   /**< the operation failed */
	EXIT_USAGE = 2,	   /**< the command line is invalid */
	EXIT_INVALID = 3,  /**< a settings file or table is invalid; nothing was changed */
	EXIT_CONFLICT = 4, /**< the tables were changed concurrently; nothing was changed */
	EXIT_UNKNOWN = 5,  /**< it is unknown whether the change was made */
	EXIT_PARTIAL = 6,  /**< the change was made, but some VMs have not confirmed it */
};

#endif
