/*
 * Checks of decoded configurations. The failure: a mistake in a configuration
 * is seen only once jobs are refused, late or never run.
 */
#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <string>
#include <tuple>
#include <vector>

extern "C" {
#include "jayrelay/check.h"
#include "jayrelay/job.h"
}

namespace {

/* A finding: rule, index, other, fields. */
using Finding = std::tuple<int, size_t, size_t, unsigned>;

void
Collect(void *user, const jr_check_finding_t *f)
{
    static_cast<std::vector<Finding> *>(user)->emplace_back(
        f->rule, f->index, f->other, f->fields);
}

/* A configuration whose queues and services are added one by one. */
class Config {
  public:
    explicit Config(uint64_t version = 1)
    {
        jr__job_config__init(&config_);
        config_.version = version;
    }

    Config(const Config &) = delete;

    ~Config()
    {
        for (Jr__JobQueue *queue : queues_) {
            free(queue->host);
            free(queue->prefix);
            free(queue->service);
            delete queue;
        }
        for (Jr__JobService *service : services_) {
            free(service->name);
            delete service;
        }
    }

    Jr__JobQueue *
    Queue(const std::string &host, const std::string &prefix,
          const std::string &service = "s")
    {
        auto *queue = new Jr__JobQueue;

        jr__job_queue__init(queue);
        queue->host = strdup(host.c_str());
        queue->prefix = strdup(prefix.c_str());
        queue->service = strdup(service.c_str());
        queue->stretch_permille = 1000;
        queues_.push_back(queue);
        limits_.push_back({1000, false});
        return queue;
    }

    jr_check_limits_t &
    Limits(size_t i)
    {
        return limits_[i];
    }

    Jr__JobService *
    Service(const std::string &name)
    {
        auto *service = new Jr__JobService;

        jr__job_service__init(service);
        service->name = strdup(name.c_str());
        services_.push_back(service);
        return service;
    }

    jr_check_subject_t
    Subject()
    {
        config_.queues = queues_.data();
        config_.n_queues = queues_.size();
        config_.services = services_.data();
        config_.n_services = services_.size();
        return {&config_, limits_.data()};
    }

    std::vector<Finding>
    Check()
    {
        jr_check_subject_t subject = Subject();
        std::vector<Finding> found;

        jr_check_config(&subject, Collect, &found);
        return found;
    }

    std::vector<Finding>
    ChangeFrom(Config *old)
    {
        jr_check_subject_t in_force = old->Subject();
        jr_check_subject_t subject = Subject();
        std::vector<Finding> found;

        jr_check_change(&in_force, &subject, Collect, &found);
        return found;
    }

  private:
    Jr__JobConfig config_;
    std::vector<Jr__JobQueue *> queues_;
    std::vector<Jr__JobService *> services_;
    std::vector<jr_check_limits_t> limits_;
};

using Findings = std::vector<Finding>;

TEST(Check, AnUsualConfigurationHasNoFindings)
{
    Config config;
    Jr__JobQueue *queue = config.Queue("h.example", "/q/");

    config.Service("s");
    queue->objective_ms = 300;
    queue->advice_call_ms = 299;
    config.Queue("h.example", "/q/longer/");
    EXPECT_EQ(config.Check(), Findings{});
}

TEST(Check, AHostWithAPortOrABlankNeverMatches)
{
    Config config;

    config.Service("s");
    config.Queue("h:80", "/");
    config.Queue("h h", "/");
    EXPECT_EQ(config.Check(),
              (Findings{{JR_CHECK_HOST_NEVER_MATCHES, 0, 0, 0},
                        {JR_CHECK_HOST_NEVER_MATCHES, 1, 1, 0}}));
}

TEST(Check, APrefixWithAQueryIsFound)
{
    Config config;

    config.Service("s");
    config.Queue("h", "/q?x=");
    EXPECT_EQ(config.Check(),
              (Findings{{JR_CHECK_PREFIX_HAS_QUERY, 0, 0, 0}}));
}

/* Jobs of two such queues would be counted as those of one. */
TEST(Check, NamesThatAreCutAreFound)
{
    Config config;

    config.Service("s");
    config.Queue("h", std::string(JR_JOB_QUEUE_NAME_MAX_BYTES - 1, '/'));
    config.Queue("h", std::string(JR_JOB_QUEUE_NAME_MAX_BYTES, '/'));
    EXPECT_EQ(config.Check(), (Findings{{JR_CHECK_NAME_TOO_LONG, 1, 1, 0}}));
}

TEST(Check, ServicesWithoutUseAreFound)
{
    Config config;

    config.Service("s");
    config.Service("t");
    config.Service("s");
    config.Queue("h", "/");
    EXPECT_EQ(config.Check(),
              (Findings{{JR_CHECK_SERVICE_UNUSED, 1, 1, 0},
                        {JR_CHECK_SERVICE_REPEATED, 2, 0, 0}}));
}

TEST(Check, AStretchBelowOneNeedsAnObjective)
{
    Config config;

    config.Service("s");
    config.Queue("h", "/a")->stretch_permille = 999;
    config.Queue("h", "/b")->stretch_permille = 0; /* no deadline at all */
    config.Queue("h", "/c")->stretch_permille = 500;
    config.Queue("h", "/d")->objective_ms = 1;
    EXPECT_EQ(config.Check(),
              (Findings{{JR_CHECK_OBJECTIVE_UNREACHABLE, 0, 0, 0},
                        {JR_CHECK_OBJECTIVE_UNREACHABLE, 2, 2, 0}}));
}

TEST(Check, LimitsThatContradictEachOtherAreFound)
{
    Config config;
    Jr__JobQueue *queue = config.Queue("h", "/");

    config.Service("s");
    queue->objective_ms = 1001;
    queue->advice_call_ms = 1001;
    config.Limits(0).has_max_failures = true;
    EXPECT_EQ(config.Check(),
              (Findings{{JR_CHECK_NO_ATTEMPTS, 0, 0, 0},
                        {JR_CHECK_TIMEOUT_BELOW_OBJECTIVE, 0, 0, 0},
                        {JR_CHECK_ADVICE_PASSES_OBJECTIVE, 0, 0, 0}}));
}

TEST(Check, ATighterObjectiveRanksFirst)
{
    Config config;
    const struct {
        const char *service;
        uint32_t objective, priority, stretch;
    } rows[] = {
        {"s", 300, 2, 1000}, /* behind the next one */
        {"s", 500, 1, 1000},
        {"s", 500, 3, 1000}, /* as tight as the one before */
        {"t", 100, 9, 1000}, /* other workers */
        {"s", 100, 9, 2000}, /* other stretch: not comparable */
        {"s", 0, 0, 1000},   /* no objective */
        {"s", 400, 1, 1000}, /* an equal priority */
    };

    config.Service("s");
    config.Service("t");
    for (size_t i = 0; i < std::size(rows); i++) {
        Jr__JobQueue *queue =
            config.Queue("h", "/" + std::to_string(i), rows[i].service);

        queue->objective_ms = rows[i].objective;
        queue->priority = rows[i].priority;
        queue->stretch_permille = rows[i].stretch;
    }
    EXPECT_EQ(config.Check(),
              (Findings{{JR_CHECK_PRIORITY_INVERTED, 0, 1, 0}}));
}

/* The sweep finds the same queues as the comparison of all pairs. */
TEST(Check, PrioritiesAreComparedWithAllQueues)
{
    for (unsigned seed = 1; seed <= 200; seed++) {
        std::mt19937 rng(seed);
        Config config;
        std::vector<Jr__JobQueue *> queues;
        std::vector<size_t> expected, found;

        config.Service("s");
        config.Service("t");
        for (size_t i = 0; i < 12; i++) {
            queues.push_back(config.Queue("h", "/" + std::to_string(i),
                                          rng() % 2 == 0 ? "s" : "t"));
            queues[i]->objective_ms = rng() % 5;
            queues[i]->priority = rng() % 4;
            queues[i]->stretch_permille = 1000 + rng() % 2;
        }
        for (size_t i = 0; i < queues.size(); i++) {
            bool inverted = false;

            for (const Jr__JobQueue *other : queues) {
                inverted |=
                    queues[i]->objective_ms > 0 &&
                    strcmp(other->service, queues[i]->service) == 0 &&
                    other->stretch_permille == queues[i]->stretch_permille &&
                    other->objective_ms > queues[i]->objective_ms &&
                    other->priority < queues[i]->priority;
            }
            if (inverted) {
                expected.push_back(i);
            }
        }
        for (const Finding &f : config.Check()) {
            if (std::get<0>(f) == JR_CHECK_PRIORITY_INVERTED) {
                found.push_back(std::get<1>(f));
            }
        }
        std::sort(found.begin(), found.end());
        EXPECT_EQ(found, expected) << "seed " << seed;
    }
}

TEST(Check, AVersionMustBeHigherThanTheOneInForce)
{
    Config old(7), equal(7), lower(6), higher(8);
    const Findings refused = {{JR_CHECK_VERSION_NOT_HIGHER, 0, 0, 0}};

    EXPECT_EQ(equal.ChangeFrom(&old), refused);
    EXPECT_EQ(lower.ChangeFrom(&old), refused);
    EXPECT_EQ(higher.ChangeFrom(&old), Findings{});
}

TEST(Check, TheOrderOfEntriesIsNoChange)
{
    Config old(1), config(2);

    old.Queue("h", "/a");
    old.Queue("h", "/b");
    old.Service("s");
    old.Service("t");
    config.Service("t");
    config.Service("s");
    config.Queue("h", "/b");
    config.Queue("h", "/a");
    EXPECT_EQ(config.ChangeFrom(&old), Findings{});
}

/* Jobs of a queue that vanishes without its service would wait for ever. */
TEST(Check, QueuesThatVanishAndComeAreFound)
{
    Config old(1), config(2);

    old.Service("s");
    old.Service("gone");
    old.Queue("h", "/a");
    old.Queue("h", "/b", "gone");
    config.Service("s");
    config.Service("new");
    config.Queue("H", "/a"); /* another queue to the jobs of the earlier one */
    EXPECT_EQ(config.ChangeFrom(&old),
              (Findings{{JR_CHECK_QUEUE_REMOVED, 0, 0, 0},
                        {JR_CHECK_QUEUE_STRANDED, 1, 1, 0},
                        {JR_CHECK_QUEUE_ADDED, 0, 0, 0},
                        {JR_CHECK_SERVICE_REMOVED, 1, 1, 0},
                        {JR_CHECK_SERVICE_ADDED, 1, 1, 0}}));
}

TEST(Check, EachFieldOfAQueueIsCompared)
{
    using Edit = void (*)(Jr__JobQueue *, jr_check_limits_t *);
    const std::pair<unsigned, Edit> edits[] = {
        {JR_FIELD_PRIORITY, [](auto *q, auto *) { q->priority++; }},
        {JR_FIELD_MAX_FAILURES, [](auto *q, auto *) { q->max_failures++; }},
        {JR_FIELD_OBJECTIVE, [](auto *q, auto *) { q->objective_ms++; }},
        {JR_FIELD_STRETCH, [](auto *q, auto *) { q->stretch_permille++; }},
        {JR_FIELD_TIMEOUT, [](auto *, auto *l) { l->timeout_ms++; }},
        {JR_FIELD_ADVICE_CALL, [](auto *q, auto *) { q->advice_call_ms++; }},
        {JR_FIELD_ADVICE_WORKER,
         [](auto *q, auto *) { q->advice_worker_ms++; }},
        {JR_FIELD_ADVICE_VALID, [](auto *q, auto *) { q->advice_valid_ms++; }},
    };

    for (const auto &[field, edit] : edits) {
        Config old(1), config(2);

        old.Queue("h", "/b");
        old.Queue("h", "/a");
        Jr__JobQueue *queue = config.Queue("h", "/a");

        edit(queue, &config.Limits(0));
        config.Queue("h", "/b");
        EXPECT_EQ(config.ChangeFrom(&old),
                  (Findings{{JR_CHECK_QUEUE_CHANGED, 0, 1, field}}));
    }
}

TEST(Check, AQueueThatGoesToAnotherServiceIsFound)
{
    Config old(1), config(2);

    for (Config *c : {&old, &config}) {
        c->Service("s");
        c->Service("t")->checks_room = c == &config;
    }
    old.Queue("h", "/a", "s");
    config.Queue("h", "/a", "t")->priority = 1;
    EXPECT_EQ(config.ChangeFrom(&old),
              (Findings{{JR_CHECK_QUEUE_MOVED, 0, 0,
                         JR_FIELD_SERVICE | JR_FIELD_PRIORITY},
                        {JR_CHECK_SERVICE_CHANGED, 1, 1, 0}}));
}

} // namespace
