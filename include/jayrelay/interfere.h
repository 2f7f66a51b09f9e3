/**
 * DOC: interfere - how much tasks disturb services
 *
 * For each pair of a service and a class of tasks the model estimates how
 * much the service slows down for each share of a host's processors that
 * tasks of the class use there. It learns from measurements that lag, so
 * they are compared with the loads of that time; an estimate
 * that is not confirmed decays, and an unknown pair is reckoned with a
 * cautious slope until it has been seen.
 */
#ifndef JAYRELAY_INTERFERE_H
#define JAYRELAY_INTERFERE_H

#include <uthash.h>

#include "jayrelay/ctx.h"

enum {
    JR_HOST_SERVICES_MAX = 4,
    JR_HOST_CLASSES_MAX = 8,
    JR_PAIR_NAME_BYTES = 64,
    /* Measurements of a service lag behind by about. */
    JR_SLOWDOWN_LAG_MS = 10000,
    JR_LOAD_SECONDS = 11,
};

/**
 * struct jr_class_load_t - share of a host that a class of tasks uses
 * @now: 0 to 1
 * @history: what it was in each of the last seconds, a ring
 */
typedef struct {
    char class_name[JR_PAIR_NAME_BYTES];
    double now;
    double history[JR_LOAD_SECONDS];
} jr_class_load_t;

/**
 * struct jr_host_load_t - what runs on a host, as the model sees it
 * @services: names of its services
 * @slowdowns: measured, 1.0 is undisturbed
 * @predicted: worst slowdown that the model expects for the loads of now
 */
typedef struct {
    char services[JR_HOST_SERVICES_MAX][JR_PAIR_NAME_BYTES];
    double slowdowns[JR_HOST_SERVICES_MAX];
    size_t n_services;
    jr_class_load_t classes[JR_HOST_CLASSES_MAX];
    size_t n_classes;
    double predicted;
    int64_t updated_at;
} jr_host_load_t;

typedef struct jr_interference jr_interference_t;

/** jr_new_interference - a model that has seen nothing */
jr_interference_t *jr_new_interference(jr_ctx_t *ctx);

/** jr_drop_interference - free; NULL is accepted */
void jr_drop_interference(jr_interference_t *model);

/** jr_host_load_begin - start to take a host's loads anew */
void jr_host_load_begin(jr_host_load_t *host);

/** jr_host_load_add - tasks of a class use a share of the host */
void jr_host_load_add(jr_host_load_t *host, const char *class_name,
                      double share);

/** jr_host_load_end - all loads are in */
void jr_host_load_end(jr_host_load_t *host, int64_t now);

/**
 * jr_interference_learn - compare a host's slowdowns with the estimate
 *
 * Also notes what the model predicts for the host.
 */
void jr_interference_learn(jr_interference_t *model, jr_host_load_t *host,
                           int64_t now);

/**
 * jr_interference_slope - slowdown of a service for a whole host of a class
 *
 * Return: the estimate, with a margin that shrinks as the pair is seen.
 */
double jr_interference_slope(const jr_interference_t *model,
                             const char *service, const char *class_name,
                             int64_t now);

/**
 * jr_interference_added - what a task would add to a host's slowdowns
 * @share: of the host's processors that the task uses
 */
double jr_interference_added(const jr_interference_t *model,
                             const jr_host_load_t *host,
                             const char *class_name, double share,
                             int64_t now);

/** jr_host_slowdown - the worst measured slowdown of a host's services */
double jr_host_slowdown(const jr_host_load_t *host);

#endif
