/* Parsing and formatting of IP socket addresses. */
#include "inet_address.h"
#include "text.h"
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

static bool
parse_port (const char *text, uint16_t *out)
{
  unsigned long port = 0;

  if (*text == '\0' || strlen (text) > 5)
    return false;
  for (; *text != '\0'; text++)
    {
      if (*text < '0' || *text > '9')
        return false;
      port = port * 10 + (unsigned long) (*text - '0');
    }
  if (port > UINT16_MAX)
    return false;
  *out = (uint16_t) port;
  return true;
}

static bool
set_ip (struct inet_address *out)
{
  struct sockaddr_in *v4 = (struct sockaddr_in *) &out->socket;
  struct sockaddr_in6 *v6 = (struct sockaddr_in6 *) &out->socket;

  if (inet_pton (AF_INET, out->ip, &v4->sin_addr) == 1)
    {
      v4->sin_family = AF_INET;
      v4->sin_port = htons (out->port);
      out->socket_length = sizeof *v4;
      return true;
    }
  if (inet_pton (AF_INET6, out->ip, &v6->sin6_addr) == 1)
    {
      v6->sin6_family = AF_INET6;
      v6->sin6_port = htons (out->port);
      out->socket_length = sizeof *v6;
      return true;
    }
  return false;
}

enum status
inet_address_parse (const char *text, struct inet_address *out)
{
  const char *colon = strrchr (text, ':');
  size_t length = colon == NULL ? 0 : (size_t) (colon - text);

  memset (out, 0, sizeof *out);
  if (length > 2 && text[0] == '[' && text[length - 1] == ']')
    {
      text++;
      length -= 2;
    }
  if (length == 0 || length >= sizeof out->ip || !parse_port (colon + 1, &out->port))
    return status_fail (STATUS_INVALID, "an address is IP:PORT");
  memcpy (out->ip, text, length);
  if (!set_ip (out))
    return status_fail (STATUS_INVALID, "\"%s\" is not an IP number", out->ip);
  return STATUS_OK;
}

void
inet_address_ip (const struct sockaddr_storage *socket, char out[INET6_ADDRSTRLEN])
{
  const void *ip = &((const struct sockaddr_in *) socket)->sin_addr;

  out[0] = '\0';
  if (socket->ss_family == AF_INET6)
    ip = &((const struct sockaddr_in6 *) socket)->sin6_addr;
  else if (socket->ss_family != AF_INET)
    return;
  if (inet_ntop (socket->ss_family, ip, out, INET6_ADDRSTRLEN) == NULL)
    out[0] = '\0';
}

uint16_t
inet_address_bound_port (int fd)
{
  struct sockaddr_storage socket = { 0 };
  socklen_t length = sizeof socket;

  if (getsockname (fd, (struct sockaddr *) &socket, &length) != 0)
    return 0;
  if (socket.ss_family == AF_INET6)
    return ntohs (((struct sockaddr_in6 *) &socket)->sin6_port);
  if (socket.ss_family == AF_INET)
    return ntohs (((struct sockaddr_in *) &socket)->sin_port);
  return 0;
}
