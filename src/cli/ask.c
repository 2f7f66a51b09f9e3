/* HTTP requests of the command-line tool to entry processes. */
#include <curl/curl.h>
#include <glib.h>

#include "cli.h"

enum {
    TIMEOUT_MS = 8000,
    CONNECT_TIMEOUT_MS = 1000,
    HTTP_OK_MAX = 299,
    ANSWER_MAX_BYTES = 64 * 1024 * 1024,
};

static size_t
on_data(char *data, size_t size, size_t n, void *user)
{
    GString *to = user;

    if (to->len + size * n > ANSWER_MAX_BYTES) {
        return 0; /* ends the request */
    }
    g_string_append_len(to, data, (gssize)(size * n));
    return size * n;
}

static long
request_one(const char *address, const char *method, const char *path,
            const char *body, long timeout_ms, GString *answer)
{
    CURL *curl = curl_easy_init();
    char *url = g_strdup_printf("http://%s%s", address, path);
    long status = 0;

    curl_easy_setopt(curl, CURLOPT_URL, url);
    curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_data);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, answer);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, timeout_ms);
    curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS,
                     (long)CONNECT_TIMEOUT_MS);
    curl_easy_setopt(curl, CURLOPT_PROXY, "");
    if (body != NULL) {
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
    }
    if (curl_easy_perform(curl) == CURLE_OK) {
        curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
    }
    curl_easy_cleanup(curl);
    g_free(url);
    return status;
}

/*
 * Sending a request again to the next entry process is safe, because all
 * requests that change something carry a task key, a task id or a version.
 */
long
jr_cli_request(jr_cli_t *cli, const char *method, const char *path,
               const char *body, json_t **answer)
{
    GString *text = g_string_new(NULL);
    long status = 0;

    for (int i = 0; cli->entries[i] != NULL && status == 0; i++) {
        g_string_truncate(text, 0);
        status =
            request_one(cli->entries[i], method, path, body, TIMEOUT_MS, text);
    }
    *answer = json_loadb(text->str, text->len, 0, NULL);
    g_string_free(text, TRUE);
    return status;
}

long
jr_cli_get(const char *address, const char *path, long timeout_ms,
           char **answer, size_t *len)
{
    GString *text = g_string_new(NULL);
    long status = request_one(address, "GET", path, NULL, timeout_ms, text);

    *len = text->len;
    *answer = g_string_free(text, FALSE);
    return status;
}

const char *
jr_cli_text(const json_t *object, const char *key)
{
    const char *text = json_string_value(json_object_get(object, key));

    return text != NULL ? text : "";
}

long long
jr_cli_number(const json_t *object, const char *key)
{
    return (long long)json_integer_value(json_object_get(object, key));
}

void
jr_cli_print_json(const json_t *answer)
{
    json_dumpf(answer, stdout, JSON_INDENT(2));
    putchar('\n');
}

int
jr_cli_fail(jr_cli_t *cli, long status, const json_t *answer)
{
    jr_result_t code = (jr_result_t)jr_cli_number(answer, "code");

    if (status == 0) {
        fprintf(stderr,
                "jayrelay: no entry process answered (first address '%.100s', "
                "limit %d ms); check --entry or JAYRELAY_ENTRY\n",
                cli->entries[0] != NULL ? cli->entries[0] : "", TIMEOUT_MS);
        return jr_result_exit(JR_NETWORK);
    }
    if (cli->is_json) {
        jr_cli_print_json(answer);
    }
    fprintf(stderr, "jayrelay: %s: %s (HTTP status %ld)\n",
            jr_cli_text(answer, "outcome"), jr_cli_text(answer, "message"),
            status);
    return code != JR_OK ? jr_result_exit(code) : 1;
}

int
jr_cli_check(jr_cli_t *cli)
{
    json_t *answer;
    long status = jr_cli_request(cli, "GET", "/readyz", NULL, &answer);

    json_decref(answer);
    if (status == 0) {
        return jr_cli_fail(cli, status, NULL);
    }
    printf("an entry process answers and is %s\n",
           status <= HTTP_OK_MAX ? "ready" : "not ready");
    return status <= HTTP_OK_MAX ? 0 : jr_result_exit(JR_NO_QUORUM);
}
