/*
 * Baseline without the relay: a libmicrohttpd server and a libcurl multi
 * client that calls it directly. The same client measures an entry process in
 * the same run, so that the difference is the cost of the relay.
 *
 *   bare server PORT
 *   bare client URL CONCURRENT SECONDS [BODY]
 */
#include <arpa/inet.h>
#include <curl/curl.h>
#include <glib.h>
#include <microhttpd.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

enum { OK = 200, POLL_MS = 100 };

static int64_t
clock_us(clockid_t clock)
{
    struct timespec now;

    clock_gettime(clock, &now);
    return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

/*
 * Answers "hello". Returns the attempt header, which an entry process compares
 * with the one it sent when this server is its upstream.
 */
static enum MHD_Result
on_request(void *cls, struct MHD_Connection *connection, const char *url,
           const char *method, const char *version, const char *data,
           size_t *len, void **state)
{
    static char body[] = "hello";
    static int marker;
    const char *attempt;
    struct MHD_Response *response;
    enum MHD_Result result;

    (void)cls;
    (void)url;
    (void)method;
    (void)version;
    (void)data;
    if (*state == NULL) { /* first callback of a request: headers only */
        *state = &marker;
        return MHD_YES;
    }
    if (*len > 0) {
        *len = 0;
        return MHD_YES;
    }
    attempt = MHD_lookup_connection_value(connection, MHD_HEADER_KIND,
                                          "Jayrelay-Attempt");
    response = MHD_create_response_from_buffer(sizeof body - 1, body,
                                               MHD_RESPMEM_PERSISTENT);
    if (attempt != NULL) {
        MHD_add_response_header(response, "Jayrelay-Attempt", attempt);
    }
    result = MHD_queue_response(connection, OK, response);
    MHD_destroy_response(response);
    return result;
}

static int
run_server(int port)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    struct MHD_Daemon *daemon;

    address.sin_port = htons((uint16_t)port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    daemon =
        MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD, 0, NULL, NULL,
                         on_request, NULL, MHD_OPTION_SOCK_ADDR, &address,
                         MHD_OPTION_CONNECTION_LIMIT, 4096u, MHD_OPTION_END);
    if (daemon == NULL) {
        return 1;
    }
    pause();
    MHD_stop_daemon(daemon);
    return 0;
}

/* One of the concurrent requests; its handle is reused for the next. */
typedef struct {
    CURL *easy;
    int64_t started_us;
} slot_t;

static size_t
on_data(char *data, size_t size, size_t n, void *user)
{
    (void)data;
    (void)user;
    return size * n;
}

static void
start_request(CURLM *multi, slot_t *slot)
{
    slot->started_us = clock_us(CLOCK_MONOTONIC);
    curl_multi_add_handle(multi, slot->easy);
}

static void
init_slot(slot_t *slot, const char *url, const char *body,
          struct curl_slist *headers)
{
    slot->easy = curl_easy_init();
    curl_easy_setopt(slot->easy, CURLOPT_URL, url);
    curl_easy_setopt(slot->easy, CURLOPT_PRIVATE, slot);
    curl_easy_setopt(slot->easy, CURLOPT_WRITEFUNCTION, on_data);
    curl_easy_setopt(slot->easy, CURLOPT_POSTFIELDS, body);
    curl_easy_setopt(slot->easy, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(slot->easy, CURLOPT_PROXY, "");
    curl_easy_setopt(slot->easy, CURLOPT_TCP_NODELAY, 1L);
}

static int
compare_int64(gconstpointer a, gconstpointer b)
{
    gint64 x = *(const gint64 *)a;
    gint64 y = *(const gint64 *)b;

    return (x > y) - (x < y);
}

static void
print_result(GArray *latencies, long failed, double seconds)
{
    gint64 p50 = 0;
    gint64 p99 = 0;

    g_array_sort(latencies, compare_int64);
    if (latencies->len > 0) {
        p50 = g_array_index(latencies, gint64, latencies->len / 2);
        p99 = g_array_index(latencies, gint64, latencies->len * 99 / 100);
    }
    printf("{\"calls_per_s\":%.0f,\"p50_us\":%lld,\"p99_us\":%lld,"
           "\"failed\":%ld,\"client_cpu_us\":%.1f}\n",
           latencies->len / seconds, (long long)p50, (long long)p99, failed,
           latencies->len > 0
               ? (double)clock_us(CLOCK_PROCESS_CPUTIME_ID) / latencies->len
               : 0.0);
}

static int
run_client(const char *url, int concurrent, int seconds, const char *body)
{
    CURLM *multi = curl_multi_init();
    struct curl_slist *headers = NULL;
    slot_t *slots = g_new0(slot_t, concurrent);
    GArray *latencies = g_array_new(FALSE, FALSE, sizeof(gint64));
    int64_t end = clock_us(CLOCK_MONOTONIC) + seconds * 1000000LL;
    long failed = 0;
    int running, left;
    CURLMsg *message;

    headers = curl_slist_append(headers, "Expect:");
    headers = curl_slist_append(headers, "Jayrelay-Idempotent: yes");
    headers = curl_slist_append(headers, "Jayrelay-Deadline-Ms: 5000");
    for (int i = 0; i < concurrent; i++) {
        init_slot(&slots[i], url, body, headers);
        start_request(multi, &slots[i]);
    }
    while (clock_us(CLOCK_MONOTONIC) < end) {
        curl_multi_perform(multi, &running);
        while ((message = curl_multi_info_read(multi, &left)) != NULL) {
            slot_t *slot;
            long status = 0;
            gint64 us;

            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &slot);
            curl_easy_getinfo(message->easy_handle, CURLINFO_RESPONSE_CODE,
                              &status);
            us = clock_us(CLOCK_MONOTONIC) - slot->started_us;
            if (message->data.result == CURLE_OK && status == OK) {
                g_array_append_val(latencies, us);
            }
            else {
                failed++;
            }
            curl_multi_remove_handle(multi, slot->easy);
            start_request(multi, slot);
        }
        curl_multi_poll(multi, NULL, 0, POLL_MS, NULL);
    }
    print_result(latencies, failed, seconds);
    g_array_free(latencies, TRUE);
    g_free(slots);
    return 0;
}

int
main(int argc, char **argv)
{
    signal(SIGPIPE, SIG_IGN);
    if (argc == 3 && strcmp(argv[1], "server") == 0) {
        return run_server(atoi(argv[2]));
    }
    if (argc >= 5 && strcmp(argv[1], "client") == 0) {
        return run_client(argv[2], atoi(argv[3]), atoi(argv[4]),
                          argc > 5 ? argv[5] : "hello");
    }
    fprintf(stderr, "usage: bare server PORT | "
                    "bare client URL CONCURRENT SECONDS [BODY]\n");
    return 2;
}
