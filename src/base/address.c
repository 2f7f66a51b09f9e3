/* IPv4 addresses with a port, as text. */
#include "jayrelay/address.h"

#include <arpa/inet.h>
#include <string.h>

enum {
    PORT_MAX = 65535,
    PORT_DIGITS_MAX = 5,
    /* Of the first of the four numbers of an address. */
    FIRST_SHIFT = 24,
    FIRST_MULTICAST = 224, /* reserved ones follow */
};

/* 0: not a port. */
static unsigned
parse_port(const char *text)
{
    size_t n = strspn(text, "0123456789");
    unsigned port = 0;

    if (n == 0 || n > PORT_DIGITS_MAX || text[n] != '\0') {
        return 0;
    }
    for (size_t i = 0; i < n; i++) {
        port = port * 10 + (unsigned)(text[i] - '0');
    }
    return port <= PORT_MAX ? port : 0;
}

bool
jr_address_parse(const char *text, struct sockaddr_in *to)
{
    const char *colon = strrchr(text, ':');
    char host[INET_ADDRSTRLEN];
    unsigned port;

    if (colon == NULL || (size_t)(colon - text) >= sizeof host) {
        return false;
    }
    memcpy(host, text, (size_t)(colon - text));
    host[colon - text] = '\0';
    port = parse_port(colon + 1);
    memset(to, 0, sizeof *to);
    to->sin_family = AF_INET;
    to->sin_port = htons((uint16_t)port);
    return port != 0 && inet_pton(AF_INET, host, &to->sin_addr) == 1;
}

bool
jr_address_is_unicast(const char *text)
{
    struct sockaddr_in address;
    uint32_t first;

    if (!jr_address_parse(text, &address)) {
        return false;
    }
    first = ntohl(address.sin_addr.s_addr) >> FIRST_SHIFT;
    return first > 0 && first < FIRST_MULTICAST;
}
