/* Helpers of the generated message code, on top of msgpack-c. */
#ifndef RG_PROTO_CODEC_H
#define RG_PROTO_CODEC_H

#include <msgpack.h>
#include <stdbool.h>

#include "common/addr.h"
#include "common/str.h"

/* Output buffer of fixed size; `overflow` is set once data did not fit. */
struct rg_pack_buf {
    uint8_t *out;
    size_t size;
    size_t len;
    bool overflow;
};

/* Makes `pk` write to `buf`. */
void rg_pack_start(msgpack_packer *pk, struct rg_pack_buf *buf);
void rg_pack_u64(msgpack_packer *pk, uint64_t value);
/* Starts an array of `count` elements, which are packed next. */
void rg_pack_list(msgpack_packer *pk, size_t count);
void rg_pack_bytes(msgpack_packer *pk, const void *data, size_t len);
void rg_pack_name(msgpack_packer *pk, const struct rg_name *name);
void rg_pack_addr(msgpack_packer *pk, const struct rg_addr *addr);

struct rg_unpacker {
    msgpack_unpacked result;
};

/* Parses a message of this `version` and reads its kind. Call rg_unpack_end()
 * whatever is returned. */
bool rg_unpack_start(struct rg_unpacker *in, const uint8_t *data, size_t len,
                     uint64_t version, uint64_t *kind);
void rg_unpack_end(struct rg_unpacker *in);

/* True if `o` is an array of at least `count` elements. Newer instances may
 * send more, which are ignored. */
bool rg_unpack_shape(const msgpack_object *o, size_t count);

/* These return false if `o` has another type or is out of bounds. Text is
 * borrowed from the message. */
bool rg_unpack_u64(const msgpack_object *o, uint64_t max, uint64_t *out);
bool rg_unpack_list(const msgpack_object *o, size_t max, uint16_t *count);
bool rg_unpack_bytes(const msgpack_object *o, uint8_t *out, size_t size,
                     uint16_t *len);
bool rg_unpack_text(const msgpack_object *o, struct rg_str *out);
bool rg_unpack_name(const msgpack_object *o, struct rg_name *out);
bool rg_unpack_addr(const msgpack_object *o, struct rg_addr *out);

#endif
