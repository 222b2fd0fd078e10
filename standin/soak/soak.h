/* The randomized fault test: real rattangap-edge processes, with the store,
 * upstreams and callers simulated in this process. The simulated parts check
 * the guarantees that are visible from outside.
 *
 * Everything runs on one libuv loop; all faults are drawn from one seed. The
 * parts share struct soak and call each other only through the functions
 * below. */
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
/* Time limits of the guarantees that the edges must keep, as the platform
 * states them. */
#define SOAK_DRAIN_MS 3000
#define SOAK_APPLY_MS 3000
#define SOAK_EVACUATE_MS 3000
#define SOAK_GRACE_MS 3000
/* Within this time after its start or its last fault an instance must be ready
 * if a peer is, even if the store does not answer it. */
#define SOAK_READY_MS 3000
/* Last byte of the store's address for the first instance. */
#define SOAK_STORE_IP_FIRST 2
/* For this long after a fault, violations at what it affected are ignored. */
#define SOAK_SETTLE_MS 4000
#define SOAK_DEADLINE_MS 1500
/* Some requests take up to so much longer, and their callers wait for that. */
#define SOAK_SLOW_MAX_MS 1000
/* So long three packets of an open flow may reach other upstreams only. */
#define SOAK_MISROUTE_MS 2000
#define SOAK_PACKET_PORT 5300
#define SOAK_PEER_PORT 5302
/* Third bytes of the edges', upstreams' and proxies' addresses. */
#define SOAK_EDGE_SUBNET 1
#define SOAK_UPSTREAM_SUBNET 3
#define SOAK_PROXY_SUBNET 4
/* Routes without callers in a large configuration: so many that it is decoded
 * off the packet path. */
#define SOAK_IDLE_ROUTES 400
#define SOAK_SERVICE_COUNT 2
#define SOAK_DATA_CENTRE_COUNT 2
/* Restarts of an upstream that a restore of the store may take back. */
#define SOAK_PAST_IDS 8

enum soak_route {
    SOAK_SHOP,    /* idempotent requests, service 0 */
    SOAK_ORDER,   /* requests that may run at most once, service 0 */
    SOAK_GALLERY, /* idempotent requests, service 1 */
    SOAK_TOGGLED, /* added and removed by configuration changes */
    SOAK_ROUTE_COUNT,
};

struct soak_upstream {
    int index;
    uint64_t id;
    uint64_t past_ids[SOAK_PAST_IDS]; /* of its last incarnations */
    unsigned restarts;
    uint64_t incarnation_ms;
    int service;
    uv_udp_t udp;
    GHashTable *flows; /* by flow key, see upstreams.c */
    bool up;
    bool crashed; /* drops all packets and sends none */
    bool draining;
    unsigned heartbeats;   /* entries written by this incarnation */
    uint64_t draining_ms;  /* when its entry said so; 0: it does not */
    uint64_t disturbed_ms; /* last time of a fault; 0: none yet */
    uint32_t service_ms;
};

/* Fault of the traffic that other instances send to an instance. */
enum soak_peers_fault {
    SOAK_PEERS_OK,
    SOAK_PEERS_CUT,   /* nothing arrives, connections hang; sending works */
    SOAK_PEERS_SLOW,  /* digests arrive late and out of order */
    SOAK_PEERS_RESET, /* open connections are closed once */
    SOAK_PEERS_FAULT_COUNT,
};

enum soak_store_fault {
    SOAK_STORE_OK,
    SOAK_STORE_SILENT, /* reads requests and never answers */
    SOAK_STORE_BUSY,   /* answers 503 */
    SOAK_STORE_RESET,  /* closes connections */
    SOAK_STORE_SLOW,   /* answers after 300 ms */
    SOAK_STORE_FAULT_COUNT,
};

struct soak_edge {
    int index;
    enum soak_store_fault store_fault; /* for this instance only */
    uint64_t started_ms;
    bool late_reported;       /* reported as not ready in time */
    struct soak_proxy *proxy; /* in front of its peer address */
    enum soak_peers_fault peers_fault;
    int ignored_edge; /* edge whose digests are dropped, plus 1; 0: none */
    uv_process_t process;
    bool running;          /* the process exists */
    bool stopped;          /* SIGSTOP */
    bool exit_expected;    /* SIGTERM or SIGKILL was sent */
    bool ready;            /* gets packets from the fabric */
    int failed_checks;     /* failed readiness checks in a row */
    uint64_t disturbed_ms; /* last time of a fault or of planned work */
    bool killed;           /* by SIGKILL; until the next start */
    uint64_t unplanned_ms; /* last time of a fault alone */
    uint64_t restart_ms;   /* when to start it again; 0: never */
    char settings[128];
    char log[128];
    struct rg_http_client *ready_client; /* polls /ready */
};

struct soak {
    uv_loop_t loop;
    uv_timer_t tick;
    struct rg_rand rand;
    struct rg_rand noise_rand;   /* of odd entries, losses and long pauses, so
                                    that they leave the faults of a seed alone */
    struct rg_rand restore_rand; /* of restores of the store, likewise */
    int net;                     /* second byte of all addresses */
    const char *binary;
    const char *dir;
    uint64_t start_ms;
    uint64_t now_ms;
    uint64_t faults_end_ms;
    uint64_t end_ms;
    struct soak_edge edges[SOAK_EDGES_MAX];
    int edge_count;
    struct soak_upstream upstreams[SOAK_UPSTREAMS_MAX];
    int upstream_count;
    struct soak_store *store;
    enum soak_store_fault store_fault;
    uint64_t store_disturbed_ms;
    uint64_t other_changed_ms; /* when other keys were last changed */
    uint64_t restored_ms;      /* when the store was last; 0: not since all was
                                  written again */
    uint64_t version;          /* of the configuration in the store */
    bool large;                /* it has many routes without callers */
    bool has_toggled_route;    /* it has the route SOAK_TOGGLED */
    uint64_t toggled_ms;       /* when that last changed */
    uint64_t fabric_hash;      /* drawn anew whenever the fabric moves flows */
    GPtrArray *late_packets;   /* see fabric.c */
    struct soak_callers *callers;
    GHashTable *executions; /* request number -> times executed */
    uint64_t evacuated_ms[SOAK_DATA_CENTRE_COUNT]; /* when that was requested,
                                                      0: it is not */
    /* Results. */
    unsigned asked; /* requests started, except for SOAK_TOGGLED */
    unsigned served;
    unsigned calm_asked; /* requests started after the faults */
    unsigned calm_served;
    unsigned findings; /* violations and other errors */
};

/* common.c */
/* Reports a violated guarantee or another error; the run then fails. */
void soak_fail(struct soak *s, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
/* Prints a line, e.g. about a fault. */
void soak_log(const struct soak *s, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
/* True if `disturbed_ms` is 0 or more than SOAK_SETTLE_MS ago. */
bool soak_is_settled(const struct soak *s, uint64_t disturbed_ms);
/* True if the next datagram between callers and upstreams is lost. */
bool soak_loses_datagram(struct soak *s);
/* Writes "127.NET.subnet.index". */
void soak_ip(const struct soak *s, int subnet, int index, char out[32]);
/* Edge that has the address; NULL if none. */
struct soak_edge *soak_edge_by_address(struct soak *s,
                                       const struct sockaddr *from);
/* The same for upstreams. */
struct soak_upstream *soak_upstream_by_address(struct soak *s,
                                               const struct sockaddr *from);

/* store.c */
void soak_store_start(struct soak *s);
void soak_store_put(struct soak *s, const char *key, const char *value);
void soak_store_remove(struct soak *s, const char *key);
/* Compacts the history: watches from an earlier revision get 410. */
void soak_store_compact(struct soak *s);
bool soak_store_has(const struct soak *s, const char *key);
/* Restores the store from a copy that is at least so old, if there is one. The
 * keys of the instances are lost. Returns the time of the copy. */
uint64_t soak_store_restore(struct soak *s, uint64_t age_ms);
/* Open connections never answer again; new ones work. */
void soak_store_stall(struct soak *s);
void soak_store_tick(struct soak *s);

/* upstreams.c */
void soak_upstream_start(struct soak *s, int service);
void soak_upstream_put_entry(struct soak *s, struct soak_upstream *u);
/* The store was restored from a copy of `copy_ms`: it has lost its
 * acknowledgement of later drains, which count again once upstreams have
 * written their entries. */
void soak_upstreams_restored(struct soak *s, uint64_t copy_ms);
/* After a restore of the store: all that run write their entries, and those of
 * earlier incarnations lapse. */
void soak_upstreams_rewrite(struct soak *s);
void soak_upstream_crash(struct soak *s, struct soak_upstream *u);
void soak_upstream_restart(struct soak *s, struct soak_upstream *u);
void soak_upstream_drain(struct soak *s, struct soak_upstream *u);
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

/* fabric.c */
void soak_fabric_start(struct soak *s);
/* The edge that gets the packets of this flow now. */
struct soak_edge *soak_fabric_pick(struct soak *s, int caller, uint16_t port);
void soak_fabric_deliver(struct soak *s, uv_udp_t *from,
                         const struct soak_edge *edge, const uint8_t *data,
                         size_t len);
/* The same after a random time; for packets without data. */
void soak_fabric_deliver_late(struct soak *s, uv_udp_t *from,
                              const struct soak_edge *edge,
                              const uint8_t *data, size_t len);
void soak_fabric_tick(struct soak *s);

/* callers.c */
void soak_callers_start(struct soak *s);
void soak_callers_start_request(struct soak *s, enum soak_route route);
void soak_callers_tick(struct soak *s);
struct soak_packet;
/* A packet of a caller has reached the upstream, forwarded by the edge (NULL:
 * unknown). `accepted`: it belongs to a flow that the upstream holds. */
void soak_callers_note_packet(struct soak *s, struct soak_upstream *u,
                              const struct soak_packet *p,
                              struct soak_edge *edge, bool accepted);

/* odd_entries.c */
void soak_odd_entries_tick(struct soak *s);
/* True if a packet is meant for an entry that names no upstream. */
bool soak_is_odd_entry(uint64_t id);

/* evacuation.c */
void soak_evacuation_tick(struct soak *s);
/* The same as for upstreams: evacuations that the copy lacks count from the
 * restore, and from when the operator has written them again. */
void soak_evacuations_restored(struct soak *s, uint64_t copy_ms);
void soak_evacuations_rewrite(struct soak *s);
/* An opening that its caller has just sent has reached the upstream. */
void soak_evacuation_check_opening(struct soak *s,
                                   const struct soak_upstream *u,
                                   const struct soak_edge *edge);

/* faults.c */
void soak_faults_tick(struct soak *s);
/* Writes the next version of the configuration to the store. */
void soak_config_put(struct soak *s);
/* The same after a restore; draws no random number. */
void soak_config_rewrite(struct soak *s);

#endif
