/* Addresses as "IP:PORT" text, IPv6 in brackets; numeric addresses only, no host names. */
#ifndef INET_ADDRESS_H
#define INET_ADDRESS_H

#include "decls.h"
#include "status.h"
#include <netinet/in.h>
#include <stdint.h>
#include <sys/socket.h>

BEGIN_DECLS

struct inet_address
{
  struct sockaddr_storage socket;
  socklen_t socket_length;
  char ip[INET6_ADDRSTRLEN];
  uint16_t port; /* when listening, 0 lets the kernel choose */
};

/* STATUS_INVALID with a message unless `text` is a numeric IP address and a port. */
enum status inet_address_parse (const char *text, struct inet_address *out);

/* The numeric IP address of a socket address, "" when it has none. */
void inet_address_ip (const struct sockaddr_storage *socket, char out[INET6_ADDRSTRLEN]);

/* The port of a bound socket, 0 when it has none. */
uint16_t inet_address_bound_port (int fd);

END_DECLS

#endif
