/**
 * DOC: address - IPv4 addresses with a port, as text
 *
 * Processes and workers are named by number: nothing looks names up.
 */
#ifndef JAYRELAY_ADDRESS_H
#define JAYRELAY_ADDRESS_H

#include <netinet/in.h>
#include <stdbool.h>

/**
 * jr_address_parse - parse "A.B.C.D:PORT"
 * @to: filled on success
 *
 * Return: false unless @text is four decimal numbers and a port of 1 to
 * 65535, without signs, blanks or anything else.
 */
bool jr_address_parse(const char *text, struct sockaddr_in *to);

/**
 * jr_address_is_unicast - whether a connection to the address has one peer
 *
 * Return: false for "this host" (0.0.0.0/8), multicast, reserved addresses and
 * what jr_address_parse() refuses.
 */
bool jr_address_is_unicast(const char *text);

#endif
