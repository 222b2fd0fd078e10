/* Shared by the stand-ins: sockets on a libuv loop, the document they are set
 * up from, and the format of requests and answers. */
#ifndef RG_STANDIN_COMMON_H
#define RG_STANDIN_COMMON_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "common/addr.h"
#include "common/rand.h"
#include "config/config.h"

#define SD_DATAGRAM_MAX 9216

typedef void (*sd_udp_cb)(void *ctx, const struct rg_addr *from,
                          const uint8_t *data, size_t len);

/* A datagram socket read on a loop. */
struct sd_udp {
    int fd;
    uv_poll_t poll;
    sd_udp_cb cb;
    void *ctx;
};

/* Binds `addr`; exits with a message if that fails. */
void sd_udp_open(struct sd_udp *u, uv_loop_t *loop, const struct rg_addr *addr,
                 sd_udp_cb cb, void *ctx);
void sd_udp_send(struct sd_udp *u, const struct rg_addr *to, const void *data,
                 size_t len);

/* Prints a message and exits with status 2. */
void sd_die(const char *format, ...)
    __attribute__((format(printf, 1, 2), noreturn));

/* Parses an address or exits. */
struct rg_addr sd_parse_addr(const char *text);

/* Compiles a configuration from section files; exits with the findings if
 * they are not in order. */
struct rg_config *sd_load_config(char *const *files, size_t count)
    __attribute__((returns_nonnull));

/* Stops the loop on SIGTERM and SIGINT. */
void sd_stop_on_signal(uv_loop_t *loop);

/* First bytes of every request and answer, in the byte order of the host. */
struct sd_request {
    uint32_t magic; /* SD_REQUEST or SD_ANSWER */
    uint32_t seq;   /* of the request within its flow */
    uint64_t flow;  /* unique to one flow of one caller */
    uint64_t service;
    uint32_t answer_len; /* bytes of the answer's body */
    uint32_t upstream;   /* answers: number of the upstream */
    uint64_t check;      /* of the fields above */
};

#define SD_REQUEST 0x51455252u
#define SD_ANSWER 0x534e4152u

/* Longest body of an answer and of one segment of it. */
#define SD_ANSWER_MAX 4000
#define SD_SEGMENT_MAX 1200

uint64_t sd_request_checksum(const struct sd_request *r);

/* The byte at `at` of the body that answers request `seq` of `flow`. */
uint8_t sd_answer_byte(uint64_t flow, uint32_t seq, uint32_t at);

#endif
