/* Counters of a core. The list below defines the struct members, the metric
 * names and their help texts. */
#ifndef RG_CORE_COUNTERS_H
#define RG_CORE_COUNTERS_H

#include <stddef.h>
#include <stdint.h>

/* X(member, help) */
#define RG_COUNTERS(X)                                                        \
    X(packets_received, "packets from the fabric")                            \
    X(packets_steered_in, "packets from other instances")                     \
    X(packets_sent_upstream, "packets sent to upstreams")                     \
    X(packets_sent_peer, "packets sent to other instances")                   \
    X(packets_relayed, "packets passed on for instances that cannot reach "   \
                       "each other")                                          \
    X(control_received, "peer messages received")                             \
    X(control_bytes_sent, "bytes of peer messages sent")                      \
    X(control_messages_sent, "peer messages sent")                            \
    X(dropped_gue, "datagrams that are not valid encapsulation")              \
    X(dropped_truncated, "inner packets cut short")                           \
    X(dropped_version, "inner packets of an unknown IP version")              \
    X(dropped_length, "inner packets with contradictory lengths")             \
    X(dropped_fragment, "inner packets that are fragments")                   \
    X(dropped_protocol, "inner packets neither TCP nor UDP")                  \
    X(dropped_looping, "packets past the hop limit")                          \
    X(dropped_alien, "datagrams from hosts outside the allowed networks")     \
    X(dropped_stale, "datagrams that waited out a pause of this process")     \
    X(dropped_message, "peer messages that could not be read")                \
    X(dropped_no_service, "packets for an address that is no service")        \
    X(dropped_no_config, "packets that came before any configuration")        \
    X(dropped_reused_address, "packets whose upstream's address is now "      \
                              "another service's")                            \
    X(dropped_table_full, "openings dropped as the flow table is full")       \
    X(dropped_no_flow, "packets of no known flow that cannot open one")       \
    X(flows_opened, "flows this instance chose an upstream for")              \
    X(flows_by_table, "of these, to the default of the table")                \
    X(flows_by_balance, "of these, to another upstream for balance")          \
    X(flows_by_fallback, "of these, as the default could not take them")      \
    X(flows_moved, "unanswered openings moved to another upstream")           \
    X(flows_refused, "callers refused")                                       \
    X(flows_adopted, "records taken over from other instances")               \
    X(flows_orphaned, "flows found with no holder; table default used")       \
    X(packets_held, "packets of no known flow not passed on while members "   \
                    "are missing, or before joining")                         \
    X(lookups, "lookups sent to other instances")                             \
    X(lookups_found, "lookups answered with a record")                        \
    X(replicas_stored, "records stored as replica")                           \
    X(choice_conflicts, "choices that differed from the replica's")           \
    X(handover_sent, "records handed over when leaving")                      \
    X(handover_stored, "records received from leaving instances")

struct rg_counters {
#define X(member, help) uint64_t member;
    RG_COUNTERS(X)
#undef X
};

/* Metric name, help text and struct offset of each counter. */
struct rg_counter_info {
    const char *name;
    const char *help;
    size_t offset;
};

extern const struct rg_counter_info rg_counter_infos[];
extern const size_t rg_counter_info_count;

#endif
