/**
 * DOC: interfere - interference of batch tasks with services
 *
 * For each pair of a service and a class of tasks the model estimates the
 * slope of the service's slowdown over the share of a host's processors that
 * tasks of the class use. Slowdown measurements lag, so they are compared
 * with the loads at the time they describe. Confidence in an estimate decays
 * without new measurements, and an unknown pair gets a conservative slope.
 */
#ifndef JAYRELAY_INTERFERE_H
#define JAYRELAY_INTERFERE_H

#include <uthash.h>

#include "jayrelay/ctx.h"

enum {
    JR_HOST_SERVICES_MAX = 4, /* further services are ignored */
    JR_HOST_CLASSES_MAX = 8,  /* the load of further classes is ignored */
    JR_PAIR_NAME_BYTES = 64,
    /* Approximate lag of a service's slowdown measurements. */
    JR_SLOWDOWN_LAG_MS = 10000,
    /* History of loads, one per second: the lag and the current second. */
    JR_LOAD_SECONDS = 11,
};

/**
 * struct jr_class_load_t - share of a host that a class of tasks uses
 * @current: current share, 0 to 1
 * @history: ring buffer of the share in each recent second
 */
typedef struct {
    char class_name[JR_PAIR_NAME_BYTES];
    double current;
    double history[JR_LOAD_SECONDS];
} jr_class_load_t;

/**
 * struct jr_host_load_t - services and batch load of a host
 * @services: names of the services on the host
 * @slowdowns: measured slowdown of each service; 1.0 is undisturbed
 * @classes: load of each class of tasks
 * @predicted: worst slowdown predicted for the current loads
 * @updated_at: time of the last jr_host_load_end(), in ms
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

/** jr_new_interference - create a model without measurements */
jr_interference_t *jr_new_interference(jr_ctx_t *ctx);

/** jr_drop_interference - free a model; NULL is accepted */
void jr_drop_interference(jr_interference_t *model);

/** jr_host_load_begin - start a new set of loads of a host */
void jr_host_load_begin(jr_host_load_t *host);

/** jr_host_load_add - add the share used by tasks of a class */
void jr_host_load_add(jr_host_load_t *host, const char *class_name,
                      double share);

/** jr_host_load_end - finish the set and update the history */
void jr_host_load_end(jr_host_load_t *host, int64_t now);

/**
 * jr_interference_learn - learn from a host's measured slowdowns
 *
 * Also updates @host->predicted.
 */
void jr_interference_learn(jr_interference_t *model, jr_host_load_t *host,
                           int64_t now);

/**
 * jr_interference_slope - slowdown per whole host used by a class
 *
 * Return: the estimate plus a margin that shrinks with the number of
 * measurements of the pair.
 */
double jr_interference_slope(const jr_interference_t *model,
                             const char *service, const char *class_name,
                             int64_t now);

/**
 * jr_interference_added - slowdown that a task would add on a host
 * @share: share of the host's processors that the task uses, 0 to 1
 *
 * Return: the sum over the services of the host.
 */
double jr_interference_added(const jr_interference_t *model,
                             const jr_host_load_t *host,
                             const char *class_name, double share,
                             int64_t now);

/** jr_host_slowdown - the worst measured slowdown of a host's services */
double jr_host_slowdown(const jr_host_load_t *host);

#endif
