/**
 * @file harness.h
 * Shared by the test programs: a CUnit runner whose last line is "N passed, N failed", and, for
 * integration tests, fleets of real processes on loopback whose connections pass through one
 * faultproxy.
 *
 * A pool is a database group as configured; a member is a database server of a group. A team is the
 * tenant that a caller's key belongs to.
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

/** Runs all cases, or those named on the command line. @return the program's exit code */
int harness_run(const char *suite, const struct test_case *cases, unsigned n, int argc,
		char **argv);
#define HARNESS_MAIN(suite, cases)                                                                 \
	int main(int argc, char **argv)                                                            \
	{                                                                                          \
		return harness_run(suite, cases, sizeof(cases) / sizeof(cases[0]), argc, argv);    \
	}

/** Fails the test with a message if @a cond is false; the test goes on. */
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

/** Routes to the first pool, for tests that configure their own teams. */
#define HARNESS_ROUTES                                                                             \
	"[[route]]\nname = \"orders\"\nkind = \"order\"\npool = \"pool1\"\n"                       \
	"[[route]]\nname = \"own\"\nkind = \"own\"\npool = \"pool1\"\nwrite = false\n"

#define FLEET_VMS_MAX 32
#define FLEET_MEMBERS_MAX 9

/** Configuration of a fleet. Zero stands for the default in brackets. */
struct fleet_plan {
	int data_centers;    /**< [3] */
	int vms;	     /**< total, spread over the data centres [3] */
	int pools;	     /**< of three members each, spread over the data centres [1] */
	int slots;	     /**< concurrent statements of a member [2] */
	int connections;     /**< connections that a member accepts [16] */
	int work_us;	     /**< execution time of a statement */
	int lag_ms;	     /**< apply delay of replicas */
	const char *confirm; /**< when a commit is confirmed ["replica"] */
	const char *routes; /**< TOML [orders and reads of the first pool, team "clerks" with a rate
			       of 100,000 per second] */
	const char *settings; /**< TOML appended to each daemon's settings */
	bool bypass_proxy;    /**< connect without the faultproxy: for measurements */
};

/** A running faultproxy. */
struct test_proxy {
	pid_t pid;
	int in, out;
};

struct test_fleet {
	struct fleet_plan plan;
	char *dir;
	int platform_port; /**< of standin-platform */
	pid_t platform;
	struct test_proxy proxy;
	int n_members;
	struct {
		char name[32], dc[32];
		int port, proxied; /**< its own port, and the proxy's port for it */
		pid_t pid;
	} member[FLEET_MEMBERS_MAX];
	struct {
		char name[32], dc[32];
		int caller, rpc, proxied; /**< ports; proxied leads to rpc */
		pid_t pid;
	} vm[FLEET_VMS_MAX];
	char key[128]; /**< key of the team "clerks" */
	char *pools_toml;
};

struct test_fleet *fleet_start_up(const struct fleet_plan *plan);
void fleet_tear_down(struct test_fleet *f);
void fleet_vm_start(struct test_fleet *f, int vm);
void fleet_vm_signal(struct test_fleet *f, int vm, int sig);
/** Waits for the daemon to exit. @return its exit code, or -1 */
int fleet_vm_wait(struct test_fleet *f, int vm);
void fleet_member_signal(struct test_fleet *f, int member, int sig);
/** Writes the platform's list of VMs, leaving out VM @a omitted (-1: none). */
void fleet_list_vms(struct test_fleet *f, int omitted);
/** Sets faults of standin-platform; @a json is described in standin-platform.c. */
void fleet_platform_fault(struct test_fleet *f, const char *json);
/** Sends a command to faultproxy, see faultproxy.c. Routes have the names of VMs and members. */
void fleet_fault(struct test_fleet *f, const char *format, ...) G_GNUC_PRINTF(2, 3);
/** Partitions data centre @a dc from all others, or heals the partition. */
void fleet_partition(struct test_fleet *f, const char *dc, bool partitioned);
/**
 * Runs the mangoloom command. @param out its standard output, to g_free(); may be NULL. @return its
 * exit code
 */
int fleet_cli(struct test_fleet *f, char **out, const char *args, ...) G_GNUC_PRINTF(3, 4);
/** Writes @a text to a file in the fleet's directory. @return its path, to g_free() */
char *fleet_file(struct test_fleet *f, const char *name, const char *text);
/** Creates a key for @a team. @return the key, to g_free() */
char *fleet_create_key(struct test_fleet *f, const char *team);

/** Connects as @a team with @a key and startup options such as "-c mangoloom.kind=order". */
PGconn *fleet_connect(struct test_fleet *f, int vm, const char *team, const char *key,
		      const char *options);
/** Connects with the fleet's key, to send orders. */
PGconn *fleet_connect_orders(struct test_fleet *f, int vm);
/** Connects to a member directly, without proxy or daemon. */
PGconn *member_connect(struct test_fleet *f, int member);
/**
 * Runs a statement. @param value the first column of the first row; may be NULL. @return its
 * SQLSTATE; "00000" for success, "08006" for a lost connection
 */
const char *sql(PGconn *c, char *value, size_t size, const char *format, ...) G_GNUC_PRINTF(4, 5);
/** Returns the DETAIL of this thread's last sql() call; "" if it had none. */
const char *sql_detail(void);
/**
 * Queries the first pool's members directly. @return the index of the primary with the highest
 * term; -1 if there is none
 */
int fleet_primary(struct test_fleet *f);
/** Returns a number from `mangoloom status --json VM`, at the top level or in "counters". */
int64_t fleet_status(struct test_fleet *f, int vm, const char *name);
/** Waits up to @a ms until @a done returns true. @return whether it did */
bool wait_until(bool (*done)(struct test_fleet *f, void *arg), struct test_fleet *f, void *arg,
		int ms);

/** Outcome of a write, as reported to its caller. */
enum write_outcome { WRITE_ACKED, WRITE_NOT_RUN, WRITE_UNKNOWN };

/** A thread that writes orders one after another, each with its own key, and records outcomes. */
struct writer {
	struct test_fleet *f;
	GThread *thread;
	int vm;
	const char *team, *key; /**< NULL: team "clerks" and its key */
	const char *options;	/**< NULL: statements of kind "order" */
	char prefix[32];
	int pause_us; /**< between two writes */
	bool roam;    /**< each new connection goes to the next VM */
	volatile int stop;
	GArray *told; /**< enum write_outcome of each order, by number */
	int64_t last_ack_us;
	int64_t gap_us; /**< longest time between two acknowledged writes */
	int acked, not_run, unknown, over_rate, lost_connections;
	int stopped; /**< terminated by 57P01 between two statements, as at a planned stop */
	int64_t wait_max_us; /**< longest time until a statement was answered */
};

void writer_start(struct writer *w, struct test_fleet *f, int vm, const char *prefix);
void writer_stop(struct writer *w);
/**
 * Checks the outcomes of @a n stopped writers against the log of the primary: acknowledged orders
 * are in it, orders reported as not run are not, and no order is in it twice. Frees the outcomes.
 */
void writers_verify(struct test_fleet *f, struct writer *w, int n);

/** Finds @a n different ports that are free now. */
void test_free_ports(int *ports, int n);
/** Starts a faultproxy; @a argv has its name and routes, see faultproxy.c. */
void test_proxy_start(struct test_proxy *p, const char *dir, char **argv);
/** Sends a command line to the faultproxy and waits for its answer. */
void test_proxy_command(struct test_proxy *p, const char *line);
void test_proxy_stop(struct test_proxy *p);
/**
 * Starts a program of the build directory; its standard output and standard error go to
 * @a dir/@a log.err, unless @a out is a descriptor for the standard output. @a in is the standard
 * input, -1 to inherit it.
 */
pid_t test_spawn(const char *dir, const char *log, char **argv, int in, int out);
/** Kills and reaps a process that a test started. */
void test_kill_process(pid_t *pid);
int64_t test_now_ms(void);
int64_t test_now_us(void);
void test_sleep_ms(int ms);

#endif
