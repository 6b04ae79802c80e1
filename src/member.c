/** @file member.c Names of member results for the log. */
#include "member.h"

const char *member_result_name(enum member_result r)
{
	static const char *const names[] = {
		[MEMBER_DONE] = "done",		  [MEMBER_BUSY] = "busy",
		[MEMBER_NO_NAME] = "no-name",	  [MEMBER_BEHIND] = "behind",
		[MEMBER_READ_ONLY] = "read-only", [MEMBER_MISROUTED] = "misrouted",
		[MEMBER_FULL] = "full",		  [MEMBER_FAILED] = "failed",
		[MEMBER_TIMEOUT] = "timeout",	  [MEMBER_REJECTED] = "rejected",
		[MEMBER_LOST] = "lost",
	};

	return names[r];
}
