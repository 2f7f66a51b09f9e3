/* Level, trend and peak of a demand by exponential smoothing. */
#include "jayrelay/demand.h"

#include <math.h>

static const double PEAK_HALF_LIFE_MS = 15000.0;
/* Shorter than a burst, longer than the gaps between arrivals. */
static const double LEVEL_HALF_LIFE_MS = 300.0;
static const double SLOPE_HALF_LIFE_MS = 600.0;
/* Most that is expected, as a multiple of the latest demand. */
static const double RISE_MAX = 1.3;

static double
smooth(double old, double value, double age_ms, double half_life_ms)
{
    return value + (old - value) * exp2(-age_ms / half_life_ms);
}

void
jr_demand_note(jr_demand_t *demand, double value, int64_t now)
{
    double age = (double)(now - demand->at);
    double level;

    if (demand->at == 0) {
        *demand = (jr_demand_t){
            .latest = value, .level = value, .peak = value, .at = now};
        return;
    }
    demand->latest = value;
    if (age <= 0.0) {
        demand->peak = fmax(demand->peak, value);
        return;
    }
    level = smooth(demand->level, value, age, LEVEL_HALF_LIFE_MS);
    demand->slope = smooth(demand->slope, (level - demand->level) / age, age,
                           SLOPE_HALF_LIFE_MS);
    demand->level = level;
    demand->peak =
        fmax(value, smooth(demand->peak, 0.0, age, PEAK_HALF_LIFE_MS));
    demand->at = now;
}

double
jr_demand_expected(const jr_demand_t *demand, int64_t ahead_ms)
{
    double expected = demand->level + demand->slope * (double)ahead_ms;

    return fmax(demand->latest, fmin(expected, RISE_MAX * demand->latest));
}
