/*
 * Discrete-event simulation, in virtual time, of a pool of executors and
 * entry processes that run the real relay code. Used by the relay's tests and
 * by the benchmark of its policies.
 */
#ifndef JR_RELAY_POOL_TEST_H
#define JR_RELAY_POOL_TEST_H

#include <algorithm>
#include <array>
#include <cmath>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "pool_metrics_test.h"

namespace pool {

class Pool {
  public:
    Pool(uint32_t seed, Options options) : options_(options), rng_(seed)
    {
        if (options_.route.kind == JR_ROUTE_SCORED &&
            options_.route.as.scored.candidates == 0) {
            options_.route.as.scored.candidates = 4;
        }
        for (int z = 0; z < options_.zones; z++) {
            for (int e = 0; e < options_.entries_per_zone; e++) {
                names_.push_back("entry-" + std::to_string(z) + "-" +
                                 std::to_string(e));
            }
        }
        for (int x = 0; x < options_.executors; x++) {
            executors_.push_back({"executor-" + std::to_string(x),
                                  x % options_.zones,
                                  0,
                                  Fault::kNone,
                                  false,
                                  0,
                                  0,
                                  {}});
        }
        entries_.resize(names_.size());
        for (size_t e = 0; e < entries_.size(); e++) {
            StartEntry((int)e);
        }
    }

    ~Pool()
    {
        for (Entry &entry : entries_) {
            StopEntry(entry);
        }
    }

    /* Calls per second that keep all slots busy. */
    double
    Capacity() const
    {
        return options_.executors * options_.slots * 1e6 / options_.service_us;
    }

    void
    SetFault(int executor, Fault fault)
    {
        executors_[(size_t)executor].fault = fault;
        if (fault == Fault::kDead) {
            AbortRuns(executors_[(size_t)executor]);
        }
    }

    void
    Leave(int executor)
    {
        executors_[(size_t)executor].leaving = true;
        executors_[(size_t)executor].leaving_since = now_;
    }

    /* Partition a zone from the others, or reconnect it. */
    void
    PartitionZone(int zone, bool partitioned)
    {
        partitioned_zone_ = partitioned ? zone : -1;
    }

    void
    SetCrossZoneLink(double loss, int64_t jitter_us)
    {
        cross_zone_loss_ = loss;
        cross_zone_jitter_us_ = jitter_us;
    }

    void
    KillEntry(int entry)
    {
        StopEntry(entries_[(size_t)entry]);
    }

    /* Simulate calls that arrive at a mean rate. */
    void
    Run(double seconds, double calls_per_s)
    {
        int64_t end = now_ + (int64_t)(seconds * 1e6);
        std::exponential_distribution<> gap(calls_per_s / 1e6);
        double next = (double)now_ + gap(rng_);

        while (now_ < end) {
            int64_t at = std::min({end, next_tick_, (int64_t)next});

            if (!events_.empty() && events_.top().at <= at) {
                now_ = events_.top().at;
                auto run = events_.top().run;

                events_.pop();
                run();
                continue;
            }
            now_ = at;
            if (now_ == next_tick_) {
                Tick();
            }
            if (now_ >= (int64_t)next && now_ < end) {
                Arrive();
                next += gap(rng_);
            }
        }
    }

    /* Simulate without new calls until the open ones have ended. */
    void
    Drain()
    {
        int64_t end = now_ + 3 * options_.deadline_us + 1000000;

        while (now_ < end) {
            if (!events_.empty() && events_.top().at <= next_tick_) {
                now_ = events_.top().at;
                auto run = events_.top().run;

                events_.pop();
                run();
            }
            else {
                now_ = next_tick_;
                Tick();
            }
        }
    }

    size_t
    OpenCalls() const
    {
        size_t n = 0;

        for (const Entry &entry : entries_) {
            n +=
                entry.relay != nullptr ? jr_relay_count_calls(entry.relay) : 0;
        }
        return n;
    }

    void
    ResetMetrics()
    {
        metrics = Metrics{};
    }

    uint64_t
    Counter(jr_counter_t counter) const
    {
        uint64_t n = 0;

        for (const Entry &entry : entries_) {
            n += entry.ctx != nullptr ? entry.ctx->counters[counter] : 0;
        }
        return n;
    }

    Metrics metrics;

  private:
    struct Request {
        int64_t arrived;
        int runs = 0;
        bool idempotent;
        bool has_outcome = false;
        bool is_forwarded = false;
        /* Of a forwarded call: reports its end to the entry it came from. */
        std::function<void(jr_attempt_end_t)> on_end;
        /* Client's request of a forwarded call; otherwise null. */
        std::shared_ptr<Request> origin;

        Request &
        ClientRequest()
        {
            return origin != nullptr ? *origin : *this;
        }
    };
    using RequestPtr = std::shared_ptr<Request>;
    struct Executor {
        std::string name;
        int zone;
        int in_use;
        Fault fault;
        bool leaving;
        int64_t leaving_since;
        uint64_t sequence;
        std::map<uint64_t, std::function<void()>> on_abort; /* by run */
    };
    struct Entry {
        jr_ctx_t *ctx = nullptr;
        jr_upstreams_t *upstreams = nullptr;
        jr_relay_t *relay = nullptr;
        Pool *pool = nullptr;
        int number = 0;
        std::vector<int> peers; /* entry numbers by peer index */
        std::vector<std::string> own_names;
        std::vector<const char *> pointers;
        uint64_t generation = 0;
        uint64_t newest_call = 0;
        uint64_t newest_attempt = 0;
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

    int
    ZoneOf(int entry) const
    {
        return entry / options_.entries_per_zone;
    }

    void
    At(int64_t delay, std::function<void()> run)
    {
        events_.push({now_ + delay, ++order_, std::move(run)});
    }

    double
    Uniform()
    {
        return std::uniform_real_distribution<>(0, 1)(rng_);
    }

    bool
    IsPartitioned(int zone_a, int zone_b) const
    {
        return zone_a != zone_b &&
               (zone_a == partitioned_zone_ || zone_b == partitioned_zone_);
    }

    void
    StartEntry(int number)
    {
        Entry &entry = entries_[(size_t)number];
        jr_relay_options_t options = {};
        int zone = ZoneOf(number);

        entry.pool = this;
        entry.number = number;
        entry.ctx = jr_new_ctx("pool", nullptr);
        entry.upstreams =
            jr_new_upstreams(entry.ctx, std::to_string(zone).c_str());
        for (int pass = 0; pass < 2; pass++) {
            for (int p = 0; p < (int)names_.size(); p++) {
                if ((ZoneOf(p) == zone) == (pass == 1) && p != number) {
                    entry.peers.push_back(p);
                    (pass == 0 ? options.n_other_zones : options.n_own_zone)++;
                }
            }
        }
        for (int p = 0; p < (int)names_.size(); p++) {
            if (ZoneOf(p) == zone) {
                if (p == number) {
                    options.self = entry.own_names.size();
                }
                entry.own_names.push_back(names_[(size_t)p]);
            }
        }
        if (options_.ignore_shares) {
            entry.own_names = {names_[(size_t)number]};
            options.self = 0;
        }
        for (const std::string &name : entry.own_names) {
            entry.pointers.push_back(name.c_str());
        }
        options.route = options_.route;
        options.admit = options_.admit;
        options.retry = options_.retry;
        options.retry_percent = 10;
        options.processes = entry.pointers.data();
        options.n_processes = entry.pointers.size();
        options.cross_zone_latency_us = 2 * options_.cross_zone_latency_us;
        options.seed = (uint32_t)rng_();
        options.hooks = {OnStart, OnFinish, OnAskLoan, &entry};
        entry.relay = jr_new_relay(entry.ctx, &options, entry.upstreams);
    }

    void
    StopEntry(Entry &entry)
    {
        entry.generation++;
        jr_drop_relay(entry.relay);
        jr_drop_upstreams(entry.upstreams);
        jr_drop_ctx(entry.ctx);
        entry.relay = nullptr;
        entry.upstreams = nullptr;
        entry.ctx = nullptr;
    }

    void
    Tick()
    {
        next_tick_ = now_ + 10000;
        if (now_ % 500000 == 0) {
            SendHeartbeats();
            Announce();
        }
        for (Entry &entry : entries_) {
            if (entry.relay != nullptr) {
                jr_relay_tick(entry.relay, now_);
            }
        }
    }

    void
    SendHeartbeats()
    {
        for (Entry &entry : entries_) {
            for (size_t k = 0;
                 entry.relay != nullptr && k < entry.peers.size(); k++) {
                Entry &peer = entries_[(size_t)entry.peers[k]];

                if (peer.relay != nullptr &&
                    !IsPartitioned(ZoneOf(entry.number),
                                   ZoneOf(peer.number))) {
                    jr_relay_mark_peer_alive(entry.relay, (int)k, now_ + 1);
                }
            }
        }
    }

    /* Deliver each announcement to all entries of the executor's zone. */
    void
    Announce()
    {
        for (Executor &x : executors_) {
            std::string zone = std::to_string(x.zone);
            jr_announcement_t a = {};

            if (x.fault == Fault::kDead) {
                continue;
            }
            a.name = x.name.c_str();
            a.address = "127.0.0.1:1";
            a.zone = zone.c_str();
            a.rack = "r";
            a.service = "advice";
            a.slots = options_.slots;
            a.connections = 64;
            a.sequence = ++x.sequence;
            a.is_leaving = x.leaving;
            for (Entry &entry : entries_) {
                if (entry.number == options_.partitioned_entry &&
                    x.leaving_since > 0) {
                    /* Gets no announcement, or ignores leaving. */
                    if (!options_.ignore_leaving) {
                        continue;
                    }
                    a.is_leaving = false;
                }
                if (entry.relay != nullptr && ZoneOf(entry.number) == x.zone) {
                    jr_relay_update_upstream(
                        entry.relay,
                        jr_upstreams_apply(entry.upstreams, &a, now_, nullptr),
                        now_);
                }
            }
        }
    }

    void
    Arrive()
    {
        int entry;
        RequestPtr request = std::make_shared<Request>();

        do {
            entry = (int)(rng_() % entries_.size());
        } while (entries_[(size_t)entry].relay == nullptr);
        request->arrived = now_;
        request->idempotent = Uniform() < options_.idempotent;
        metrics.calls++;
        Submit(entry, request, options_.deadline_us, false);
    }

    void
    Submit(int entry, const RequestPtr &request, int64_t deadline,
           bool forwarded)
    {
        /* The relay keeps the pointer until the outcome. */
        auto owner = std::make_unique<RequestPtr>(request);
        RequestPtr *user = owner.get();

        users_[user] = std::move(owner);
        jr_relay_call(entries_[(size_t)entry].relay, "advice", 50,
                      request->idempotent, forwarded, deadline, user, now_);
    }

    static void
    OnStart(void *user, jr_call_t *call, int64_t timeout_us)
    {
        Entry *entry = static_cast<Entry *>(user);
        Pool *p = entry->pool;
        RequestPtr request = *static_cast<RequestPtr *>(call->user);
        uint64_t id = call->id, attempt = call->attempt;
        uint64_t generation = entry->generation;
        auto end = [p, entry, id, attempt, generation,
                    request](jr_attempt_end_t how) {
            const void *token = &request->ClientRequest();

            if (entry->generation != generation) {
                return;
            }
            if (p->options_.report_all_not_run && how != JR_END_ANSWERED) {
                how = JR_END_NOT_RUN;
            }
            if (!jr_relay_end_attempt(entry->relay, id, attempt, how, token,
                                      p->now_) &&
                p->options_.misdeliver_late_answers &&
                how == JR_END_ANSWERED) {
                jr_relay_end_attempt(entry->relay, entry->newest_call,
                                     entry->newest_attempt, how, token,
                                     p->now_);
            }
        };

        entry->newest_call = id;
        entry->newest_attempt = attempt;

        (call->upstream != nullptr ? p->metrics.attempts
                                   : p->metrics.forwards)++;
        p->At(timeout_us, [end] { end(JR_END_TIMEOUT); });
        if (call->upstream != nullptr) {
            int x = atoi(call->upstream->name + strlen("executor-"));

            p->At(200, [p, x, request, end] { p->Execute(x, request, end); });
        }
        else {
            p->Forward(*entry, call->peer, request, timeout_us, end);
        }
    }

    void
    Forward(Entry &from, int peer, const RequestPtr &request,
            int64_t timeout_us, std::function<void(jr_attempt_end_t)> end)
    {
        int to = from.peers[(size_t)peer];
        int64_t delay = options_.cross_zone_latency_us;

        if (IsPartitioned(ZoneOf(from.number), ZoneOf(to)) ||
            entries_[(size_t)to].relay == nullptr) {
            At(500000, [end] { end(JR_END_NOT_CONNECTED); });
            return;
        }
        /* A lost packet is retransmitted, which delays the message. */
        if (Uniform() < cross_zone_loss_) {
            delay += 200000;
        }
        delay += (int64_t)(Uniform() * (double)cross_zone_jitter_us_);
        At(delay, [this, to, request, timeout_us, delay, end] {
            RequestPtr copy = std::make_shared<Request>();

            if (entries_[(size_t)to].relay == nullptr) {
                end(JR_END_BROKEN);
                return;
            }
            copy->arrived = now_;
            copy->idempotent = request->idempotent;
            copy->origin =
                request->origin != nullptr ? request->origin : request;
            copy->is_forwarded = true;
            copy->on_end = [this, delay, end](jr_attempt_end_t how) {
                At(delay, [end, how] { end(how); });
            };
            Submit(to, copy, std::max<int64_t>(timeout_us - 2 * delay, 1),
                   true);
        });
    }

    void
    Execute(int number, const RequestPtr &request,
            std::function<void(jr_attempt_end_t)> end)
    {
        Executor &x = executors_[(size_t)number];
        double time = options_.service_us *
                      std::lognormal_distribution<>(-0.125, 0.5)(rng_);
        uint64_t run = ++next_run_;

        metrics.after_leaving +=
            x.leaving_since > 0 && now_ - x.leaving_since > 3000000;
        if (x.fault == Fault::kDead) {
            end(JR_END_NOT_CONNECTED);
            return;
        }
        if (x.fault == Fault::kFastFail) {
            request->ClientRequest().runs++;
            At(300, [end] { end(JR_END_FAILED); });
            return;
        }
        if (x.in_use >= options_.slots) {
            metrics.over_slots++;
            At(200, [end] { end(JR_END_NOT_RUN); });
            return;
        }
        x.in_use++;
        if (++request->ClientRequest().runs > 1 && !request->idempotent) {
            metrics.duplicate_runs++;
        }
        if (x.fault == Fault::kSlow) {
            time *= 8;
        }
        x.on_abort[run] = [end] { end(JR_END_BROKEN); };
        At((int64_t)time, [this, number, run, end] {
            Executor &executor = executors_[(size_t)number];

            if (executor.on_abort.erase(run) > 0) {
                executor.in_use--;
                At(200, [end] { end(JR_END_ANSWERED); });
            }
        });
    }

    void
    AbortRuns(Executor &x)
    {
        auto aborted = std::move(x.on_abort);

        x.on_abort.clear();
        x.in_use = 0;
        for (auto &run : aborted) {
            auto end = run.second;

            At(200, end);
        }
    }

    static void
    OnFinish(void *user, jr_call_t *call, const jr_call_outcome_t *outcome)
    {
        Entry *entry = static_cast<Entry *>(user);
        RequestPtr *request_user = static_cast<RequestPtr *>(call->user);
        RequestPtr request = *request_user;

        entry->pool->users_.erase(request_user);
        entry->pool->metrics.misdelivered +=
            outcome->kind == JR_OUTCOME_ANSWERED &&
            outcome->as.answered.token != &request->ClientRequest();
        if (request->is_forwarded) {
            switch (outcome->kind) {
            case JR_OUTCOME_ANSWERED:
                request->on_end(JR_END_ANSWERED);
                break;
            case JR_OUTCOME_NOT_RUN:
                request->on_end(JR_END_NOT_RUN);
                break;
            case JR_OUTCOME_UNKNOWN:
                request->on_end(JR_END_BROKEN);
                break;
            }
            return;
        }
        entry->pool->Count(*request, outcome);
    }

    void
    Count(Request &request, const jr_call_outcome_t *outcome)
    {
        double took = (double)(now_ - request.arrived);

        metrics.duplicate_outcomes += request.has_outcome;
        request.has_outcome = true;
        switch (outcome->kind) {
        case JR_OUTCOME_ANSWERED:
            if (request.runs == 0) {
                metrics.failed++;
                break;
            }
            metrics.answered++;
            metrics.in_target += took <= (double)options_.deadline_us;
            metrics.latency_us.push_back(took);
            break;
        case JR_OUTCOME_NOT_RUN:
            metrics.refused++;
            metrics.refusal_us.push_back(took);
            metrics.wrong_not_run += request.runs > 0;
            metrics.reasons[jr_refusal_name(outcome->as.not_run.reason)]++;
            break;
        case JR_OUTCOME_UNKNOWN:
            metrics.unknown++;
            break;
        }
    }

    static void
    OnAskLoan(void *user, int peer, const char *service, int slots)
    {
        Entry *entry = static_cast<Entry *>(user);
        Pool *p = entry->pool;
        int to = entry->peers[(size_t)peer];
        int64_t asked = p->now_;
        std::string name = service;
        uint64_t generation = entry->generation;

        p->At(500, [p, entry, to, asked, name, slots, generation] {
            Entry &lender = p->entries_[(size_t)to];
            jr_upstream_t *upstream = nullptr;
            int lent = 0;

            if (lender.relay != nullptr) {
                lent = jr_relay_lend(lender.relay, name.c_str(), slots,
                                     &upstream, p->now_);
            }
            if (lent == 0) {
                return;
            }
            std::string which = upstream->name;

            p->At(500, [p, entry, asked, which, lent, generation] {
                if (entry->generation == generation) {
                    jr_relay_borrow(entry->relay, which.c_str(), lent, asked,
                                    p->now_);
                }
            });
        });
    }

    Options options_;
    std::mt19937 rng_;
    int64_t now_ = 0;
    int64_t next_tick_ = 0;
    uint64_t order_ = 0;
    uint64_t next_run_ = 0;
    int partitioned_zone_ = -1;
    double cross_zone_loss_ = 0;
    int64_t cross_zone_jitter_us_ = 0;
    std::vector<std::string> names_;
    std::vector<Executor> executors_;
    std::vector<Entry> entries_;
    std::map<RequestPtr *, std::unique_ptr<RequestPtr>> users_;
    std::priority_queue<Event> events_;
};

} // namespace pool

#endif
