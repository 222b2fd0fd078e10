#include "proto/codec.h"

#include <string.h>

/* An address is packed as a 16-byte IP address and a port, big-endian. */
#define ADDR_PACKED_LEN (RG_IP_LEN + 2)

/* No array in a message is longer; leaves room for newer instances. */
#define ARRAY_MAX 64

static int
write_bytes(void *data, const char *bytes, size_t len)
{
    struct rg_pack_buf *buf = data;

    if (buf->overflow || len > buf->size - buf->len) {
        buf->overflow = true;
        return -1;
    }
    memcpy(buf->out + buf->len, bytes, len);
    buf->len += len;
    return 0;
}

void
rg_pack_start(msgpack_packer *pk, struct rg_pack_buf *buf)
{
    msgpack_packer_init(pk, buf, write_bytes);
}

void
rg_pack_u64(msgpack_packer *pk, uint64_t value)
{
    msgpack_pack_uint64(pk, value);
}

void
rg_pack_list(msgpack_packer *pk, size_t count)
{
    msgpack_pack_array(pk, count);
}

void
rg_pack_bytes(msgpack_packer *pk, const void *data, size_t len)
{
    msgpack_pack_bin(pk, len);
    if (len > 0) {
        msgpack_pack_bin_body(pk, data, len);
    }
}

void
rg_pack_name(msgpack_packer *pk, const struct rg_name *name)
{
    rg_pack_bytes(pk, name->s, name->len);
}

void
rg_pack_addr(msgpack_packer *pk, const struct rg_addr *addr)
{
    uint8_t packed[ADDR_PACKED_LEN];

    memcpy(packed, addr->ip, RG_IP_LEN);
    packed[RG_IP_LEN] = (uint8_t)(addr->port >> 8);
    packed[RG_IP_LEN + 1] = (uint8_t)addr->port;
    rg_pack_bytes(pk, packed, sizeof(packed));
}

/* The length that is encoded in `bytes` bytes behind a type tag. */
static size_t
length_after(const uint8_t *tag, size_t bytes)
{
    size_t value = 0;

    for (size_t i = 1; i <= bytes; i++) {
        value = value << 8 | tag[i];
    }
    return value;
}

/* Size of one element in bytes, without the items if it is an array. Returns 0
 * if its type is not used in messages, if it is an array that is too long, or
 * if it is truncated. */
static size_t
element_size(const uint8_t *p, size_t left)
{
    size_t size = 1;

    if (p[0] >= 0x90 && p[0] <= 0x9f) { /* fixarray, up to 15 items */
        return 1;
    }
    if (p[0] >= 0xcc && p[0] <= 0xcf) { /* uint 8 to uint 64 */
        size += (size_t)1 << (p[0] - 0xcc);
    }
    else if (p[0] >= 0xc4 && p[0] <= 0xc6) { /* bin 8 to bin 32 */
        size_t width = (size_t)1 << (p[0] - 0xc4);
        size += width;
        size += left >= size ? length_after(p, width) : 0;
    }
    else if (p[0] == 0xdc) { /* array 16 */
        size += 2;
        if (left < size || length_after(p, 2) > ARRAY_MAX) {
            return 0;
        }
    }
    else if (p[0] > 0x7f) { /* not positive fixint */
        return 0;
    }
    return size <= left ? size : 0;
}

/* Checks all lengths before msgpack-c does the parsing, since that allocates
 * as many items as an array claims to have. */
static bool
lengths_are_valid(const uint8_t *data, size_t len)
{
    for (size_t at = 0; at < len;) {
        size_t size = element_size(data + at, len - at);
        if (size == 0) {
            return false;
        }
        at += size;
    }
    return true;
}

bool
rg_unpack_start(struct rg_unpacker *in, const uint8_t *data, size_t len,
                uint64_t version, uint64_t *kind)
{
    uint64_t found;
    size_t used = 0;

    msgpack_unpacked_init(&in->result);
    if (!lengths_are_valid(data, len)) {
        return false;
    }
    if (msgpack_unpack_next(&in->result, (const char *)data, len, &used) !=
            MSGPACK_UNPACK_SUCCESS ||
        used != len)
    {
        return false;
    }
    const msgpack_object *o = &in->result.data;
    return rg_unpack_shape(o, 2) &&
           rg_unpack_u64(&o->via.array.ptr[0], version, &found) &&
           found == version &&
           rg_unpack_u64(&o->via.array.ptr[1], UINT8_MAX, kind);
}

void
rg_unpack_end(struct rg_unpacker *in)
{
    msgpack_unpacked_destroy(&in->result);
}

bool
rg_unpack_shape(const msgpack_object *o, size_t count)
{
    return o->type == MSGPACK_OBJECT_ARRAY && o->via.array.size >= count;
}

bool
rg_unpack_u64(const msgpack_object *o, uint64_t max, uint64_t *out)
{
    if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER || o->via.u64 > max) {
        return false;
    }
    *out = o->via.u64;
    return true;
}

bool
rg_unpack_list(const msgpack_object *o, size_t max, uint16_t *count)
{
    if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size > max) {
        return false;
    }
    *count = (uint16_t)o->via.array.size;
    return true;
}

bool
rg_unpack_bytes(const msgpack_object *o, uint8_t *out, size_t size,
                uint16_t *len)
{
    if (o->type != MSGPACK_OBJECT_BIN || o->via.bin.size > size) {
        return false;
    }
    if (o->via.bin.size > 0) {
        memcpy(out, o->via.bin.ptr, o->via.bin.size);
    }
    *len = (uint16_t)o->via.bin.size;
    return true;
}

bool
rg_unpack_text(const msgpack_object *o, struct rg_str *out)
{
    if (o->type != MSGPACK_OBJECT_BIN) {
        return false;
    }
    *out = (struct rg_str){.ptr = o->via.bin.ptr, .len = o->via.bin.size};
    return true;
}

bool
rg_unpack_name(const msgpack_object *o, struct rg_name *out)
{
    struct rg_str view;

    return rg_unpack_text(o, &view) && rg_name_set(out, view);
}

bool
rg_unpack_addr(const msgpack_object *o, struct rg_addr *out)
{
    uint8_t packed[ADDR_PACKED_LEN];
    uint16_t len;

    if (!rg_unpack_bytes(o, packed, sizeof(packed), &len) ||
        len != sizeof(packed)) {
        return false;
    }
    memcpy(out->ip, packed, RG_IP_LEN);
    out->port = (uint16_t)(packed[RG_IP_LEN] << 8 | packed[RG_IP_LEN + 1]);
    return true;
}
