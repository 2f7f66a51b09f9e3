/*
 * Demands that could not be placed in the present pass. Tasks of the same kind
 * and service that need at least as much are not tried.
 */
#include "dispatch.h"

#include <string.h>

struct jr_shapes {
    GArray *by_kind[JR_SHAPE_KINDS]; /* of jr_shape_t */
};

jr_shapes_t *
jr_new_shapes(jr_ctx_t *ctx)
{
    jr_shapes_t *shapes = jr_alloc(ctx, sizeof *shapes);

    for (size_t i = 0; i < JR_SHAPE_KINDS; i++) {
        shapes->by_kind[i] = g_array_new(FALSE, FALSE, sizeof(jr_shape_t));
    }
    return shapes;
}

void
jr_drop_shapes(jr_ctx_t *ctx, jr_shapes_t *shapes)
{
    if (shapes == NULL) {
        return;
    }
    for (size_t i = 0; i < JR_SHAPE_KINDS; i++) {
        g_array_unref(shapes->by_kind[i]);
    }
    jr_free(ctx, shapes);
}

void
jr_shapes_clear(jr_shapes_t *shapes)
{
    for (size_t i = 0; i < JR_SHAPE_KINDS; i++) {
        g_array_set_size(shapes->by_kind[i], 0);
    }
}

static jr_shape_kind_t
kind_of(const Jr__JobStep *step)
{
    return step->service  ? JR_SHAPE_SERVICE
           : step->filler ? JR_SHAPE_BEST_EFFORT
                          : JR_SHAPE_SHORT;
}

/* Best-effort tasks reserve no processors, but need some to make progress. */
static jr_need_t
demand_of(const Jr__JobStep *step, const jr_need_t *need)
{
    jr_need_t demand = *need;

    if (step->filler) {
        demand.cpu_milli = step->cpu_milli;
    }
    return demand;
}

jr_shape_t
jr_shape_of(const jr_dispatch_t *d, const jr_job_task_t *task,
            const jr_need_t *need)
{
    const Jr__JobStep *step = jr_task_step(task);

    return (jr_shape_t){
        .service = task->job->queue->last_config->service,
        .kind = kind_of(step),
        .need = demand_of(step, need),
        .image = step->filler ? step->image : "",
        .waited_ms = step->service ? jr_reserve_waited(d, task) : 0,
    };
}

static bool
is_at_least(const jr_need_t *a, const jr_need_t *b)
{
    return a->cpu_milli >= b->cpu_milli && a->memory_mb >= b->memory_mb &&
           a->accelerators >= b->accelerators;
}

bool
jr_shapes_has(const jr_shapes_t *shapes, const jr_shape_t *shape)
{
    const GArray *known = shapes->by_kind[shape->kind];

    for (guint i = 0; i < known->len; i++) {
        const jr_shape_t *other = &g_array_index(known, jr_shape_t, i);

        if (shape->waited_ms <= other->waited_ms &&
            is_at_least(&shape->need, &other->need) &&
            strcmp(other->image, shape->image) == 0 &&
            strcmp(other->service, shape->service) == 0) {
            return true;
        }
    }
    return false;
}

/*
 * The failure of a step with a label or a limit per worker is not recorded:
 * other tasks do not have these constraints.
 */
void
jr_shapes_add(jr_shapes_t *shapes, const Jr__JobStep *step,
              const jr_shape_t *shape)
{
    if (*step->label == '\0' && step->per_worker == 0) {
        g_array_append_val(shapes->by_kind[shape->kind], *shape);
    }
}
