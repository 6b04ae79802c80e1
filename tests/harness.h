/**
 * @file harness.h
 * What the test programs share: a CUnit runner that closes with "N passed, N failed", and, for
 * integration tests, real processes on loopback behind one faultproxy.
 */
#ifndef HARNESS_H
#define HARNESS_H

#include <CUnit/CUnit.h>
#include <glib.h>
#include <libpq-fe.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

struct test_case {
	const char *name;
	void (*run)(void);
};

/** Run the cases, or only those named on the command line. @return the program's exit code */
int harness_run(const char *suite, const struct test_case *cases, unsigned n, int argc,
		char **argv);
#define HARNESS_MAIN(suite, cases)                                                                 \
	int main(int argc, char **argv)                                                            \
	{                                                                                          \
		return harness_run(suite, cases, sizeof(cases) / sizeof(cases[0]), argc, argv);    \
	}

/** Fail the test, with what was found, without ending it. */
#define CHECK(cond, ...)                                                                           \
	do {                                                                                       \
		bool check_ok = (cond);                                                            \
		if (!check_ok) {                                                                   \
			printf("%s:%d: %s: ", __FILE__, __LINE__, #cond);                          \
			printf(__VA_ARGS__);                                                       \
			printf("\n");                                                              \
		}                                                                                  \
		CU_ASSERT(check_ok);                                                               \
	} while (0)

/** Routes to the first pool, for tables with teams of their own. */
#define HARNESS_ROUTES                                                                             \
	"[[route]]\nname = \"orders\"\nkind = \"order\"\npool = \"pool1\"\n"                       \
	"[[route]]\nname = \"own\"\nkind = \"own\"\npool = \"pool1\"\nwrite = false\n"

#define FLEET_VMS_MAX 32
#define FLEET_MEMBERS_MAX 9

/** A fleet to start. Zeroes mean the defaults in brackets. */
struct fleet_plan {
	int data_centers; /**< [3] */
	int vms;	  /**< in all, spread over the data centres [3] */
	int pools;	  /**< of three members each, spread likewise [1] */
	int slots;	  /**< [2] */
	int connections;  /**< [16] */
	int work_us;	  /**< of one statement */
	int lag_ms;
	const char *confirm; /**< ["replica"] */
	const char *routes; /**< TOML; [orders and pages of the first pool, team "clerks" at 100,000
			       a second] */
	const char *settings; /**< TOML appended to each daemon's settings */
	bool keep_members;    /**< not proxied: for measurements */
};

/** A faultproxy. */
struct test_proxy {
	pid_t pid;
	int in, out;
};

struct test_fleet {
	struct fleet_plan plan;
	char *dir;
	int platform_port;
	pid_t platform;
	struct test_proxy proxy;
	int n_members;
	struct {
		char name[32], dc[32];
		int port, proxied;
		pid_t pid;
	} member[FLEET_MEMBERS_MAX];
	struct {
		char name[32], dc[32];
		int caller, rpc, proxied;
		pid_t pid;
	} vm[FLEET_VMS_MAX];
	char key[128];
	char *pools_toml;
};

struct test_fleet *fleet_start_up(const struct fleet_plan *plan);
void fleet_tear_down(struct test_fleet *f);
void fleet_vm_start(struct test_fleet *f, int vm);
void fleet_vm_signal(struct test_fleet *f, int vm, int sig);
/** Wait for the daemon's end. @return its exit code, or -1 */
int fleet_vm_wait(struct test_fleet *f, int vm);
void fleet_member_signal(struct test_fleet *f, int member, int sig);
/** Write the platform's list of VMs, without @a missing (-1 for none). */
void fleet_list_vms(struct test_fleet *f, int missing);
/** Switch a fault of the platform: a JSON object, see standin-platform.c. */
void fleet_platform(struct test_fleet *f, const char *json);
/** A line to faultproxy, see faultproxy.c. Routes are named as VMs and members. */
void fleet_fault(struct test_fleet *f, const char *format, ...) G_GNUC_PRINTF(2, 3);
/** Cut @a dc from all others, or join it again. */
void fleet_cut(struct test_fleet *f, const char *dc, bool cut);
/**
 * Run the mangoloom command. @param out its standard output, to g_free(); may be NULL. @return its
 * exit code
 */
int fleet_cli(struct test_fleet *f, char **out, const char *args, ...) G_GNUC_PRINTF(3, 4);
/** Write @a text to a file of the fleet. @return its path, to g_free() */
char *fleet_file(struct test_fleet *f, const char *name, const char *text);
/** Give a key to @a team. */
char *fleet_key(struct test_fleet *f, const char *team);

/** Connect as @a team with @a key and startup options ("-c mangoloom.kind=order"). */
PGconn *fleet_connect(struct test_fleet *f, int vm, const char *team, const char *key,
		      const char *options);
/** Connect with the fleet's own key to send orders. */
PGconn *fleet_orders(struct test_fleet *f, int vm);
/** Connect straight to a member. */
PGconn *member_connect(struct test_fleet *f, int member);
/** Run a statement. @return its SQLSTATE; "00000" for success, "08006" for a lost connection */
const char *sql(PGconn *c, char *value, size_t size, const char *format, ...) G_GNUC_PRINTF(4, 5);
/** The DETAIL of the last error of sql(). */
const char *sql_detail(void);
/** Index of the member that leads the highest term, asked directly; -1 when there is none. */
int fleet_primary(struct test_fleet *f);
/** A number from `mangoloom status --json VM`: a member of "counters", or of the whole. */
int64_t fleet_status(struct test_fleet *f, int vm, const char *name);
/** Wait until @a done holds, or @a ms have passed. @return whether it holds */
bool wait_until(bool (*done)(struct test_fleet *f, void *arg), struct test_fleet *f, void *arg,
		int ms);

/** How one write ended, as its caller was told. */
enum told { TOLD_ACKED, TOLD_NOT_RUN, TOLD_UNKNOWN };

/**
 * A thread that writes orders one after another, each under a key of its own, and notes how each
 * ended.
 */
struct writer {
	struct test_fleet *f;
	GThread *thread;
	int vm;
	const char *team, *key; /**< NULL: the fleet's own */
	const char *options;	/**< NULL: orders */
	char prefix[32];
	int pause_us; /**< between two writes */
	bool roam;    /**< another VM for each connection */
	volatile int stop;
	GArray *told;		     /**< of enum told, by number of the order */
	int64_t last_ack_us, gap_us; /**< longest time between two acknowledged writes */
	int acked, not_run, unknown, over_rate, lost_conn;
	int stopped; /**< told by 57P01, as a planned stop does between two statements */
	int64_t wait_max_us;
};

void writer_start(struct writer *w, struct test_fleet *f, int vm, const char *prefix);
void writer_stop(struct writer *w);
/**
 * Compare what the callers were told with the log of the member that leads: acknowledged orders are
 * there once, those told as not run are not there, and none is there twice.
 */
void writers_verify(struct test_fleet *f, struct writer *w, int n);

/** Ports that are free now; all are held until the last is found. */
void test_free_ports(int *ports, int n);
/** Start a program of the build folder; what it prints goes to @a dir/@a log.err. */
/** Start a faultproxy; @a argv has its name and routes, see faultproxy.c. */
void test_proxy_start(struct test_proxy *p, const char *dir, char **argv);
/** Give it a command. */
void test_proxy_tell(struct test_proxy *p, const char *line);
void test_proxy_stop(struct test_proxy *p);
pid_t test_spawn(const char *dir, const char *log, char **argv, int in, int out);
/** Kill and reap a process that a test started. */
void test_end_process(pid_t *pid);
int64_t test_now_ms(void);
int64_t test_now_us(void);
void test_sleep_ms(int ms);

#endif
