/* The choice of workers for the tasks of a step. */
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "fleet_test.h"

extern "C" {
#include "dispatch/dispatch.h"
}

namespace {

constexpr size_t kWorkers = 40;
constexpr uint32_t kTasks = 120;

/* Workers with different loads, and a job whose tasks are not placed. */
void
FillWorkers(Fleet *fleet)
{
    fleet->task_ms = 60000;
    for (uint64_t id = 1; id <= kWorkers / 2; id++) {
        fleet->Submit(id, {MakeStep(1 + id % 3, 300 + 150 * (id % 5))});
    }
    fleet->Run(3000);
}

/* A job that the dispatcher has not seen in a pass. */
jr_job_t *
AddJob(jr_jobs_t *jobs, Jr__JobStep *step)
{
    Jr__JobCommand command = JR__JOB_COMMAND__INIT;
    Jr__JobSubmit submit = JR__JOB_SUBMIT__INIT;
    Jr__JobSpec spec = JR__JOB_SPEC__INIT;
    Jr__JobStep *steps[] = {step};
    std::vector<uint8_t> bytes;

    spec.id = 99;
    spec.host = const_cast<char *>("h");
    spec.prefix = const_cast<char *>("/q/");
    spec.n_steps = 1;
    spec.steps = steps;
    submit.spec = &spec;
    command.body_case = JR__JOB_COMMAND__BODY_SUBMIT;
    command.submit = &submit;
    bytes.resize(jr__job_command__get_packed_size(&command));
    jr__job_command__pack(&command, bytes.data());
    jr_jobs_apply(jobs, bytes.data(), bytes.size());
    return jr_jobs_find(jobs, spec.id);
}

std::vector<std::string>
ChooseAll(jr_dispatch_t *d, jr_job_t *job, bool by_ranking)
{
    std::vector<std::string> chosen;
    std::vector<jr_run_t *> runs;
    jr_ranking_t *ranking = nullptr;
    jr_need_t need;

    jr_need_of(job->spec->steps[0], &need);
    jr_places_refresh(d);
    for (uint32_t i = 0; i < job->n_tasks; i++) {
        jr_job_task_t *task = &job->tasks[i];
        jr_tracked_worker_t *w;

        if (by_ranking && ranking == nullptr) {
            ranking = jr_new_ranking(d, task, &need);
        }
        w = by_ranking ? jr_ranking_next(ranking, task)
                       : jr_choose_worker(d, task, &need);
        if (w == nullptr) {
            break;
        }
        chosen.push_back(w->worker->info->id);
        runs.push_back(jr_run_new(d, task, w, JR_RUN_PROPOSED));
    }
    jr_drop_ranking(ranking);
    for (jr_run_t *run : runs) {
        jr_run_free(d, run);
    }
    return chosen;
}

/*
 * Load: one step of many equal tasks on many workers. Evaluated once, they
 * must go where they would go one by one.
 */
TEST(ChooseTest, AStepOfManyTasksIsPlacedAsItsTasksOneByOne)
{
    Fleet fleet(1, kWorkers);
    Jr__JobStep step = MakeStep(kTasks, 700);
    std::vector<std::string> one_by_one;
    jr_job_t *job;

    FillWorkers(&fleet);
    jr_reserve_update(fleet.dispatch);
    job = AddJob(fleet.jobs, &step);
    ASSERT_NE(job, nullptr);
    one_by_one = ChooseAll(fleet.dispatch, job, false);
    EXPECT_GT(one_by_one.size(), kWorkers);
    EXPECT_EQ(ChooseAll(fleet.dispatch, job, true), one_by_one);
}

/* The same for best-effort tasks, whose cost depends on their neighbours. */
TEST(ChooseTest, BestEffortTasksArePlacedAsOneByOne)
{
    Fleet fleet(2, kWorkers);
    Jr__JobStep step = MakeStep(kTasks, 700);
    std::vector<std::string> one_by_one;
    jr_job_t *job;

    step.filler = 1;
    step.image = const_cast<char *>("best-effort");
    FillWorkers(&fleet);
    jr_reserve_update(fleet.dispatch);
    job = AddJob(fleet.jobs, &step);
    ASSERT_NE(job, nullptr);
    one_by_one = ChooseAll(fleet.dispatch, job, false);
    EXPECT_GT(one_by_one.size(), kWorkers);
    EXPECT_EQ(ChooseAll(fleet.dispatch, job, true), one_by_one);
}

/*
 * The leader of many workers had no processor left: each pass looked at all
 * workers for each of the many tasks that found no capacity.
 */
TEST(ChooseTest, TasksWithoutCapacityExamineNoFullWorkers)
{
    constexpr uint64_t kWaiting = 200;
    Fleet fleet(3, kWorkers);
    uint64_t passes, examined;

    fleet.task_ms = 60000;
    fleet.Submit(1, {MakeStep(kWorkers, 4000)});
    fleet.Run(2000);
    ASSERT_EQ(fleet.Running(1), kWorkers);
    for (uint64_t i = 0; i < kWaiting; i++) {
        /* Of less and less processors, so that no failure tells the next. */
        fleet.Submit(2 + i, {MakeStep(1, (uint32_t)(3900 - 10 * i))});
    }
    fleet.Run(1000);
    passes = fleet.Counter(JR_C_PASSES);
    examined = fleet.Counter(JR_C_WORKERS_EXAMINED);
    fleet.Run(1000);
    passes = fleet.Counter(JR_C_PASSES) - passes;
    examined = fleet.Counter(JR_C_WORKERS_EXAMINED) - examined;
    EXPECT_GT(passes, 5u);
    EXPECT_EQ(examined, 0u);
}

} // namespace
