/* Disks and machines of the simulated histories of members. */
#ifndef JR_QUORUM_MEMBERS_TEST_H
#define JR_QUORUM_MEMBERS_TEST_H

#include <cstdint>
#include <functional>
#include <set>
#include <vector>

extern "C" {
#include "jayrelay/quorum.h"
}

using Bytes = std::vector<uint8_t>;

struct Entry {
    uint64_t index;
    uint64_t term;
    jr_entry_kind_t kind;
    Bytes data;
};

struct Disk {
    uint64_t id = 0;
    uint64_t term = 0;
    uint64_t voted_for = 0;
    std::vector<Entry> entries;
};

struct Machine {
    Disk disk;
    jr_quorum_t *q = nullptr;
    int64_t up_at = 0;      /* while q is null */
    int64_t lost_until = 0; /* its disk counts as lost */
    int64_t next_join = 0;
    std::set<int> peers; /* machines that it knows */
    jr_join_ticket_t ticket = {};
};

struct Event {
    int64_t at;
    uint64_t order;
    std::function<void()> run;
    bool
    operator<(const Event &o) const
    {
        return at != o.at ? at > o.at : order > o.order;
    }
};

#endif
