/** @file version.h */
#ifndef VERSION_H
#define VERSION_H

#define MANGOLOOM_VERSION "0.1.0"

/** Exit codes of all programs. */
enum exit_code {
	EXIT_OK = 0,
	EXIT_FAILED = 1,   /**< the work could not be done */
	EXIT_USAGE = 2,	   /**< the command line is wrong */
	EXIT_INVALID = 3,  /**< a settings file or table is wrong; nothing was changed */
	EXIT_CONFLICT = 4, /**< someone else changed the tables first; nothing was changed */
	EXIT_UNKNOWN = 5,  /**< whether the change was made is not known */
	EXIT_PARTIAL = 6,  /**< the change was made, but some VMs have not confirmed it */
};

#endif
