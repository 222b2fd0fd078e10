/* Flows in messages between instances. */
#ifndef RG_EDGE_FLOW_CODEC_H
#define RG_EDGE_FLOW_CODEC_H

#include "balance/balancer.h"
#include "proto/messages.gen.h"

static inline struct rg_msg_flow_id
rg_flow_encode(const struct rg_flow_id *f)
{
    return (struct rg_msg_flow_id){
        .caller_ip = f->caller_ip,
        .service_ip = f->service_ip,
        .caller_port = f->caller_port,
        .service_port = f->service_port,
    };
}

static inline struct rg_flow_id
rg_flow_decode(const struct rg_msg_flow_id *f)
{
    return (struct rg_flow_id){
        .caller_ip = f->caller_ip,
        .service_ip = f->service_ip,
        .caller_port = f->caller_port,
        .service_port = f->service_port,
    };
}

static inline struct rg_msg_flow_record
rg_flow_record_encode(const struct rg_flow_record *r)
{
    return (struct rg_msg_flow_record){
        .flow = rg_flow_encode(&r->flow),
        .token = r->token,
        .opening_seq = r->opening_seq,
        .ack = r->ack,
        .age_ms = r->age_ms,
    };
}

#endif
