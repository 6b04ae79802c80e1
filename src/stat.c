/** @file stat.c Counters and histograms. */
#include "stat.h"

/** Upper bounds of the buckets: from the time of a local answer (0.5 ms) to 5 s. */
static const int64_t bounds_us[] = {500,    1000,   2000,   5000,    10000,   20000,  50000,
				    100000, 200000, 500000, 1000000, 2000000, 5000000};
#define BUCKETS (sizeof(bounds_us) / sizeof(bounds_us[0]))

struct histogram {
	uint64_t bucket[BUCKETS + 1]; /**< not cumulative; the last has no upper bound */
	uint64_t n;		      /**< total count */
	int64_t sum_us;
};

static struct histogram histograms[STAT_TIMES];

static const struct {
	const char *name;
	const char *label;
} time_labels[STAT_TIMES] = {
	[STAT_TIME_PRIMARY] = {"statement", "kind=\"primary\""},
	[STAT_TIME_BOUNDED] = {"statement", "kind=\"bounded\""},
	[STAT_TIME_SESSION] = {"statement", "kind=\"session\""},
	[STAT_TIME_REFUSED] = {"statement", "kind=\"refused\""},
	[STAT_TIME_QUEUE] = {"stage", "stage=\"queue\""},
	[STAT_TIME_MEMBER] = {"stage", "stage=\"member\""},
	[STAT_TIME_STORE] = {"stage", "stage=\"store\""},
	[STAT_TIME_PRIMARY_CHANGE] = {"stage", "stage=\"change-of-primary\""},
};

static uint64_t counters[STATS];
static uint64_t outcomes[OUTCOMES];
static uint64_t class_counters[STAT_CLASS_IDS][STAT_CLASSES];

static const char *const names[STATS] = {
	[STAT_CALLERS_OPENED] = "callers_opened",
	[STAT_CALLERS_CLOSED] = "callers_closed",
	[STAT_CALLERS_REFUSED] = "callers_refused",
	[STAT_CALLERS_TIMED_OUT] = "callers_timed_out",
	[STAT_REQUESTS] = "requests",
	[STAT_READS_BY_REPLICA] = "reads_by_replica",
	[STAT_READS_BY_PRIMARY] = "reads_by_primary",
	[STAT_WRITES] = "writes",
	[STAT_RETRIES] = "retries",
	[STAT_REFUSED] = "refused",
	[STAT_REFUSED_WITHIN_RATE] = "refused_within_rate",
	[STAT_ANSWERS_LATE] = "answers_late",
	[STAT_OVER_RATE] = "over_rate",
	[STAT_HOME_RUN] = "home_run",
	[STAT_HOME_QUEUED] = "home_queued",
	[STAT_CONNECTIONS_OPENED] = "connections_opened",
	[STAT_CONNECTIONS_LOST] = "connections_lost",
	[STAT_FAILOVERS_BEGUN] = "failovers_begun",
	[STAT_FAILOVERS_DONE] = "failovers_done",
	[STAT_COMMITS_DISCARDED] = "commits_discarded",
	[STAT_SENDERS_ENDED] = "senders_ended",
	[STAT_CHOICES_INCOMPLETE] = "choices_incomplete",
	[STAT_CONFIRMS] = "confirms",
	[STAT_CONFIRMS_LOST] = "confirms_lost",
	[STAT_COMMIT_STATUS_QUERIES] = "fates_asked",
	[STAT_RPC_CALLS] = "rpc_calls",
	[STAT_RPC_LOST] = "rpc_lost",
	[STAT_RPC_BYTES_IN] = "rpc_bytes_in",
	[STAT_RPC_BYTES_OUT] = "rpc_bytes_out",
	[STAT_CONTROL_BYTES_IN] = "control_bytes_in",
	[STAT_CONTROL_BYTES_OUT] = "control_bytes_out",
	[STAT_PLATFORM_CALLS] = "platform_calls",
	[STAT_PLATFORM_FAILED] = "platform_failed",
	[STAT_ENTRIES_MALFORMED] = "entries_malformed",
	[STAT_PLATFORM_WATCHES] = "platform_watches",
	[STAT_CONF_APPLIED] = "conf_applied",
	[STAT_SHARE_ORDERS] = "share_orders",
	[STAT_GRANTS_EXPIRED] = "grants_expired",
	[STAT_RELAY_PASSED] = "relay_passed",
	[STAT_RELAY_REFUSED_DISABLED] = "relay_refused_disabled",
	[STAT_RELAY_REFUSED_LOOP] = "relay_refused_loop",
	[STAT_RELAY_REFUSED_UNKNOWN] = "relay_refused_unknown",
	[STAT_RELAY_REFUSED_EXPIRED] = "relay_refused_expired",
	[STAT_RELAY_REFUSED_TRANSACTION] = "relay_refused_transaction",
	[STAT_RELAY_REFUSED_UNHEARD] = "relay_refused_unheard",
	[STAT_RELAY_REFUSED_NOT_SENT] = "relay_refused_not_sent",
};

static const char *const class_names[STAT_CLASS_IDS] = {
	[STAT_TOKENS_TAKEN] = "tokens_taken",
	[STAT_TOKENS_WAITED] = "tokens_waited",
	[STAT_TOKENS_REFUSED] = "tokens_refused",
	[STAT_OPENINGS] = "openings",
	[STAT_OPENINGS_AHEAD] = "openings_ahead",
	[STAT_OPENINGS_AHEAD_USED] = "openings_ahead_used",
	[STAT_RESTING_REFUSED] = "resting_refused",
	[STAT_QUEUE_REFUSED_ARRIVAL] = "queue_refused_arrival",
	[STAT_QUEUE_REFUSED_LATER] = "queue_refused_later",
	[STAT_QUEUE_IN_AIM] = "queue_in_aim",
	[STAT_QUEUE_LATE] = "queue_late",
	[STAT_RELAY_ASKED] = "relay_asked",
	[STAT_RELAY_SERVED] = "relay_served",
	[STAT_RELAY_LOST] = "relay_lost",
};

void stat_add(enum stat_id id, uint64_t n)
{
	counters[id] += n;
}

void stat_add_class(enum stat_class_id id, unsigned priority, uint64_t n)
{
	class_counters[id][MIN(priority, STAT_CLASSES - 1)] += n;
}

static struct {
	const char *name;
	uint64_t messages[2], bytes[2]; /**< index 0: sent, 1: received */
} procedures[STAT_PROCEDURES_MAX];

void stat_message(unsigned procedure, const char *name, uint64_t bytes, bool in)
{
	g_assert(procedure < STAT_PROCEDURES_MAX);
	procedures[procedure].name = name;
	procedures[procedure].messages[in]++;
	procedures[procedure].bytes[in] += bytes;
}

static void put_procedures(struct evbuffer *out)
{
	static const char *const directions[] = {"out", "in"};
	unsigned i, in;

	for (i = 0; i < STAT_PROCEDURES_MAX; i++) {
		for (in = 0; procedures[i].name != NULL && in < 2; in++) {
			evbuffer_add_printf(
				out,
				"mangoloom_messages_total{procedure=\"%s\",direction=\"%s\"} "
				"%lu\n",
				procedures[i].name, directions[in], procedures[i].messages[in]);
			evbuffer_add_printf(out,
					    "mangoloom_message_bytes_total{procedure=\"%s\","
					    "direction=\"%s\"} %lu\n",
					    procedures[i].name, directions[in],
					    procedures[i].bytes[in]);
		}
	}
}

void stat_add_time(enum stat_time_id id, int64_t us)
{
	struct histogram *h = &histograms[id];
	unsigned i = 0;

	while (i < BUCKETS && us > bounds_us[i])
		i++;
	h->bucket[i]++;
	h->n++;
	h->sum_us += us;
}

static void put_histogram(struct evbuffer *out, enum stat_time_id id)
{
	const struct histogram *h = &histograms[id];
	uint64_t cumulative = 0;
	unsigned i;

	for (i = 0; i < BUCKETS; i++) {
		cumulative += h->bucket[i];
		evbuffer_add_printf(out, "mangoloom_%s_seconds_bucket{%s,le=\"%g\"} %lu\n",
				    time_labels[id].name, time_labels[id].label,
				    (double)bounds_us[i] / 1e6, cumulative);
	}
	evbuffer_add_printf(out, "mangoloom_%s_seconds_bucket{%s,le=\"+Inf\"} %lu\n",
			    time_labels[id].name, time_labels[id].label, h->n);
	evbuffer_add_printf(out, "mangoloom_%s_seconds_sum{%s} %.6f\n", time_labels[id].name,
			    time_labels[id].label, (double)h->sum_us / 1e6);
	evbuffer_add_printf(out, "mangoloom_%s_seconds_count{%s} %lu\n", time_labels[id].name,
			    time_labels[id].label, h->n);
}

void stat_outcome(enum outcome o)
{
	outcomes[o]++;
}

static void put_counter(JsonBuilder *b, const char *name, uint64_t value)
{
	json_builder_set_member_name(b, name);
	json_builder_add_int_value(b, (gint64)value);
}

/** Writes the counter as an array, indexed by class. */
static void put_class_counter(JsonBuilder *b, enum stat_class_id id)
{
	unsigned i;

	json_builder_set_member_name(b, class_names[id]);
	json_builder_begin_array(b);
	for (i = 0; i < STAT_CLASSES; i++)
		json_builder_add_int_value(b, (gint64)class_counters[id][i]);
	json_builder_end_array(b);
}

void stat_json(JsonBuilder *b)
{
	unsigned i;

	for (i = 0; i < STATS; i++)
		put_counter(b, names[i], counters[i]);
	for (i = 0; i < STAT_CLASS_IDS; i++)
		put_class_counter(b, (enum stat_class_id)i);
	json_builder_set_member_name(b, "outcomes");
	json_builder_begin_object(b);
	for (i = 0; i < OUTCOMES; i++)
		put_counter(b, outcome_text((enum outcome)i)->name, outcomes[i]);
	json_builder_end_object(b);
}

void stat_text(struct evbuffer *out)
{
	unsigned i, class;

	for (i = 0; i < STATS; i++)
		evbuffer_add_printf(out, "mangoloom_%s_total %lu\n", names[i], counters[i]);
	for (i = 0; i < STAT_CLASS_IDS; i++) {
		for (class = 0; class < STAT_CLASSES; class ++)
			evbuffer_add_printf(out, "mangoloom_%s_total{class=\"%u\"} %lu\n",
					    class_names[i], class, class_counters[i][class]);
	}
	for (i = 0; i < OUTCOMES; i++)
		evbuffer_add_printf(out, "mangoloom_outcomes_total{outcome=\"%s\"} %lu\n",
				    outcome_text((enum outcome)i)->name, outcomes[i]);
	put_procedures(out);
	for (i = 0; i < STAT_TIMES; i++)
		put_histogram(out, (enum stat_time_id)i);
}
