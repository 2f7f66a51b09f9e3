/**
 * DOC: demand - short-term forecast of a demand that varies
 *
 * Load: a demand that rises and falls within seconds, with or without a
 * period, and single bursts. Follows the demand's level, its trend and its
 * recent peak. A new leader starts without a forecast and has one after a few
 * seconds; until then it expects what it sees.
 */
#ifndef JAYRELAY_DEMAND_H
#define JAYRELAY_DEMAND_H

#include <stdint.h>

/**
 * struct jr_demand_t - a demand; zeroed before its first use
 * @latest: as it was noted last
 * @level: smoothed demand
 * @slope: smoothed change of the level, per ms
 * @peak: recent peak; halves within a fixed time
 * @at: when it was noted last, ms; 0: never
 */
typedef struct {
    double latest;
    double level;
    double slope;
    double peak;
    int64_t at;
} jr_demand_t;

/** jr_demand_note - the demand is @value at @now, ms */
void jr_demand_note(jr_demand_t *demand, double value, int64_t now);

/**
 * jr_demand_expected - the demand expected in @ahead_ms
 *
 * Never less than the latest demand, and at most a fixed part above it, so a
 * wrong forecast costs little.
 */
double jr_demand_expected(const jr_demand_t *demand, int64_t ahead_ms);

#endif
