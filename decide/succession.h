/**
 * @file succession.h
 * What a change of primary knows of the primary that it is to replace, and what follows from it: a
 * primary that answers a former owner is kept, and a successor has what was acknowledged as far as
 * anybody can still show it. Answers the end of a cut: a data centre returns with a primary, its
 * owner and their callers, who went on among themselves.
 */
#ifndef DECIDE_SUCCESSION_H
#define DECIDE_SUCCESSION_H

#include "types.h"

/** What a VM that sent to the primary tells when it is asked to stop. */
struct succession_report {
	char vm[NAME_SIZE];
	uint64_t incarnation;
	bool stopped;		 /**< it sends no more */
	char primary[NAME_SIZE]; /**< "" when it knows none */
	struct pos acknowledged; /**< holds every write that it acknowledged */
	int64_t heard_us;	 /**< when the primary last answered it; 0: never */
};

struct succession {
	int64_t since_us; /**< this VM has not heard the primary since; later reports count */
	struct pos acknowledged; /**< highest known position that holds acknowledged writes */
	int64_t acknowledged_us; /**< when it was known; 0: none is */
	char primary[NAME_SIZE]; /**< that a former owner still hears */
	int64_t heard_us;	 /**< when that one last heard it; 0: none does */
	int64_t reported_us;	 /**< when this change first learned of it */
	char vm[NAME_SIZE];	 /**< former owner that goes on sending; "" for none */
	uint64_t incarnation;
};

/** A new owner, or a new change: what was acknowledged stays known. */
void succession_begin(struct succession *s, int64_t now_us);
/** Some VM has shown that @a pos holds acknowledged writes. */
void succession_acknowledged(struct succession *s, struct pos pos, int64_t at_us);
void succession_report(struct succession *s, const struct succession_report *r, int64_t now_us);

/** A VM that is asked to stop sending to a primary. */
struct succession_sender {
	bool may_send;	  /**< it holds its lease, and has not stopped */
	bool leaving;	  /**< its process is about to end */
	int64_t quiet_us; /**< for how long the VM that asks has not heard the primary; 0: the
			     change is planned */
	int64_t heard_us; /**< when the primary last answered it; 0: never */
};

/** Whether it goes on: two senders to one primary harm nothing, and a needless stop costs calls. */
bool succession_goes_on(const struct succession_sender *s, int64_t now_us);

enum succession_verdict {
	SUCCESSION_CHOOSE,    /**< nobody hears the primary: it is to be replaced */
	SUCCESSION_WAIT,      /**< it lives: this VM should reach it soon */
	SUCCESSION_HAND_BACK, /**< it lives, and only the former owner reaches it */
};

/** Judge an unplanned change before it chooses a successor. */
enum succession_verdict succession_judge(const struct succession *s, int64_t now_us);

/** What is known when a successor is to be chosen. */
struct succession_choice {
	struct pos best; /**< newest position that a candidate holds */
	bool may_gain;	 /**< a member is not reached, or a primary may still be feeding replicas */
	int64_t waited_us; /**< since the choice began */
};

/** Whether the choice waits for a candidate that holds what was acknowledged. */
bool succession_choice_waits(const struct succession *s, const struct succession_choice *c);

/**
 * A primary leads a new term from @a start on: up to how many acknowledged commits its promotion
 * discarded. What was acknowledged before is settled with that.
 */
uint64_t succession_settle(struct succession *s, struct pos start);

#endif
