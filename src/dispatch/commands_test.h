/* Log commands for tests that apply them one by one. */
#ifndef JR_DISPATCH_COMMANDS_TEST_H
#define JR_DISPATCH_COMMANDS_TEST_H

#include <cstdint>
#include <string>
#include <vector>

extern "C" {
#include "jayrelay/dispatch.h"
}

using Bytes = std::vector<uint8_t>;

inline Bytes
PackCommand(Jr__JobCommand *command, int64_t at_ms)
{
    Bytes bytes;

    command->at_ms = at_ms;
    bytes.resize(jr__job_command__get_packed_size(command));
    jr__job_command__pack(command, bytes.data());
    return bytes;
}

/* One queue, /q/ of host h, served by the service s. */
inline Bytes
PackConfig(int64_t at_ms)
{
    Jr__JobQueue queue = JR__JOB_QUEUE__INIT;
    Jr__JobQueue *queues[] = {&queue};
    Jr__JobConfig config = JR__JOB_CONFIG__INIT;
    Jr__JobCommand command = JR__JOB_COMMAND__INIT;

    queue.host = const_cast<char *>("h");
    queue.prefix = const_cast<char *>("/q/");
    queue.service = const_cast<char *>("s");
    queue.max_failures = 3;
    config.version = 1;
    config.n_queues = 1;
    config.queues = queues;
    command.body_case = JR__JOB_COMMAND__BODY_CONFIG;
    command.config = &config;
    return PackCommand(&command, at_ms);
}

/* A worker of the service s with four processors. */
inline Bytes
PackWorker(std::string id, int64_t born, bool is_draining, int64_t at_ms,
           const char *zone = "z")
{
    Jr__JobWorker info = JR__JOB_WORKER__INIT;
    Jr__JobCommand command = JR__JOB_COMMAND__INIT;

    info.id = id.data();
    info.born = born;
    info.address = const_cast<char *>("10.0.0.1:1");
    info.zone = const_cast<char *>(zone);
    info.service = const_cast<char *>("s");
    info.machine = const_cast<char *>("m");
    info.cpu_milli = 4000;
    info.memory_mb = 1000;
    info.draining = is_draining;
    command.body_case = JR__JOB_COMMAND__BODY_WORKER;
    command.worker = &info;
    return PackCommand(&command, at_ms);
}

/* A job with a single task of a minute. */
inline Bytes
PackSubmit(uint32_t cpu_milli, int64_t at_ms, uint64_t id = 1)
{
    Jr__JobStep step = JR__JOB_STEP__INIT;
    Jr__JobStep *steps[] = {&step};
    Jr__JobSpec spec = JR__JOB_SPEC__INIT;
    Jr__JobSubmit submit = JR__JOB_SUBMIT__INIT;
    Jr__JobCommand command = JR__JOB_COMMAND__INIT;

    step.count = 1;
    step.cpu_milli = cpu_milli;
    step.estimate_ms = 60000;
    spec.id = id;
    spec.host = const_cast<char *>("h");
    spec.prefix = const_cast<char *>("/q/");
    spec.n_steps = 1;
    spec.steps = steps;
    submit.spec = &spec;
    command.body_case = JR__JOB_COMMAND__BODY_SUBMIT;
    command.submit = &submit;
    return PackCommand(&command, at_ms);
}

#endif
