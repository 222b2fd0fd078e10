/* A small deployment for the scripts of this review: rattangap-edge as
 * separate processes, with the platform, hosts and consumers simulated in this
 * process. What consumers, hosts and the platform see is written to a record
 * and checked.
 *
 * One thread, one poll loop. The names are those of the platform's pages. */
#ifndef REVIEW_SIM_H
#define REVIEW_SIM_H

#include <netinet/in.h>
#include <poll.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#define MACHINES_MAX 4
#define HOSTS_MAX 20
#define CONSUMERS 16
#define ROUTES_MAX 4
/* Bounds of an installation; the first three unless a case sets others. */
#define DRAIN_MS 3000
#define CONFIG_APPLY_MS 3000
#define STABLE_WINDOW_MS 4000
#define GRACE_S 6
#define MAX_FLOW_S 60
#define HEARTBEAT_MS 1200
#define HISTORY_MS 20000
/* Third bytes of addresses. */
#define STORE_NET 2
#define MACHINE_NET 1
#define HOST_NET 3
#define CONSUMER_NET 64

enum {
    FLAG_ACK = 2,
    FLAG_RST = 32,
    FLAG_SYN = 64,
    FLAG_FIN = 128,
};

#define HEAD_BYTES 34
#define DATA_MAX 1200

/* A packet as the platform's pages describe it. */
struct packet {
    uint32_t echo;
    uint32_t seq;
    uint32_t ack;
    uint16_t len;
    uint32_t dst;
    uint16_t dport;
    uint16_t sport;
    uint32_t src;
    uint8_t flags;
    bool sound; /* the sum of its fields is right */
    char data[DATA_MAX + 1];
};

/* Ports, the same on all machines of a run. */
struct ports {
    uint16_t datagram;
    uint16_t ready;
    uint16_t peer;
    uint16_t metrics;
    uint16_t host;
    uint16_t store;
};

struct route {
    uint32_t ip;
    uint16_t port;
    bool safe;
    uint32_t budget_ms;
    const char *service;
    bool present;        /* in the newest configuration */
    uint64_t changed_ms; /* when that was acknowledged, 0: never changed */
};

struct machine {
    int index;
    struct in_addr ip;
    int pid; /* 0: not running */
    bool stopping;
    bool in_rotation;
    int misses;
    uint64_t disturbed_ms; /* last start, signal or end */
    uint64_t restart_ms;   /* 0: none is due */
    unsigned ended_alone;  /* times that its process ended by itself */
    int probe_fd;          /* -1: no status check is under way */
    bool probe_sent;
    uint64_t probe_ms; /* when it began */
    char settings[200];
};

struct host {
    int index;
    char id[32];
    uint64_t wire_id;
    uint64_t born;
    const char *service;
    struct in_addr ip;
    int fd;
    bool registered; /* it writes its entry */
    bool ended;
    bool draining;
    uint64_t draining_ms; /* when the store took that, 0: never */
    uint64_t end_ms;      /* when it exits, 0: never */
    unsigned beats;
    uint64_t beat_ms;      /* next one */
    int busy;              /* slots in use */
    bool hanging;          /* its requests get no answer */
    uint64_t disturbed_ms; /* last moment of that, 0: never */
    uint32_t work_ms;      /* least time of a request */
    uint32_t work_spread_ms;
};

struct sim {
    uint64_t now_ms;   /* since the start of the run */
    uint64_t start_ms; /* CLOCK_MONOTONIC */
    uint64_t rand;
    int net; /* second byte of all addresses */
    struct ports ports;
    bool trouble;
    const char *dir; /* settings and logs of the machines */
    FILE *record;
    struct machine machines[MACHINES_MAX];
    int machine_count;
    struct host hosts[HOSTS_MAX];
    int host_count;
    struct route routes[ROUTES_MAX];
    int route_count;
    uint64_t version; /* of the configuration */
    /* Bounds of the installation. */
    uint32_t drain_ms;
    uint32_t config_apply_ms;
    uint32_t stable_window_ms;
    bool has_later_bounds; /* those of demands/, too */
    unsigned per_s;        /* requests started a second */
    /* Requests of a flow, and the pause between them. */
    int requests_a_flow;
    uint32_t pause_ms;
    /* Results. */
    unsigned asked;
    unsigned served;
    unsigned refused;
    unsigned lost; /* on a flow that was open, not served, not repeatable */
    /* Of these, on a flow whose reset broke the rule, or that was opened too
     * late at a host that drains. */
    unsigned lost_by_fault;
    unsigned runs;
    unsigned run_twice;
    unsigned flow_broken;
    unsigned drain_broken;
    unsigned unasked;
    unsigned ended_alone; /* processes that ended by themselves */
};

/* net.c */
uint64_t sim_random(struct sim *s);
struct in_addr sim_address(const struct sim *s, int net, int index);
/* Opens a UDP socket that does not block; -1 if the address is in use. */
int sim_udp(struct in_addr ip, uint16_t port);
size_t sim_pack(const struct packet *p, uint8_t *out);
bool sim_unpack(struct packet *p, const uint8_t *in, size_t len);
/* Sends a datagram from `fd` after the time that it is on its way. */
void sim_send_later(struct sim *s, int fd, struct in_addr to, uint16_t port,
                    const uint8_t *data, size_t len, uint32_t ms);
void sim_deliver(struct sim *s);
void sim_note(struct sim *s, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* store.c */
bool store_start(struct sim *s);
/* Writes a key; the returned time is that of the acknowledgement. */
uint64_t store_put(struct sim *s, const char *key, const void *value,
                   size_t len);
void store_remove(struct sim *s, const char *key);
size_t store_poll_fds(struct pollfd *out, size_t max);
void store_step(struct sim *s);

/* operator.c */
/* Writes the configuration of the present routes as the next version. */
void operator_put_config(struct sim *s);

/* hosts.c */
bool hosts_open(struct sim *s);
struct host *hosts_add(struct sim *s, const char *service);
/* Entry as the host writes it; `skip` names a field to leave out. */
size_t hosts_entry(const struct sim *s, const struct host *h, char *out,
                   size_t size, const char *service, const char *state,
                   const char *skip);
void hosts_register(struct sim *s, struct host *h);
/* Reports `draining`, serves until `end_ms`, and exits. */
void hosts_drain(struct sim *s, struct host *h, uint64_t end_ms);
void hosts_step(struct sim *s);
struct host *hosts_by_address(struct sim *s, struct in_addr ip);

/* machines.c */
void machines_start(struct sim *s, struct machine *m);
void machines_signal(struct sim *s, struct machine *m, int signum);
void machines_step(struct sim *s);
size_t machines_poll_fds(struct sim *s, struct pollfd *out, size_t max);
bool machines_ready(const struct sim *s);
void machines_end(struct sim *s);
struct machine *machines_by_address(struct sim *s, struct in_addr ip);
/* The machine that gets the flow's packets now. */
struct machine *machines_route(struct sim *s, uint32_t caller, uint16_t port);
bool machines_in_touch(const struct sim *s, const struct machine *m);

/* consumers.c */
bool consumers_open(struct sim *s);
void consumers_step(struct sim *s);
/* Starts `count` flows on the route now. */
void consumers_ask(struct sim *s, int route, int count);
/* A host has taken the flow's SYN, or begun to work on a request. */
void consumers_note_syn(struct sim *s, const struct host *h,
                        const struct packet *p, struct in_addr from);
void consumers_note_run(struct sim *s, const struct host *h, unsigned id);
/* A host has the end of a flow's handshake. */
void consumers_note_open(struct sim *s, const struct host *h,
                         const struct packet *p);
int consumers_open_flows(void);
int consumers_fd(int i);

/* cases.c */
struct scenario {
    const char *name;
    int seconds;
    void (*setup)(struct sim *s);
    void (*step)(struct sim *s); /* called each loop while traffic runs */
    bool (*broken)(const struct sim *s);
};
const struct scenario *case_find(const char *name);

#endif
