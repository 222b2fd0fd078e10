/* The fault soak: real rattangap-edge processes between a store, upstreams and
 * callers that live in this process and check every promise they can see.
 *
 * Everything runs on one libuv loop; faults come from one seed. The parts
 * share struct soak and call each other only through the functions below. */
#ifndef RG_STANDIN_SOAK_SOAK_H
#define RG_STANDIN_SOAK_SOAK_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "common/rand.h"

#define SOAK_EDGES_MAX 240
#define SOAK_UPSTREAMS_MAX 256
#define SOAK_CALLER_COUNT 8
/* Bounds of the promises, as the users' platform states them. */
#define SOAK_DRAIN_MS 3000
#define SOAK_APPLY_MS 3000
#define SOAK_GRACE_MS 3000
/* An instance that others reach is ready this long after its start, whether
 * the store answers it or not. */
#define SOAK_READY_MS 3000
/* Last byte of the store's address for the first instance. */
#define SOAK_STORE_IP_FIRST 2
/* After a fault ends nothing is held against what it touched for this
 * long. */
#define SOAK_SETTLE_MS 4000
#define SOAK_DEADLINE_MS 1500
#define SOAK_PACKET_PORT 5300
#define SOAK_PEER_PORT 5302
/* Third byte of the proxies' addresses. */
#define SOAK_PROXY_SUBNET 4
/* Routes without callers in a large configuration: enough that it is decoded
 * beside the packet path. */
#define SOAK_IDLE_ROUTES 400
#define SOAK_SERVICE_COUNT 2

enum soak_route {
    SOAK_SHOP,    /* repeatable, service 0 */
    SOAK_ORDER,   /* runs once at most, service 0 */
    SOAK_GALLERY, /* repeatable, service 1 */
    SOAK_TOGGLED, /* comes and goes with configurations */
    SOAK_ROUTE_COUNT,
};

struct soak_upstream {
    int index;
    uint64_t id;
    uint64_t born_ms;
    int service;
    uv_udp_t udp;
    GHashTable *flows; /* by flow key, see hosts.c */
    bool up;
    bool dark; /* takes nothing, says nothing */
    bool leaving;
    uint64_t draining_ms;  /* its entry said so then, 0: not */
    uint64_t disturbed_ms; /* last moment of a fault there */
    uint32_t work_ms;
};

/* What happens to what other instances send to one. */
enum soak_peers_fault {
    SOAK_PEERS_OK,
    SOAK_PEERS_CUT,   /* nothing arrives, connections hang; it still sends */
    SOAK_PEERS_SLOW,  /* digests come late and out of order */
    SOAK_PEERS_RESET, /* connections are reset once */
    SOAK_PEERS_FAULT_COUNT,
};

enum soak_store_fault {
    SOAK_STORE_OK,
    SOAK_STORE_SILENT, /* takes calls, answers none */
    SOAK_STORE_BUSY,   /* 503 */
    SOAK_STORE_RESET,  /* closes connections */
    SOAK_STORE_SLOW,   /* 300 ms an answer */
    SOAK_STORE_FAULT_COUNT,
};

struct soak_edge {
    int index;
    enum soak_store_fault store_fault; /* for this instance alone */
    uint64_t started_ms;
    bool overdue;             /* it has been found not to get ready */
    struct soak_proxy *proxy; /* before its peer address */
    enum soak_peers_fault peers_fault;
    int deaf_to; /* instance whose digests do not arrive, +1; 0: none */
    uv_process_t process;
    bool running; /* the process exists */
    bool stopped; /* SIGSTOP */
    bool ordered; /* its end was asked for */
    bool ready;   /* in the fabric's rotation */
    int misses;
    uint64_t disturbed_ms;
    uint64_t restart_ms; /* start it again then, 0: not */
    char settings[128];
    char log[128];
    struct rg_http_client *probe;
};

struct soak {
    uv_loop_t loop;
    uv_timer_t tick;
    struct rg_rand rand;
    int net; /* second byte of all addresses */
    const char *binary;
    const char *dir;
    uint64_t start_ms;
    uint64_t now_ms;
    uint64_t faults_end_ms;
    uint64_t end_ms;
    struct soak_edge edges[SOAK_EDGES_MAX];
    int edge_count;
    struct soak_upstream hosts[SOAK_UPSTREAMS_MAX];
    int host_count;
    struct soak_store *store;
    enum soak_store_fault store_fault;
    uint64_t store_disturbed_ms;
    uint64_t version;  /* of the configuration in the store */
    bool large;        /* it has many routes without callers */
    bool probe_route;  /* it is in that configuration */
    uint64_t probe_ms; /* since when */
    struct soak_callers *callers;
    GHashTable *runs; /* request number -> times run */
    /* Outcome. */
    unsigned asked;
    unsigned served;
    unsigned calm_asked; /* after the faults */
    unsigned calm_served;
    unsigned findings;
};

/* common.c. A promise was broken. */
void soak_fail(struct soak *s, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
/* A line about a fault. */
void soak_log(const struct soak *s, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
/* True if nothing disturbed it within SOAK_SETTLE_MS. */
bool soak_is_settled(const struct soak *s, uint64_t disturbed_ms);
/* "127.NET.kind.index". */
void soak_ip(const struct soak *s, int kind, int index, char out[32]);
/* Edge an address belongs to, NULL if none. */
struct soak_edge *soak_edge_by_address(struct soak *s,
                                       const struct sockaddr *from);
struct soak_upstream *soak_upstream_by_id(struct soak *s, uint64_t id);

/* store.c */
void soak_store_start(struct soak *s);
void soak_store_put(struct soak *s, const char *key, const char *value);
void soak_store_remove(struct soak *s, const char *key);
/* Forgets the history: watches from before get 410. */
void soak_store_compact(struct soak *s);
/* Existing connections fall silent for good; new ones work. */
void soak_store_stall(struct soak *s);
void soak_store_tick(struct soak *s);

/* hosts.c */
void soak_upstream_start(struct soak *s, int service);
void soak_upstream_put_entry(struct soak *s, struct soak_upstream *h);
void soak_upstream_crash(struct soak *s, struct soak_upstream *h);
void soak_upstream_restart(struct soak *s, struct soak_upstream *h);
void soak_upstream_drain(struct soak *s, struct soak_upstream *h);
void soak_upstreams_tick(struct soak *s);

/* edges.c */
void soak_edge_start(struct soak *s, struct soak_edge *e);
void soak_edge_signal(struct soak *s, struct soak_edge *e, int signum);
void soak_edges_tick(struct soak *s);
void soak_edges_check_ready(struct soak *s);

/* proxy.c */
void soak_proxy_start(struct soak *s, struct soak_edge *e);
void soak_proxy_set_fault(struct soak *s, struct soak_edge *e,
                          enum soak_peers_fault fault);

/* callers.c */
void soak_callers_start(struct soak *s);
void soak_callers_start_request(struct soak *s, enum soak_route route);
void soak_callers_tick(struct soak *s);

/* faults.c */
void soak_faults_tick(struct soak *s);
void soak_config_put(struct soak *s);

#endif
